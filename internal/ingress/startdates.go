package ingress

import "time"

const (
	// maxStartReportDelay is the maximum age that the newest backend is assumed to have
	// when its start is reported. Discovery reports a start within seconds; a greater
	// age may also come from a local clock that is ahead.
	maxStartReportDelay = 3 * time.Second
	// maxClockLag is how far the local clock may be behind. A reported start that is
	// further in the future is not used to estimate the error of the clock.
	maxClockLag = 24 * time.Hour
)

// startAgeEstimator converts the start times of backends into ages. The times reported by
// discovery are consistent with each other, but the local clock may have been wrong when
// the process started. A cold backend must not count as warm, nor count as cold for too
// long. The newest start reported so far therefore bounds the error of the clock: it
// cannot be in the future, and it is assumed to be at most maxStartReportDelay old when
// it is reported.
type startAgeEstimator struct {
	hasNewest      bool
	newestLocalAge time.Duration // the smallest age so far, by the local clock
}

// estimateAge returns the age of a backend, given its age by the local clock.
func (e *startAgeEstimator) estimateAge(localAge time.Duration) time.Duration {
	if localAge < -maxClockLag {
		return 0
	}
	if !e.hasNewest || localAge < e.newestLocalAge {
		e.hasNewest, e.newestLocalAge = true, localAge
	}
	clockError := min(max(0, e.newestLocalAge-maxStartReportDelay), e.newestLocalAge)
	return localAge - clockError
}

package ingress

import "time"

const (
	// maxStartReportDelay is how old the newest backend is taken to be at most when its
	// start is told. Discovery tells of one within seconds; what it tells as older
	// may as well come from a clock of this machine that is ahead.
	maxStartReportDelay = 3 * time.Second
	// maxClockLag is by how much the clock of this machine may be behind. A
	// date that is further in the future tells nothing.
	maxClockLag = 24 * time.Hour
)

// startAgeEstimator turns dates of starts into ages. Discovery's dates are right among
// each other, but the clock of this machine may have been off when the process
// started, and a cold backend must not pass for a warm one, nor stay cold for
// long. So the newest start told so far bounds the error of the clock: it can't
// lie in the future, nor is it taken for older than startDelay at its telling.
type startAgeEstimator struct {
	hasNewest      bool
	newestLocalAge time.Duration // the least age told so far, by the clock of this machine
}

// estimateAge returns the estimateAge of a backend whose estimateAge by the clock of this machine is told.
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

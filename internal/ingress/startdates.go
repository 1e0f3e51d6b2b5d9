package ingress

import "time"

const (
	// startDelay is how old the newest backend is taken to be at most when its
	// start is told. Discovery tells of one within seconds; what it tells as older
	// may as well come from a clock of this machine that is ahead.
	startDelay = 3 * time.Second
	// clockErrorMost is by how much the clock of this machine may be behind. A
	// date that is further in the future tells nothing.
	clockErrorMost = 24 * time.Hour
)

// startDates turns dates of starts into ages. Discovery's dates are right among
// each other, but the clock of this machine may have been off when the process
// started, and a cold backend must not pass for a warm one, nor stay cold for
// long. So the newest start told so far bounds the error of the clock: it can't
// lie in the future, nor is it taken for older than startDelay at its telling.
type startDates struct {
	known  bool
	newest time.Duration // the least age told so far, by the clock of this machine
}

// age returns the age of a backend whose age by the clock of this machine is told.
func (d *startDates) age(byClock time.Duration) time.Duration {
	if byClock < -clockErrorMost {
		return 0
	}
	if !d.known || byClock < d.newest {
		d.known, d.newest = true, byClock
	}
	clockError := min(max(0, d.newest-startDelay), d.newest)
	return byClock - clockError
}

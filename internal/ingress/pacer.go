package ingress

import "time"

const (
	// workSlice is how long work on a list goes on without a rest. An ingress has
	// one processor, and a request may have to wait as long at each step of it.
	workSlice = 500 * time.Microsecond
	// workRest is how long it rests. A mere yield would not do: the runtime looks
	// for what came on connections only when nobody wants to run.
	workRest = 500 * time.Microsecond
)

// pacer divides long work, so that requests go on beside it.
type pacer struct{ since time.Time }

func newPacer() *pacer { return &pacer{since: time.Now()} }

// pause is called between two parts of the work, and rests when a slice of it is done.
func (p *pacer) pause() {
	if time.Since(p.since) > workSlice {
		time.Sleep(workRest)
		p.since = time.Now()
	}
}

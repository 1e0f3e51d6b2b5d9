package ingress

import "time"

const (
	// workSlice is how long work on a list goes on without a rest. An ingress has
	// one processor, and a request may have to wait as long at each step of it.
	workSlice = 500 * time.Microsecond
	// workRest is how long it rests. A mere yield would not do: the runtime looks
	// for what came on connections only when nobody wants to run.
	workPause = 500 * time.Microsecond
)

// pacer divides long work, so that requests go on beside it.
type pacer struct{ sliceStart time.Time }

func newPacer() *pacer { return &pacer{sliceStart: time.Now()} }

// pause is called between two parts of the work, and rests when a slice of it is done.
func (p *pacer) pause() {
	if time.Since(p.sliceStart) > workSlice {
		time.Sleep(workPause)
		p.sliceStart = time.Now()
	}
}

package ingress

import "time"

const (
	// workSlice is how long work on a list goes on without a pause. An ingress
	// runs on one processor, so a request may be delayed by as much at each of its steps.
	workSlice = 500 * time.Microsecond
	// workPause is how long a pause takes. Yielding the processor is not enough: the
	// runtime polls the network only when no goroutine is ready to run.
	workPause = 500 * time.Microsecond
)

// pacer divides long work into slices with pauses between them, so that requests are
// served meanwhile.
type pacer struct{ sliceStart time.Time }

// newPacer starts the first slice of work.
func newPacer() *pacer { return &pacer{sliceStart: time.Now()} }

// pause is called between two steps of the work, and sleeps if the slice is used up.
func (p *pacer) pause() {
	if time.Since(p.sliceStart) > workSlice {
		time.Sleep(workPause)
		p.sliceStart = time.Now()
	}
}

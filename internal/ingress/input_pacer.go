package ingress

import (
	"sync"
	"time"
)

const (
	// inputSlice is how long a reader goes on without having waited for bytes, until it takes
	// turns with the other readers that do.
	inputSlice = 500 * time.Microsecond
	// unpacedBytes is how many bytes a reader may read without having waited until it takes
	// turns. Any one command, and some thousand short ones, need no turn.
	unpacedBytes = 128 << 10
	// inputPause is the time between two turns of such readers.
	inputPause = time.Millisecond
	// maxOverrun is how long a client may send faster than it is read, until its commands are
	// refused. Otherwise it would take the place of all other clients.
	maxOverrun = 100 * time.Millisecond
)

// inputPacer limits what all clients that send faster than they are read may take of the
// processor: each of their readers has to take a turn for every further slice of work. It is
// shared by all connections.
type inputPacer struct {
	turn    sync.Mutex
	stopped chan struct{} // closed when readers need no turn any more
}

// newInputPacer returns a pacer that limits readers until it is stopped.
func newInputPacer() *inputPacer { return &inputPacer{stopped: make(chan struct{})} }

// stop lets all readers go on. It is called at most once.
func (p *inputPacer) stop() { close(p.stopped) }

// awaitTurn waits for the next turn.
func (p *inputPacer) awaitTurn() {
	p.turn.Lock()
	defer p.turn.Unlock()
	select {
	case <-p.stopped:
	case <-time.After(inputPause):
	}
}

// inputSlices measures the slices of one reader. The zero value measures nothing.
type inputSlices struct {
	pacer        *inputPacer
	start        time.Time // of the current slice
	unwaited     int       // bytes read since the reader waited
	overrunSince time.Time // when a slice was first used up since the reader waited; zero: none
}

// newInputSlices starts the first slice of a reader.
func newInputSlices(p *inputPacer) inputSlices { return inputSlices{pacer: p, start: time.Now()} }

// waited starts a new slice: the reader has waited for bytes, until now.
func (s *inputSlices) waited(now time.Time) {
	s.start, s.unwaited, s.overrunSince = now, 0, time.Time{}
}

// read records that bytes were read.
func (s *inputSlices) read(bytes int) { s.unwaited += bytes }

// pause is called between two reads. It waits for a turn if the slice is used up.
func (s *inputSlices) pause() {
	now := time.Now()
	if s.unwaited < unpacedBytes || now.Sub(s.start) < inputSlice {
		return
	}
	if s.overrunSince.IsZero() {
		s.overrunSince = now
	}
	s.pacer.awaitTurn()
	s.start = time.Now()
}

// overrun reports whether the client has sent faster than it is read for too long.
func (s *inputSlices) overrun(now time.Time) bool {
	return !s.overrunSince.IsZero() && now.Sub(s.overrunSince) >= maxOverrun
}

package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the queue of lines not yet written.
const maxQueuedLines = 4096

// Writer queues log lines and writes them on a goroutine of its own, so that a
// blocked output does not block the goroutines that log. Lines that do not fit into
// the queue are dropped and counted. It is safe for concurrent use.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	flushRequests chan chan struct{}
}

// NewWriter returns a Writer whose goroutine runs until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all lines queued so far are written, for at most timeout.
func (w *Writer) Flush(timeout time.Duration) {
	expired := time.After(timeout)
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-expired:
		return
	}
	select {
	case <-done:
	case <-expired:
	}
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flushRequests:
			for range len(w.lines) {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line to the output. Errors are ignored: there is nowhere else to
// report them.
func (w *Writer) write(line []byte) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
}

package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 4096

// Writer writes lines on a goroutine of its own: a log that nobody reads must
// not hold up who logs. Lines beyond those it holds are dropped and counted. It
// is safe for concurrent use.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	flushRequests chan chan struct{}
}

// NewWriter starts a Writer, which lives as long as the process.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It does not block and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush returns once all lines taken so far are written, or after the time given.
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

// write passes a line on. What can't be written is lost: there is nowhere to say so.
func (w *Writer) write(line []byte) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
}

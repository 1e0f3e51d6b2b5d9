package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDetailLevel(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, false)
	writeAllEvents := func() {
		log.State("serving")
		log.ClientOpened(1)
		log.RequestReceived(RequestReceived{Request: 0xab, Client: 1, TimeLeft: time.Second})
		log.AttemptSent(AttemptSent{Request: 0xab, Backend: "s-1", Kind: "first"})
		log.AttemptEnded(AttemptEnded{Request: 0xab, Backend: "s-1", Status: "reset"})
		log.RequestFinished(RequestFinished{Request: 0xab, Outcome: "refused", Reason: "quota", RetryAfter: 200 * time.Millisecond})
		log.ClientClosed(ClientClosed{Client: 1, Reason: "left"})
		log.BackendClosed("s-1", "idle")
	}
	writeAllEvents()
	if got := strings.Count(out.String(), "\n"); got != 1 || !strings.Contains(out.String(), "state=serving") {
		t.Errorf("without detail the log is %q, want only the change of state", out.String())
	}
	out.Reset()
	log.EnableDetail()
	writeAllEvents()
	if got := strings.Count(out.String(), "\n"); got != 8 {
		t.Errorf("detailed log has %d lines, want 8:\n%s", got, out.String())
	}
	if got := strings.Count(out.String(), "request=00000000000000ab"); got != 4 {
		t.Errorf("the request id appears %d times, want 4:\n%s", got, out.String())
	}
	if !strings.Contains(out.String(), "end=refused reason=quota advice_ms=200") {
		t.Errorf("the refusal has no reason or retry advice:\n%s", out.String())
	}
}

func TestNilLog(t *testing.T) {
	var log *Log
	log.EnableDetail()
	log.State("serving")
	log.ClientOpened(1)
	if log.Detailed() {
		t.Error("a nil Log is detailed")
	}
}

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	started, release chan struct{}
	written          bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	select {
	case w.started <- struct{}{}:
	default:
	}
	<-w.release
	return w.written.Write(line)
}

// A blocked output must not block the goroutines that log; dropped lines are counted.
func TestWriterDropsLinesWhenFull(t *testing.T) {
	out := &blockingWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprintln(w, "first")
	<-out.started
	for range maxQueuedLines + 3 { // three more than the queue holds
		fmt.Fprintln(w, "more")
	}
	w.Flush(time.Millisecond) // must return though the output is blocked
	close(out.release)
	w.Flush(time.Minute)
	text := out.written.String()
	if got := strings.Count(text, "more\n"); got != maxQueuedLines {
		t.Errorf("%d lines written, want %d", got, maxQueuedLines)
	}
	if !strings.Contains(text, "count=3") {
		t.Error("the dropped lines are not reported as count=3")
	}
}

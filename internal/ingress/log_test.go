package ingress

import (
	"bytes"
	"fmt"
	"regexp"
	"sync"
	"testing"

	"cedarseam/internal/eventlog"
)

// syncBuffer is a buffer for a log that is written and read concurrently.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// The log records the life of a request: its client, each attempt with its outcome, the
// final answer, and why connections closed.
func TestLogRecordsRequestLifecycle(t *testing.T) {
	var log syncBuffer
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Log = eventlog.New(&log, true) }, b.member("s-1"))
	c := r.dial()
	c.send("Q.ASK", testCustomer, testRequestID, lookupOptions)
	wait(t, "the first attempt", b.commands).replyLine("-BUSY")
	wait(t, "the second attempt", b.commands).replyValue("v")
	c.wantLine("$1\r\nv")
	c.send("Q.ASK", testCustomer, newRequestID(),
		"c=lookup,t=basic,d=20000,units=1,spread=1,first=0,x=")
	wait(t, "the next request", b.commands).replyLine("-ERR failed")
	wait(t, "its second attempt", b.commands).reset()
	c.nc.Close()
	r.eventually("the connection to be removed", func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return len(r.server.clients) == 0
	})
	for _, want := range []string{
		`client opened" client=\d+`,
		fmt.Sprintf(`request taken" request=%s client=\d+ class=0 customer=%s left_ms=19\d+\.?\d* unread_ms=[\d.]+ queued_ms=[\d.]+`,
			testRequestID, testCustomer),
		fmt.Sprintf(`attempt sent" request=%s attempt=0 backend=s-1 kind=first`, testRequestID),
		fmt.Sprintf(`attempt ended" request=%s attempt=0 backend=s-1 status=refused answer="error line" value_bytes=0`, testRequestID),
		fmt.Sprintf(`attempt sent" request=%s attempt=1 backend=s-1 kind=retry`, testRequestID),
		fmt.Sprintf(`attempt ended" request=%s attempt=1 backend=s-1 status=ok answer=array value_bytes=7`, testRequestID),
		fmt.Sprintf(`request over" request=%s end=served reason=s-1 advice_ms=0 attempts=2`, testRequestID),
		`client closed" client=\d+ reason="client disconnected: EOF" age_ms=[\d.]+ answers=2`,
		`backend connection closed" backend=s-1 reason=`,
	} {
		if !regexp.MustCompile(want).MatchString(log.String()) {
			t.Errorf("no log line matches %q", want)
		}
	}
	if t.Failed() {
		t.Log(log.String())
	}
}

// The log compares the memory that is counted with what the runtime measures.
func TestLogRecordsMemoryUse(t *testing.T) {
	var log syncBuffer
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Log = eventlog.New(&log, true) }, b.member("s-1"))
	r.dial().send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	wait(t, "the request", b.commands)
	want := regexp.MustCompile(`memory limit=33554432 requests=[1-9]\d* answers=[1-9]\d* input=0 replies=0 live_heap=\d+ heap_in_use=\d+ from_system=\d+`)
	r.eventually("a line about the memory of a request", func(*loop) bool { return want.MatchString(log.String()) })
}

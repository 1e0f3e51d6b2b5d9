package ingress

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Guards against one client that takes the processor from the others: a client that sends
// faster than it is read has to wait for its turn, and the others are served meanwhile.
func TestFastClientTakesTurns(t *testing.T) {
	b := newFakeBackend(t)
	go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
	r := newRig(t, nil, b.member("b"))
	pacer := r.server.inputPacer
	pacer.turn.Lock()
	fast := r.dial()
	const commands = 200_000
	go fast.nc.Write([]byte(strings.Repeat(encode("PING"), commands)))
	answers := func() (n int) {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for c := range r.server.clients {
			c.mu.Lock()
			n += c.answers
			c.mu.Unlock()
		}
		return n
	}
	last, unchanged := 0, 0
	r.eventually("the fast client to be held back", func(*loop) bool {
		n := answers()
		if unchanged++; n != last || n == 0 {
			last, unchanged = n, 0
		}
		return unchanged > 20 // in several checks
	})
	if last >= commands {
		t.Fatal("all commands of the fast client were started without a turn")
	}
	usual := r.dial()
	sendLookup(usual)
	usual.wantLine("$1\r\nv")
	pacer.turn.Unlock()
	for range commands {
		fast.wantLine("+PONG")
	}
}

// Guards against a usual client that waits behind fast ones: a reader needs no turn before it
// has read much without having waited, and none does during a shutdown.
func TestReaderThatWaitsNeedsNoTurn(t *testing.T) {
	pacer := newInputPacer()
	pacer.turn.Lock()
	slices := newInputSlices(pacer)
	slices.start = time.Now().Add(-time.Hour)
	slices.pause() // has read nothing
	slices.read(unpacedBytes)
	slices.waited(time.Now().Add(-time.Hour))
	slices.pause() // has waited since
	slices.read(unpacedBytes)
	slices.start = time.Now().Add(time.Hour)
	slices.pause() // its slice is not used up
	pacer.turn.Unlock()
	pacer.stop()
	slices.start = time.Now().Add(-time.Hour)
	slices.pause()
	if slices.overrunSince.IsZero() {
		t.Error("the used slice is not noticed")
	}
}

// Guards against one client that takes the place of the others: one that has sent faster than
// it is read for too long has its requests refused, until the reader has waited for it again.
func TestRequestsOfClientThatOverrunsAreRefused(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	request := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	now := time.Now()
	in := newInput(request + encode("PING"))
	in.checkedAt, in.slices.overrunSince = now, now.Add(-maxOverrun)
	if _, err := c.startCommands(&in); err != nil {
		t.Fatal(err)
	}
	want := string(r.server.busyReply()) + "+PONG\r\n"
	if got := readUnread(t, f.peer, len(want)); got != want {
		t.Errorf("the client gets %q, want %q", got, want)
	}
	next := newInput(request)
	in.buf, in.arrivals = next.buf, next.arrivals
	in.slices.waited(now)
	if _, err := c.startCommands(&in); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request at the backend", b.commands)
}

// A client that has sent fast only for a short time is not refused.
func TestShortOverrunIsAllowed(t *testing.T) {
	now := time.Now()
	for since, want := range map[time.Time]bool{{}: false, now: false, now.Add(time.Millisecond - maxOverrun): false, now.Add(-maxOverrun): true} {
		if got := (&inputSlices{overrunSince: since}).overrun(now); got != want {
			t.Errorf("overrun since %v before now: %v, want %v", now.Sub(since), got, want)
		}
	}
}

// Guards against refusals of a client that sends each request as soon as the last one is
// answered: its reader waits for it, though only for moments.
func TestClientThatWaitsForItsAnswersIsNotRefused(t *testing.T) {
	b := newFakeBackend(t)
	go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	for begin := time.Now(); time.Since(begin) < 3*maxOverrun; {
		sendLookup(c)
		c.wantLine("$1\r\nv")
	}
}

// A read counts as a wait only if no byte had come.
func TestReadOrWaitTellsWhetherItWaited(t *testing.T) {
	nc, peer := newConnPair(t)
	buf := make([]byte, 1)
	fmt.Fprint(peer, "ab")
	for unreadBytes(nc) < 2 {
		runtime.Gosched()
	}
	for range 2 {
		if n, waited, err := readOrWait(nc, buf); n != 1 || waited || err != nil {
			t.Errorf("with bytes: %d, %v, %v; want 1, false, nil", n, waited, err)
		}
	}
	nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	if n, waited, err := readOrWait(nc, buf); n != 0 || !waited || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without bytes: %d, %v, %v; want 0, true, a time-out", n, waited, err)
	}
	peer.Close()
	nc.SetReadDeadline(time.Time{})
	if n, _, err := readOrWait(nc, buf); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %d, %v; want 0, EOF", n, err)
	}
}

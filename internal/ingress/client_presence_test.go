package ingress

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedarseam/choice"
)

// Guards against attempts for a client that has gone: while nobody reads what a client has
// sent, whatever the reason, no attempt begins unless the client is known to be connected.
func TestAttemptOfClientThatMayHaveGoneIsNotSent(t *testing.T) {
	long := []byte(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody))
	waitForClose := func(nc net.Conn) {
		for !peerClosed(nc) {
			runtime.Gosched()
		}
	}
	for name, testCase := range map[string]struct {
		prepare func(t *testing.T, nc, peer net.Conn) // nc is the ingress's end, which nobody reads
		seen    bool                                  // seen to be connected just now
		sent    bool
	}{
		"seen just now":             {prepare: func(*testing.T, net.Conn, net.Conn) {}, seen: true, sent: true},
		"silent for long":           {prepare: func(*testing.T, net.Conn, net.Conn) {}, sent: true},
		"connected behind a few":    {prepare: func(_ *testing.T, _, peer net.Conn) { fmt.Fprint(peer, "unread") }, sent: true},
		"connected behind too many": {prepare: func(t *testing.T, _, peer net.Conn) { writeUntilFull(t, peer, long) }},
		"closed behind too many": {prepare: func(t *testing.T, _, peer net.Conn) {
			writeUntilFull(t, peer, long)
			peer.Close()
		}},
		"closed behind a few": {prepare: func(_ *testing.T, nc, peer net.Conn) {
			fmt.Fprint(peer, "unread")
			peer.Close()
			waitForClose(nc)
		}},
		"closed": {prepare: func(_ *testing.T, nc, peer net.Conn) {
			peer.Close()
			waitForClose(nc)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newConnFixture(t)
			a := f.newAttempt(t)
			nc, peer := newConnPair(t)
			c := &client{nc: nc, opened: time.Now().Add(-time.Hour)}
			if testCase.seen {
				c.markSeen(time.Now())
			}
			a.request.client = c
			testCase.prepare(t, nc, peer)
			f.send(a)
			go f.readAnswers()
			if !testCase.sent {
				f.wantStatus(t, choice.CancelledBeforeSend)
				f.wantNoBytes(t)
				return
			}
			fmt.Fprint(f.peer, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			f.wantStatus(t, choice.OK)
		})
	}
}

// An attempt waits for a reader that is about to read: the client is still there.
func TestAttemptWaitsForUnreadBytesToBeRead(t *testing.T) {
	nc, peer := newConnPair(t)
	c := &client{nc: nc, opened: time.Now().Add(-time.Hour)}
	if _, err := peer.Write(make([]byte, maxUnreadBytes)); err != nil {
		t.Fatal(err)
	}
	for !c.hidesClose() {
		runtime.Gosched()
	}
	go nc.Read(make([]byte, 2*maxUnreadBytes))
	if !c.awaitPresence() {
		t.Error("the client counts as gone although what it sent is read")
	}
}

// Guards against attempts for a client that has gone: commands that are read while ever more
// come behind them are refused, since their client may have closed the connection by then.
func TestCommandsBeforeHiddenCloseAreRefused(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	c.opened = time.Now().Add(-time.Hour)
	writeUntilFull(t, f.peer, []byte(longBody))
	in := newInput(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY") + encode("PING"))
	in.checkedAt = time.Now()
	if _, err := c.startCommands(&in); err != nil {
		t.Fatal(err)
	}
	want := string(r.server.busyReply()) + "+PONG\r\n"
	if got := readUnread(t, f.peer, len(want)); got != want {
		t.Errorf("the client gets %q, want %q", got, want)
	}
	in = newInput(strings.Repeat(encode("GET", "x"), maxInvalidCommands))
	if _, err := c.startCommands(&in); !errors.Is(err, errTooManyInvalidCommands) {
		t.Errorf("invalid commands are not counted, error %v", err)
	}
}

// Guards against attempts for a client that has gone: one that closes after the first check, while
// the attempt is held up, is noticed before the first byte.
func TestClientThatLeavesBeforeFirstByteIsNoticed(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	nc, peer := newConnPair(t)
	c := &client{nc: nc, opened: time.Now()}
	a.request.client = c
	a.mu.Lock() // holds up the attempt behind its first check
	go f.send(a)
	for passed := false; !passed; runtime.Gosched() {
		f.conn.mu.Lock()
		passed = f.current == a
		f.conn.mu.Unlock()
	}
	peer.Close()
	for !peerClosed(nc) {
		runtime.Gosched()
	}
	c.markSeen(c.opened.Add(-maxUnseenTime))
	a.mu.Unlock()
	go f.readAnswers()
	f.wantStatus(t, choice.CancelledBeforeSend)
	f.wantNoBytes(t)
}

// Guards against refusals of a usual client that sends several long commands at once on a new
// connection: it was connected when they began to come.
func TestLongCommandsSentAtOnceAreNotRefused(t *testing.T) {
	b := newFakeBackend(t)
	go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	const commands = 3
	for range 10 {
		var text strings.Builder
		for range commands {
			text.WriteString(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody))
		}
		c := r.dial()
		c.write(text.String())
		for range commands {
			c.wantLine("$1\r\nv")
		}
		c.nc.Close()
	}
}

package ingress

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// maxUndeliverableBytes is more than the buffers of a connection over loopback hold.
const maxUndeliverableBytes = 24 << 20

// writeUntilFull writes copies of the text until the system takes no more at that moment. The
// last copy may be cut off.
func writeUntilFull(t *testing.T, nc net.Conn, text []byte) {
	t.Helper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		for sent := 0; sent < maxUndeliverableBytes && writeErr == nil; sent += len(text) {
			var n int
			if n, writeErr = syscall.Write(int(fd), text); writeErr == nil && n < len(text) {
				writeErr = syscall.EAGAIN
			}
		}
		return true
	})
	if err != nil || writeErr != nil && !errors.Is(writeErr, syscall.EAGAIN) {
		t.Fatal(err, writeErr)
	}
}

// Guards against attempts for a client that has gone: the close of a client that has sent
// more than the system can deliver is noticed, since the ingress goes on reading.
func TestCloseBehindUndeliverableBytesIsNoticed(t *testing.T) {
	long := func(options string) string {
		return encode("Q.DO", testCustomer, newRequestID(), options, longBody)
	}
	short := func(options string) string { return encode("Q.DO", testCustomer, newRequestID(), options, "BODY") }
	for name, input := range map[string]func(options string) (first, filler string){
		"long commands":                func(options string) (string, string) { return "", long(options) },
		"short commands":               func(options string) (string, string) { return "", short(options) },
		"commands behind invalid ones": func(options string) (string, string) { return strings.Repeat(encode("GET", "x"), 3), long(options) },
		"malformed input":              func(string) (string, string) { return "nonsense\r\n", longBody },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			r, options := newLongDeadlineRig(t, b)
			c := r.dial()
			c.send("Q.DO", testCustomer, newRequestID(), options, "BODY")
			got := wait(t, "the request", b.commands)
			first, filler := input(options)
			var pipeline strings.Builder
			for range maxPipelinedCommands - 2 { // one more would fill the pipeline
				pipeline.WriteString(short(options))
			}
			c.write(pipeline.String() + first)
			writeUntilFull(t, c.nc, []byte(filler))
			r.waitForAnyClient("the commands to be read", func(c *client) bool {
				return len(c.pending) >= maxPipelinedCommands || c.closing
			})
			c.nc.Close()
			for wait(t, "the end of the attempt", b.closed) != got.nc { // further requests may have been forwarded
			}
		})
	}
}

// Guards against attempts for a client that has gone during a shutdown: on a connection that
// accepts no further command, a close behind more bytes than the system holds is noticed.
func TestCloseBehindUndeliverableBytesIsNoticedAfterStop(t *testing.T) {
	for name, filler := range map[string]string{
		"long commands":   encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody),
		"short commands":  encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY"),
		"malformed input": longBody,
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			r, options := newLongDeadlineRig(t, b)
			c := r.dial()
			c.send("Q.DO", testCustomer, newRequestID(), options, "BODY")
			got := wait(t, "the request", b.commands)
			r.stopAndCloseListener()
			r.waitForAnyClient("the connection to be closing", func(c *client) bool { return c.closing })
			writeUntilFull(t, c.nc, []byte(filler))
			c.nc.Close()
			if wait(t, "the end of the attempt", b.closed) != got.nc {
				t.Error("another connection to the backend is closed")
			}
		})
	}
}

// A client that stays is answered in order: the commands that are read after the decision to
// close the connection are refused, an incomplete one too, and none reaches a backend.
func TestCommandsReadAfterCloseDecisionAreRefused(t *testing.T) {
	b := newFakeBackend(t)
	r, options := newLongDeadlineRig(t, b)
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), options, "BODY")
	slow := wait(t, "the request", b.commands)
	r.stopAndCloseListener()
	r.waitForAnyClient("the connection to be closing", func(c *client) bool { return c.closing })
	const behind = 5
	for range behind {
		c.send("Q.DO", testCustomer, newRequestID(), options, longBody)
	}
	c.write(encode("Q.DO", testCustomer, newRequestID(), options, longBody)[:len(longBody)/2])
	r.waitForAnyClient("the refusals", func(c *client) bool { return len(c.pending) == behind+1 })
	r.eventually("the partial command to be read", func(*loop) bool { return !r.hasUnreadInput(c) })
	slow.replyValue("v")
	c.wantLine("$1\r\nv")
	for range behind + 1 { // with the partial command
		if got := c.readLine(); !strings.HasPrefix(got, "-BUSY ") {
			t.Fatalf("a command after the decision to close is answered %q, want -BUSY with advice", got)
		}
	}
	c.wantClosed()
	wantNone(t, "a request at the backend", b.commands)
	r.eventually("the memory to be released", func(l *loop) bool { return l.memory.used.Load() == 0 })
}

// Guards against a wrong time that backends are told: commands behind a full pipeline are not
// left in the socket, where their time would not count. Those for which the read buffer has
// no room are refused at once, and the client is answered in order.
func TestCommandsBehindFullBufferAreRefused(t *testing.T) {
	b := newFakeBackend(t)
	r, options := newLongDeadlineRig(t, b)
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), options, "BODY")
	slow := wait(t, "the slow request", b.commands)
	const behind = 12
	var text strings.Builder
	for range maxPipelinedCommands - 1 {
		text.WriteString(encode("PING"))
	}
	for range behind {
		text.WriteString(encode("Q.DO", testCustomer, newRequestID(), options, longBody))
	}
	c.write(text.String())
	r.waitForAnyClient("the refusals", func(c *client) bool {
		// The last command may fit into the buffer, and then waits there.
		return len(c.pending) >= maxPipelinedCommands+behind-1
	})
	slow.replyValue("v")
	c.wantLine("$1\r\nv")
	for range maxPipelinedCommands - 1 {
		c.wantLine("+PONG")
	}
	for range behind - 1 {
		if got := c.readLine(); !strings.HasPrefix(got, "-BUSY ") {
			t.Fatalf("a command behind the full buffer is answered %q, want -BUSY with advice", got)
		}
	}
	r.eventually("the memory to be released", func(l *loop) bool {
		return l.memory.usedBy[answerMemory].Load() <= slotOverheadBytes+shortAnswerBytes // of the last command
	})
}

// A client that sends faster than it is answered is slowed down: while slots become free, the
// commands in its full buffer wait. They are refused only when they have waited too long, and
// the connection ends only if no slot becomes free although many answers are due.
func TestFullBufferWaitsForASlot(t *testing.T) {
	long := time.Now().Add(-maxFullTime)
	for _, c := range []struct {
		name           string
		fullSince      time.Time
		fruitlessWaits int
		pending        int
		slotFreed      bool
		wantRefused    bool
		wantWaits      int
		want           error
	}{
		{name: "a slot becomes free", slotFreed: true},
		{name: "no slot becomes free in time", wantWaits: 1},
		{name: "full for too long", fullSince: long, fruitlessWaits: maxFruitlessWaits, wantRefused: true},
		{name: "full for too long, with many answers due, while slots become free",
			fullSince: long, fruitlessWaits: maxFruitlessWaits - 1, pending: maxPendingAnswers / 2, slotFreed: true},
		{name: "full for too long, with many answers due, after one wait",
			fullSince: long.Add(-time.Hour), pending: maxPendingAnswers / 2, wantWaits: 1},
		{name: "full for too long, with many answers due, and no slot",
			fullSince: long, fruitlessWaits: maxFruitlessWaits, pending: maxPendingAnswers / 2,
			wantWaits: maxFruitlessWaits, want: errTooManyCommands},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, nil, newFakeBackend(t).member("b"))
			client := newClient(r.server, newConnFixture(t).nc)
			for range c.pending {
				client.push(&slot{})
			}
			in := newInput(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY"))
			in.fullSince, in.fruitlessWaits = c.fullSince, c.fruitlessWaits
			if c.slotFreed {
				notify(client.slotFreed)
			}
			if err := client.handleFullBuffer(&in); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if refused := len(in.buf) == 0; refused != c.wantRefused {
				t.Errorf("the command is refused: %v, want %v", refused, c.wantRefused)
			}
			if in.fruitlessWaits != c.wantWaits {
				t.Errorf("%d waits without a free slot are counted, want %d", in.fruitlessWaits, c.wantWaits)
			}
			if in.fullSince.IsZero() {
				t.Error("the buffer does not count as full although the socket was not drained")
			}
		})
	}
}

// A full buffer holds few long commands. Once it has been full for too long, the next ones
// are refused without a wait, until all that has come is read: otherwise a close behind many
// long commands would arrive late.
func TestLongCommandsAreRefusedWithoutFurtherWaits(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	in := newInput(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody))
	in.fullSince = time.Now().Add(-maxFullTime)
	for n := range 3 {
		if err := c.handleFullBuffer(&in); err != nil || c.pendingAnswers() > n+1 || len(in.buf) > 0 {
			t.Fatalf("command %d is not refused at once, error %v", n, err)
		}
		next := newInput(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody))
		in.buf, in.arrivals = next.buf, next.arrivals
	}
}

// A client that has commands refused as fast as it can send them, and reads its answers,
// keeps its connection.
func TestFastClientKeepsItsConnection(t *testing.T) {
	b := newFakeBackend(t)
	r, refusedOptions := newCappedPlanRig(t, b)
	c := r.dial()
	const commands = 20_000
	go func() {
		for range commands {
			if _, err := c.nc.Write([]byte(encode("Q.DO", testCustomer, newRequestID(), refusedOptions, "BODY"))); err != nil {
				return
			}
		}
	}()
	for n := range commands {
		if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("command %d is answered %q, want -BUSY", n, got)
		}
	}
	c.send("PING")
	c.wantLine("+PONG")
}

// Commands that are refused because the read buffer is full take no more than the budget and
// the limit of the connection, whatever the client sends.
func TestRefusedCommandsBehindFullBufferAreBounded(t *testing.T) {
	for name, setUp := range map[string]struct {
		memoryLimit int64
		want        error
	}{
		"by the connection": {1 << 30, errTooManyCommands},
		"by the memory":     {60_000, errNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil, newFakeBackend(t).member("b"))
			r.runOnLoop(func(l *loop) { l.memory.limit = setUp.memoryLimit })
			f := newConnFixture(t)
			c := newClient(r.server, f.nc)
			c.sentCommand = true
			c.push(&slot{}) // a request without an answer
			for range maxPipelinedCommands - 1 {
				c.reply([]byte("+PONG\r\n"))
			}
			readerDone := make(chan error, 1)
			go func() { readerDone <- c.readCommands() }()
			go func() {
				for command := []byte(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody[:300])); ; {
					if _, err := f.peer.Write(command); err != nil {
						return
					}
				}
			}()
			if err := wait(t, "the reader", readerDone); !errors.Is(err, setUp.want) {
				t.Errorf("the reader ends with %v, want %v", err, setUp.want)
			}
			if n := c.pendingAnswers(); n > maxPendingAnswers {
				t.Errorf("%d answers are due, want %d at most", n, maxPendingAnswers)
			}
		})
	}
}

// A delay after an invalid command does not stop the reader either: what overflows the buffer
// meanwhile is refused, and invalid commands among it still count.
func TestInvalidCommandsBehindFullBufferAreCounted(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	valid := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody)
	in := newInput(encode("PING") + valid + strings.Repeat(encode("GET", "x"), maxInvalidCommands))
	in.blockedUntil = time.Now().Add(time.Hour)
	if err := c.refuseBuffered(&in); !errors.Is(err, errTooManyInvalidCommands) {
		t.Errorf("the reader goes on, error %v", err)
	}
	want := "+PONG\r\n" + string(r.server.busyReply())
	if got := readUnread(t, f.peer, len(want)); !strings.HasPrefix(got, want) {
		t.Errorf("the client gets %q, want %q first", got, want)
	}
}

package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

func TestRequestIsForwardedUnchangedExceptTimeLimit(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("q.do", testCustomer, testRequestID, "k=abc,"+paymentOptions+",r=1", "BODY")
	got := wait(t, "the request", b.commands)
	var limit int
	if _, err := fmt.Sscanf(got.args[3], "k=abc,c=payment,t=basic,d=%d,units=1,spread=1,first=0,r=1", &limit); err != nil {
		t.Errorf("options %q: %v", got.args[3], err)
	}
	if limit <= 0 || limit >= 20000 {
		t.Errorf("the backend is told %d ms, want less than the client's 20000", limit)
	}
	got.args[3] = ""
	if want := fmt.Sprint([]string{"q.do", testCustomer, testRequestID, "", "BODY"}); fmt.Sprint(got.args) != want {
		t.Errorf("the backend got %v, want %s", got.args, want)
	}
	got.replyValue("done")
	c.wantLine("$4\r\ndone")
}

// A long command, which is written in parts, arrives as the client sent it.
func TestLongRequestIsForwardedUnchanged(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("Q.DO", testCustomer, testRequestID, paymentOptions, longBody)
	got := wait(t, "the request", b.commands)
	if len(got.args) != 5 || got.args[4] != longBody {
		t.Errorf("the backend got %d arguments, the last with %d bytes", len(got.args), len(got.args[len(got.args)-1]))
	}
	got.replyValue("done")
	c.wantLine("$4\r\ndone")
}

func TestPipelinedCommandsRunConcurrentlyAndAnswerInOrder(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.write(encode("Q.ASK", testCustomer, "0000000000000001", lookupOptions) +
		encode("Q.ASK", testCustomer, "0000000000000002", lookupOptions) + encode("PING"))
	one, two := wait(t, "a request", b.commands), wait(t, "the request after it", b.commands)
	if one.args[2] > two.args[2] {
		one, two = two, one
	}
	two.replyValue("second")
	one.replyValue("first")
	c.wantLine("$5\r\nfirst")
	c.wantLine("$6\r\nsecond")
	c.wantLine("+PONG")
}

func TestInvalidCommandsAreRejectedAndNotForwarded(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	ask := func(from, to string) []string {
		if !strings.Contains(lookupOptions, from) {
			t.Fatalf("%q is not in the options", from)
		}
		return []string{"Q.ASK", testCustomer, testRequestID, strings.Replace(lookupOptions, from, to, 1)}
	}
	for _, words := range [][]string{
		{"GET", "x"},
		{"Q.ASK"},
		{"Q.ASK", testCustomer, testRequestID, lookupOptions, "BODY"},
		{"Q.ASK", testCustomer, lookupOptions},
		{"Q.DO", testCustomer, testRequestID, paymentOptions},
		{"Q.ASK", "00000000b4d6552", testRequestID, lookupOptions},
		{"Q.ASK", "00000000b4d6552x", testRequestID, lookupOptions},
		{"Q.ASK", "ffffffffffffffff", testRequestID, lookupOptions},
		{"Q.ASK", testCustomer, "", lookupOptions},
		{"Q.ASK", testCustomer, "+b1f03aa5c7e2d41", lookupOptions},
		ask("lookup", "order"), ask("basic", "team"),
		ask("d=20000", "d=NaN"), ask("d=20000", "d=1e4"), ask("d=20000", "d=0"),
		ask("d=20000", "d=-5"), ask("d=20000", "d="),
		ask("units=1", "units=-1"), ask("units=1", "units=0"), ask("units=1", "units=2"),
		ask("units=1", "units=1e0"), ask("units=1", "units=0x1"), ask("units=1", "units=1."),
		ask("units=1", "units=many"), ask(",units=1", ""),
		ask("spread=1", "spread=x"), ask("spread=1", "spread=0"), ask("spread=1", "spread=2"),
		ask("spread=1", "spread=+1"), ask(",spread=1", ""),
		ask("first=0", "first=1"), ask("first=0", "first=-1"), ask("first=0", "first=0.0"),
		ask(",first=0", ""),
		ask("first=0", "first=0"+strings.Repeat(",x=1", maxOptions)), // would take much time to decode
		ask("first=0", "first=0,r=2"), ask("first=0", "first=0,r=x"), ask("first=0", "first=0,r="),
		ask("first=0", "first=0,units=1"), ask("first=0", "first=0,c=lookup"), ask("first=0", "first=0,d=5"),
		{"Q.ASK", testCustomer, testRequestID, "c=lookup,t=basic"},
		{"Q.ASK", testCustomer, testRequestID, "c=lookup,,"},
		{"Q.ASK", testCustomer, testRequestID, ""},
		{"Q.ASK", testCustomer, testRequestID, paymentOptions},
		{"Q.DO", testCustomer, testRequestID, lookupOptions, "BODY"},
	} {
		c := r.dial()
		c.send(words...)
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.80q is answered %q, want -ERR", words, got)
		}
		c.send("PING") // the connection is still served
		c.wantLine("+PONG")
		c.nc.Close()
	}
	wantNone(t, "a forwarded request", b.commands)
	r.runOnLoop(func(l *loop) {
		if len(l.requests) > 0 || l.lastRequestID > 0 {
			t.Error("an invalid request reached the gateway")
		}
	})
}

// A client that sends invalid commands as fast as they are rejected must not take the
// CPU from other clients.
func TestConnectionClosesAfterTooManyInvalidCommands(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	c := r.dial()
	c.write(strings.Repeat(encode("GET", "x"), 1000))
	for n := 1; ; n++ {
		got := c.readLine()
		if !strings.HasPrefix(got, "-ERR ") || n > maxInvalidCommands {
			t.Fatalf("answer %d is %q", n, got)
		}
		if n == maxInvalidCommands {
			break
		}
	}
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection stays open")
	}
}

// Clients choose a new request id for every retry. A second request with the id of an
// open one comes from somebody else, who must not receive the value of the first.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c, other := r.dial(), r.dial()
	c.send("Q.ASK", testCustomer, testRequestID, lookupOptions)
	got := wait(t, "the request", b.commands)
	other.send("Q.ASK", testCustomer, testRequestID, lookupOptions)
	if got := other.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("the duplicate is answered %q, want -ERR", got)
	}
	got.replyValue("v")
	c.wantLine("$1\r\nv")
	other.send("Q.ASK", testCustomer, testRequestID, lookupOptions) // shortly after the first has ended
	if got := other.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("the late duplicate is answered %q, want -ERR", got)
	}
	wantNone(t, "a forwarded duplicate", b.commands)
}

// A client that sends nothing, or only part of a command, would otherwise hold a file
// descriptor forever.
func TestSilentConnectionsAndPartialCommandsTimeOut(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	silent, partial, used := r.dial(), r.dial(), r.dial()
	partial.write("*2\r\n$4\r\nPI")
	used.send("PING")
	used.wantLine("+PONG")
	for name, c := range map[string]*fakeClient{"silent": silent, "partial command": partial} {
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: answer %q, want -ERR", name, got)
		}
		c.wantClosed()
	}
	used.send("PING") // silent for as long, but after a complete command
	used.wantLine("+PONG")
	used.write("*1\r\n$4\r\nPI")
	if got := used.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("a partial command after a complete one is answered %q, want -ERR", got)
	}
	used.wantClosed()
}

// A malformed frame is answered with an error and closes its connection, without effect
// on others. A frame that is too long is rejected by its length line: reading it would
// hold the connection until 60 MB have arrived, however slowly.
func TestMalformedFramesCloseOnlyTheirConnection(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	other := r.dial()
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"$4\r\nPING\r\n",
		"*x\r\n",
		"*-1\r\n",
		"*1\r\n:4\r\n",
		"*1\r\n$-2\r\n",
		"*1\r\n$9223372036854775807\r\nx\r\n",
		"*1\r\n$4\r\nPINGxx\r\n",
		"*99\r\n",
		"*1\n",
		"*" + strings.Repeat("1", 20),
		"*1\r\n$+4\r\nPING\r\n",
		"*1\r\n$-1\r\n",
		"*2\r\n$4\r\nPING\r\n$60000000\r\n",
		fmt.Sprintf("*5\r\n$4\r\nQ.DO\r\n$%d\r\n", maxValueBytes+1),
	} {
		c := r.dial()
		c.send("PING")
		c.wantLine("+PONG")
		c.write(text)
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.40q is answered %q, want -ERR", text, got)
		}
		c.wantClosed()
	}
	other.send("PING")
	other.wantLine("+PONG")
}

func TestPingFailsUntilBackendsAreKnown(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.member("b"))
	r := startRig(t, d, nil)
	c := r.dial()
	c.send("PING")
	if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("PING is answered %q before backends are known", got)
	}
	close(d.listGate)
	wait(t, "a watch", d.watchIndexes)
	r.runOnLoop(func(*loop) {}) // the list that preceded the watch has been applied
	c.send("PING")
	c.wantLine("+PONG")
}

func TestConfiguredBackendsServeWhileDiscoveryIsDown(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t)
	addr := d.Listener.Addr().String()
	d.Close()
	r := startRig(t, d, func(cfg *Config) {
		cfg.Discovery = addr
		cfg.LastKnownList = membership.List{Complete: true, Members: []*membership.Member{b.member("b")}}
	})
	c := r.dial()
	for line := ""; line != "+PONG"; {
		c.send("PING")
		line = c.readLine()
	}
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	wait(t, "the request", b.commands).replyValue("v")
	c.wantLine("$1\r\nv")
}

// The attempts of a disconnected client must not go on.
func TestClientDisconnectCancelsItsAttempts(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	got := wait(t, "the request", b.commands)
	c.nc.Close()
	if nc := wait(t, "the end of the attempt", b.closed); nc != got.nc {
		t.Error("a different backend connection was closed")
	}
	r.eventually("the request to be removed", func(l *loop) bool { return len(l.requests) == 0 })
}

func TestRefusalCarriesRetryAdvice(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) {
		cfg.Choice.Plans[0].CeilingRate, cfg.Choice.Plans[0].CeilingBurst = 1e-9, 1
	}, b.member("b"))
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	var ms int
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("over the ceiling the answer is %q, want -BUSY", got)
	} else if _, err := fmt.Sscanf(got, "-BUSY %d", &ms); err != nil || ms <= 0 || ms > 1000 {
		t.Errorf("the advice is %d ms, want 1 to 1000; %v", ms, err)
	}
	wantNone(t, "a forwarded request", b.commands)
}

// Requests over the memory limit are refused: holding them could run the process out of
// memory.
func TestRequestsOverTheMemoryLimitAreRefused(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	body := strings.Repeat("x", 2000)
	r.runOnLoop(func(l *loop) { // enough for one of the requests, and not for two
		l.memory.limit = int64(3000 + requestOverheadBytes + slotOverheadBytes + shortAnswerBytes)
	})
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, body)
	first := wait(t, "the request", b.commands)
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, body)
	c.send("PING")
	r.waitForAnyClient("the commands to be read", func(c *client) bool { return len(c.pending) == 3 })
	first.replyValue("v")
	c.wantLine("$1\r\nv")
	c.wantLine(busyLine)
	c.wantLine("+PONG")
	r.eventually("the memory to be released", func(l *loop) bool { return l.memory.used.Load() == 0 })
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, body)
	wait(t, "a request after the first has ended", b.commands).replyValue("w")
	c.wantLine("$1\r\nw")
}

// readUnread reads at least minBytes that are unread on a connection.
func readUnread(t *testing.T, nc net.Conn, minBytes int) string {
	t.Helper()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	buf := make([]byte, 1000)
	n, err := io.ReadAtLeast(nc, buf, minBytes)
	if err != nil {
		t.Errorf("only %d bytes are unread: %v", n, err)
	}
	return string(buf[:n])
}

// newInput returns the input of a reader that has just read the text.
func newInput(text string) input {
	in := input{buf: []byte(text)}
	in.arrivals.add(len(text), time.Now())
	return in
}

// A command that was read just before its connection is evicted must be answered: the
// client has to assume that it was accepted, and would not send it again.
func TestCommandReadBeforeEvictionIsAnswered(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	in := newInput(encode("PING"))
	r.server.mu.Lock()
	c.evict()
	r.server.evicting++
	r.server.mu.Unlock()
	if _, err := c.startCommands(&in); err != nil || c.prepareRead(&in, false) != nil {
		t.Errorf("the connection ends, %v", err)
	}
	if got := readUnread(t, b.peer, len("+PONG\r\n")); got != "+PONG\r\n" {
		t.Errorf("the client gets %q", got)
	}
	r.server.mu.Lock()
	if r.server.evicting != 0 {
		t.Error("the connection is still counted as being evicted")
	}
	r.server.mu.Unlock()
	go c.serve()
	fmt.Fprint(b.peer, encode("PING")) // the connection is still served
	readUnread(t, b.peer, len("+PONG\r\n"))
	c.evict() // now that it is idle, it is closed
	if got, err := io.ReadAll(b.peer); len(got) > 0 || err != nil {
		t.Errorf("the client gets %q, %v; want the end of the stream", got, err)
	}
}

// A connection with a partial command is in use, even if the command began to arrive
// just before the eviction: the rest of the command is awaited.
func TestPartialCommandPreventsEviction(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	whole := encode("PING")
	in := newInput(whole[:5])
	r.server.mu.Lock()
	c.evict()
	r.server.evicting++
	r.server.mu.Unlock()
	if blocked, err := c.startCommands(&in); err != nil || c.prepareRead(&in, blocked) != nil {
		t.Fatalf("the connection ends, %v", err)
	}
	rest := newInput(whole)
	if blocked, err := c.startCommands(&rest); err != nil || c.prepareRead(&rest, blocked) != nil {
		t.Fatalf("the connection ends after the command, %v", err)
	}
	readUnread(t, b.peer, len("+PONG\r\n"))
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.server.evicting != 0 {
		t.Error("the connection is still counted as being evicted")
	}
}

// Guards against new connections that wait in the backlog: a client that stops in the middle of
// a command is not evicted, and must not count as if it were, or nobody else is.
func TestPartialCommandDoesNotCountAsEvicted(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	c := newClient(r.server, newConnFixture(t).nc)
	in := newInput(encode("PING")[:5])
	r.server.mu.Lock()
	c.evict()
	r.server.evicting++
	r.server.mu.Unlock()
	if blocked, err := c.startCommands(&in); err != nil || c.prepareRead(&in, blocked) != nil {
		t.Fatalf("the connection ends, %v", err)
	}
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.server.evicting != 0 {
		t.Error("the connection counts as being evicted")
	}
	if _, evictable := c.evictionRank(time.Now().Add(time.Hour), true); evictable {
		t.Error("the connection is chosen for eviction again")
	}
}

// A command that arrives after the reader has decided to close the connection stays
// unread, so that the client sends it to another ingress. The answer before it must not
// be lost.
func TestCommandArrivingAfterCloseDecisionStaysUnread(t *testing.T) {
	for name, firstCommandOnly := range map[string]bool{"draining": false, "first command only": true} {
		r := newRig(t, nil, newFakeBackend(t).member("b"))
		b := newConnFixture(t)
		c := newClient(r.server, b.nc)
		c.reply([]byte("+last\r\n"))
		if got := readUnread(t, b.peer, len("+last\r\n")); got != "+last\r\n" {
			t.Errorf("%s: the client gets %q", name, got)
		}
		r.eventually("the writer to be done", func(*loop) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.sending
		})
		c.drain(firstCommandOnly)
		late := encode("PING")
		fmt.Fprint(b.peer, late)
		for b.nothingToRead() { // until the command has arrived
			time.Sleep(time.Millisecond)
		}
		if err := c.readCommands(); !errors.Is(err, errServerClose) {
			t.Errorf("%s: the reader ends with %v, want errServerClose", name, err)
		}
		c.flushAndLinger(false)
		if got := readUnread(t, b.nc, len(late)); got != late {
			t.Errorf("%s: %q is left unread, want the late command", name, got)
		}
		if got, err := io.ReadAll(b.peer); len(got) > 0 || err != nil {
			t.Errorf("%s: the client gets %q, %v; want the end of the stream", name, got, err)
		}
	}
}

// The operating system has already accepted the connections in the listener's queue, so
// commands that clients have written to them must be answered, even if the ingress is
// told to stop first.
func TestQueuedConnectionsAreServedAfterStop(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets, cfg.Choice.Probing = 20, false }, b.member("b"))
	// With 20 descriptors there may be 4 clients at a time; idle ones are evicted for others.
	const servedBeforeStop = 11
	r.closeListenerOnStop()
	var clients []*fakeClient
	for range servedBeforeStop + 5 { // the last ones wait in the queue
		c := r.dial()
		c.send("PING")
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		clients = append(clients, c)
	}
	for _, c := range clients[:servedBeforeStop] {
		c.wantLine("+PONG")
	}
	r.stop()
	for _, c := range clients[servedBeforeStop:] {
		c.wantLine("+PONG")
	}
	go func() {
		for got := range b.commands {
			got.replyValue("v")
		}
	}()
	for i, c := range clients {
		if got := c.readLine(); got != "$1\r\nv" && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("client %d gets %q", i, got)
		}
		c.wantClosed()
	}
	close(b.commands)
	if err := wait(t, "the end", r.serveDone); err != nil {
		t.Error(err)
	}
}

// The writer may free a slot just before the reader waits for one: commands in the
// buffer must then start without waiting for further input. A delay after an invalid
// command that is long over must not make a reader without a free slot spin.
func TestReaderWaitsOnlyForAFreeSlot(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	c.sentCommand = true
	allSlots := make([]*slot, maxPipelinedCommands)
	in := newInput(encode("PING"))
	in.blockedUntil = time.Now().Add(-time.Hour)

	c.pending = allSlots
	blocked, err := c.startCommands(&in)
	if !blocked || err != nil || c.prepareRead(&in, blocked) != nil {
		t.Fatalf("with a full pipeline, blocked is %v, error %v", blocked, err)
	}
	fmt.Fprint(b.peer, "x")
	if n, err := c.nc.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the reader does not wait for input: %v", err)
	}

	if blocked, _ = c.startCommands(&in); !blocked {
		t.Fatal("a command is started without a free slot")
	}
	c.mu.Lock() // as the writer does
	c.pending, c.pipelineFull = nil, false
	c.interruptRead()
	c.mu.Unlock()
	if c.prepareRead(&in, blocked) != nil {
		t.Fatal("the connection ends")
	}
	readDone := make(chan error, 1)
	go func() {
		_, err := c.nc.Read(make([]byte, 1))
		readDone <- err
	}()
	if err := wait(t, "the read to be interrupted", readDone); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the reader ends with %v", err)
	}
	if blocked, err = c.startCommands(&in); blocked || err != nil || len(in.buf) > 0 {
		t.Errorf("the command is not started: blocked is %v, error %v", blocked, err)
	}
}

// waitForAnyClient waits until the condition holds for at least one client connection.
func (r *rig) waitForAnyClient(what string, condition func(*client) bool) {
	r.Helper()
	r.eventually(what, func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for c := range r.server.clients {
			c.mu.Lock()
			found := condition(c)
			c.mu.Unlock()
			if found {
				return true
			}
		}
		return false
	})
}

// newLongDeadlineRig returns a rig whose requests may take longer than any test, and the
// options of such a request.
func newLongDeadlineRig(t *testing.T, b *fakeBackend) (r *rig, options string) {
	r = newRig(t, func(cfg *Config) {
		cfg.Choice.Probing = false
		for i := range cfg.Choice.Classes {
			cfg.Choice.Classes[i].Deadline = time.Hour
		}
	}, b.member("b"))
	return r, strings.Replace(paymentOptions, "d=20000", "d=3600000", 1)
}

// A disconnect of the client is detected at once in every state of the reader: its open
// attempts end and no further command is started.
func TestClientDisconnectIsDetected(t *testing.T) {
	for name, prepare := range map[string]func(*rig, *fakeClient, string){
		"while the pipeline is full": func(r *rig, c *fakeClient, options string) {
			var text strings.Builder
			for range 2 * maxPipelinedCommands {
				text.WriteString(encode("Q.DO", testCustomer, newRequestID(), options, "BODY"))
			}
			c.write(text.String())
			r.waitForAnyClient("the pipeline to be full", func(c *client) bool { return c.pipelineFull })
		},
		"while the last answers are due": func(r *rig, c *fakeClient, _ string) {
			c.write("nonsense\r\n")
			r.waitForAnyClient("the connection to be closing", func(c *client) bool { return c.closing })
		},
		"after the stop": func(r *rig, _ *fakeClient, _ string) { r.stopAndCloseListener() },
		"after the stop, behind an unread command": func(r *rig, c *fakeClient, _ string) {
			r.stopAndCloseListener()
			r.waitForAnyClient("the connection to be closing", func(c *client) bool { return c.closing })
			c.send("PING")
		},
		"behind more input than the read buffer holds": func(r *rig, c *fakeClient, options string) {
			var text strings.Builder
			for range maxPipelinedCommands {
				text.WriteString(encode("Q.DO", testCustomer, newRequestID(), options, "BODY"))
			}
			c.write(text.String())
			r.waitForAnyClient("the pipeline to be full", func(c *client) bool { return c.pipelineFull })
			text.Reset()
			// A little more than the read buffer; the socket buffers hold the rest.
			for text.Len() < maxMessageBytes+readBufferBytes+8<<10 {
				text.WriteString(encode("Q.DO", testCustomer, newRequestID(), options, strings.Repeat("x", 4<<10)))
			}
			c.write(text.String())
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			r, options := newLongDeadlineRig(t, b)
			c := r.dial()
			c.send("Q.DO", testCustomer, newRequestID(), options, "BODY")
			got := wait(t, "the request", b.commands)
			prepare(r, c, options)
			c.nc.Close()
			for wait(t, "the end of the attempt", b.closed) != got.nc { // further requests may have been forwarded
			}
		})
	}
}

// Guards against attempts for a client that has gone: a reader whose buffer is full notices
// the close behind the unread bytes in each of its waits.
func TestBlockedReaderNoticesCloseBehindUnreadBytes(t *testing.T) {
	for name, in := range map[string]input{
		"delay after an invalid command": {blockedUntil: time.Now().Add(time.Hour)},
		"full pipeline":                  {pipelineFull: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil, newFakeBackend(t).member("b"))
			f := newConnFixture(t)
			c := newClient(r.server, f.nc)
			fmt.Fprint(f.peer, "unread")
			waitDone := make(chan bool, 1)
			go func() { waitDone <- c.waitUnblocked(&in) }()
			f.peer.Close()
			if wait(t, "the end of the wait", waitDone) {
				t.Error("commands are started for a client that has disconnected")
			}
		})
	}
}

// Guards against attempts for a client that has gone: commands that are read late, from the
// listener's backlog or behind other commands, are not started if their client has closed
// the connection in the meantime.
func TestCommandsOfDisconnectedClientAreNotStarted(t *testing.T) {
	for name, lastSeen := range map[string]time.Time{
		"first commands":               {},
		"commands behind a wait":       time.Now().Add(-peerCloseCheckInterval),
		"commands behind a freed slot": time.Now().Add(-time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil, newFakeBackend(t).member("b"))
			f := newConnFixture(t)
			c := newClient(r.server, f.nc)
			fmt.Fprint(f.peer, "unread")
			f.peer.Close()
			for !peerClosed(f.nc) { // until the close has arrived
				runtime.Gosched()
			}
			in := newInput(encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY") + encode("PING"))
			in.checkedAt = lastSeen
			if _, err := c.startCommands(&in); !errors.Is(err, errClientDisconnected) {
				t.Errorf("the reader goes on, error %v", err)
			}
			if c.answers > 0 {
				t.Errorf("%d commands are started", c.answers)
			}
		})
	}
}

// Events posted before the loop stops are still handled: otherwise the attempt of the
// last client that disconnects would go on at its backend.
func TestLoopHandlesQueuedEventsBeforeStopping(t *testing.T) {
	for range 100 { // both channels are ready, and select picks one at random
		l := &loop{events: make(chan event, 2), done: make(chan struct{})}
		handled, stop := 0, make(chan struct{})
		l.post(func(*loop) { handled++ })
		l.post(func(*loop) { handled++ })
		close(stop)
		l.run(stop)
		if handled != 2 {
			t.Fatalf("%d of 2 events were handled", handled)
		}
	}
}

// stopAndCloseListener stops the ingress and waits until it refuses connections.
func (r *rig) stopAndCloseListener() {
	r.closeListenerOnStop()
	r.stop()
	r.waitForListenerClose()
}

func TestStopAnswersOpenRequestsAndClosesIdleConnections(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	quiet, busy := r.dial(), r.dial()
	quiet.send("PING")
	quiet.wantLine("+PONG")
	busy.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	got := wait(t, "the request", b.commands)
	phaseEnds := r.controlPhaseEnds()
	r.stop()
	quiet.wantClosed()
	late := r.dial() // the listener stays open for a while
	late.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	second := wait(t, "a request after the stop", b.commands)
	second.replyValue("late")
	late.wantLine("$4\r\nlate")
	late.wantClosed()
	close(phaseEnds[phaseAccept])
	r.waitForListenerClose()
	got.replyValue("v") // the open request is still awaited
	busy.wantLine("$1\r\nv")
	busy.wantClosed()
	if err := wait(t, "the end", r.serveDone); err != nil {
		t.Error(err)
	}
}

// At the limit of file descriptors, the connection that has been idle for longest is
// evicted; one with an open request never is.
func TestIdleClientIsEvictedForANewOne(t *testing.T) {
	b := newFakeBackend(t)
	// Two descriptors are left for clients.
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets = reservedSockets + 4 }, b.member("b"))
	for n := 1; n > 0; { // until the connection of newRig is closed
		r.server.mu.Lock()
		n = len(r.server.clients)
		r.server.mu.Unlock()
	}
	busy := r.dial()
	busy.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	got := wait(t, "the request", b.commands)
	quiet := r.dial()
	quiet.send("PING")
	quiet.wantLine("+PONG")
	third := r.dial()
	third.send("PING")
	third.wantLine("+PONG")
	quiet.wantClosed()
	got.replyValue("v")
	busy.wantLine("$1\r\nv")
}

func TestRequestIsAnsweredBeforeClientTimeout(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	asked := time.Now()
	c.send("Q.DO", testCustomer, newRequestID(), strings.Replace(paymentOptions, "d=20000", "d=2000", 1), "BODY")
	got := wait(t, "the request", b.commands)
	c.wantLine("-ERR failed")
	if took := time.Since(asked); took < 1500*time.Millisecond {
		t.Errorf("failed after %v, long before the deadline of 2 s", took)
	}
	if nc := wait(t, "the end of the attempt", b.closed); nc != got.nc {
		t.Error("a different backend connection was closed")
	}
	c.send("PING") // no second answer precedes PONG
	c.wantLine("+PONG")
}

// A request gets one final answer; later ones are dropped.
func TestSecondAnswerIsDropped(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.write(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions) + encode("Q.ASK", testCustomer, newRequestID(), lookupOptions))
	one, two := wait(t, "a request", b.commands), wait(t, "another", b.commands)
	r.runOnLoop(func(l *loop) { // the answer of the second is not written before that of the first
		l.Fail(2, choice.None)
		l.Refuse(2, 0, choice.None)
	})
	one.replyValue("v")
	two.replyValue("v")
	c.wantLine("$1\r\nv")
	c.wantLine("-ERR failed")
	c.send("PING")
	c.wantLine("+PONG")
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"invalid JSON": "{", "no settings": `{"name":"n"}`,
		"bad seed": `{"seed":"x","settings":` + fmt.Sprintf(settingsFormat, 1) + `}`,
	} {
		if _, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, fmt.Sprintf(settingsFormat, 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = taken.Addr().String()
	if _, err := Listen(cfg); err == nil {
		t.Error("no error for an address in use")
	}
}

// The deadline of a command that had to wait for a free slot counts from the arrival of
// its own last byte, even if further commands arrive meanwhile: its client does not wait
// any longer than that.
func TestBlockedCommandDeadlineCountsFromItsLastByte(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	c.sentCommand = true
	c.pending = make([]*slot, maxPipelinedCommands)
	const timeLimit, blockedFor = 20 * time.Second, 5 * time.Second
	in := input{}
	now := time.Now()
	for _, at := range []time.Time{now.Add(-blockedFor), now} {
		text := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		in.buf = append(in.buf, text...)
		in.arrivals.add(len(text), at)
		if blocked, err := c.startCommands(&in); !blocked || err != nil {
			t.Fatalf("with a full pipeline, blocked is %v, error %v", blocked, err)
		}
	}
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	if _, err := c.startCommands(&in); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, want := range []time.Duration{timeLimit - blockedFor, timeLimit} {
		if remaining := c.pending[i].request.deadline.Sub(now); remaining > want || remaining < want-maxDeadlineMargin {
			t.Errorf("request %d has %v left, want %v or up to maxDeadlineMargin less", i, remaining, want)
		}
	}
}

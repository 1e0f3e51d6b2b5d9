package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarseam/internal/membership"
	"cedarseam/internal/shutdown"
)

// farFuture is longer than any test takes.
const farFuture = time.Hour

// controlPhaseEnds makes each phase of a later shutdown last until its channel is closed.
// The time to answer requests is limited only by their own deadlines.
func (r *rig) controlPhaseEnds() (ends [phaseClose + 1]chan struct{}) {
	for p := range ends {
		ends[p] = make(chan struct{})
	}
	r.server.newSchedule = func(requestedAt time.Time, _ time.Duration) shutdown.Schedule {
		end := requestedAt.Add(farFuture)
		return shutdown.Schedule{RequestedAt: requestedAt, AcceptUntil: end, AnswerBy: end,
			ReadUntil: end, CloseBy: end, KillAt: end}
	}
	r.server.phaseEnd = func(p phase, _ shutdown.Schedule) <-chan struct{} { return ends[p] }
	return ends
}

// closeListenerOnStop makes a later shutdown close the listener at once, and its other
// phases last forever.
func (r *rig) closeListenerOnStop() {
	close(r.controlPhaseEnds()[phaseAccept])
}

// waitForListenerClose opens connections until they are refused.
func (r *rig) waitForListenerClose() {
	r.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		nc, err := net.Dial("tcp", r.server.Addr().String())
		if err != nil {
			return
		}
		nc.Close()
	}
	r.Fatal("timed out waiting for the listener to close")
}

// waitForAllClients waits until the condition holds for every client connection.
func (r *rig) waitForAllClients(what string, condition func(*client) bool) {
	r.Helper()
	r.eventually(what, func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for c := range r.server.clients {
			c.mu.Lock()
			holds := condition(c)
			c.mu.Unlock()
			if !holds {
				return false
			}
		}
		return true
	})
}

// stopCase is what one client sends before and during a shutdown, and the answers that it
// must receive. The backend never sends a complete answer.
type stopCase struct {
	beforeStop          func(*fakeClient) // before the shutdown
	afterListenerClose  func(*fakeClient) // once the listener is closed
	afterAnswerDeadline func(*fakeClient) // once the schedule's AnswerBy has passed
	want                []string          // all answers before the connection is closed
	wantForwarded       int               // requests that reach the backend
}

// Answers of the ingress to requests that have not succeeded.
const (
	busyLine   = "-BUSY 200"
	failedLine = "-ERR failed"
)

// sendPartialCommand sends the first 40 bytes of a lookup.
func sendPartialCommand(c *fakeClient) {
	c.write(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions)[:40])
}

// exchangePing sends a PING and waits for its answer.
func exchangePing(c *fakeClient) {
	c.send("PING")
	c.wantLine("+PONG")
}

// sendLookup sends a request that may run twice.
func sendLookup(c *fakeClient) { c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions) }

// sendPayment sends a request that must not run twice.
func sendPayment(c *fakeClient) {
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
}

// sendShortLookup sends a lookup with a time limit of 150 ms.
func sendShortLookup(c *fakeClient) {
	c.send("Q.ASK", testCustomer, newRequestID(), strings.Replace(lookupOptions, "20000", "150", 1))
}

// pipelinedLookups is more requests than a connection may have unanswered: the others are
// read, but not started.
const pipelinedLookups = 2 * maxPipelinedCommands

// sendPipelinedLookups sends pipelinedLookups lookups at once.
func sendPipelinedLookups(c *fakeClient) {
	var text strings.Builder
	for range pipelinedLookups {
		text.WriteString(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions))
	}
	c.write(text.String())
}

// expectLine returns a step that waits for an answer.
func expectLine(line string) func(*fakeClient) {
	return func(c *fakeClient) { c.wantLine(line) }
}

// inSequence returns a step that runs these steps one after the other.
func inSequence(steps ...func(*fakeClient)) func(*fakeClient) {
	return func(c *fakeClient) {
		for _, step := range steps {
			step(c)
		}
	}
}

var stopCases = map[string]stopCase{
	"new connection without input": {},
	"idle used connection":         {beforeStop: exchangePing},
	"partial command on a new connection": {
		beforeStop: sendPartialCommand,
		want:       []string{busyLine}},
	"partial command on a used connection": {
		beforeStop: inSequence(exchangePing, sendPartialCommand),
		want:       []string{busyLine}},
	"partial command after the listener has closed": {
		afterListenerClose: sendPartialCommand,
		want:               []string{busyLine}},
	"open request that may run twice": {
		beforeStop: sendLookup,
		want:       []string{busyLine}, wantForwarded: 1},
	"open request that must not run twice": {
		beforeStop: sendPayment,
		want:       []string{failedLine}, wantForwarded: 1},
	"request whose deadline has passed": {
		beforeStop:    inSequence(sendShortLookup, expectLine(failedLine)),
		wantForwarded: 1},
	"open request followed by a partial command": {
		beforeStop: inSequence(sendPayment, sendPartialCommand),
		want:       []string{failedLine, busyLine}, wantForwarded: 1},
	"first lookup after the listener has closed": {
		afterListenerClose: sendLookup,
		want:               []string{busyLine}, wantForwarded: 1},
	"first payment after the listener has closed": {
		afterListenerClose: sendPayment,
		want:               []string{failedLine}, wantForwarded: 1},
	"first request after the answer deadline": {
		afterAnswerDeadline: sendPayment,
		want:                []string{busyLine}},
	"more requests than may be open": {
		beforeStop: sendPipelinedLookups,
		want:       slices.Repeat([]string{busyLine}, pipelinedLookups), wantForwarded: 1},
	"invalid commands before a PING": {
		beforeStop: func(c *fakeClient) {
			c.write(encode("GET") + encode("GET") + encode("GET") + encode("PING"))
		},
		want: []string{"-ERR unknown command", "-ERR unknown command", "-ERR unknown command", "+PONG"}},
}

// Every command that is read after the shutdown was requested must be answered before the
// process may be killed, and every connection closed, whatever the state of the client and
// however the backend fails to answer.
func TestStopAnswersEveryCommandRead(t *testing.T) {
	for backend, handle := range map[string]func(receivedCommand){
		"no answer":      func(receivedCommand) {},
		"partial answer": func(got receivedCommand) { io.WriteString(got.nc, "*3\r\n$5\r\nva") },
		"no connection":  nil,
		"not reading":    func(got receivedCommand) { got.nc.(*net.TCPConn).CloseRead() },
	} {
		for name, testCase := range stopCases {
			t.Run(backend+"/"+name, func(t *testing.T) {
				t.Parallel()
				checkStop(t, testCase, handle)
			})
		}
	}
}

// handleEach calls handle for each command that the backend receives, until the end of the
// test.
func (b *fakeBackend) handleEach(t *testing.T, handle func(receivedCommand)) {
	for {
		select {
		case request := <-b.commands:
			handle(request)
		case <-t.Context().Done():
			return
		}
	}
}

// checkStop runs one case of a shutdown with a backend that handles commands with handle, or
// that can't be connected to if handle is nil.
func checkStop(t *testing.T, testCase stopCase, handle func(receivedCommand)) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing, cfg.Choice.MaxAttempts = false, 1 },
		b.member("b"))
	if handle == nil {
		r.runOnLoop(func(l *loop) {
			l.pool.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				<-ctx.Done()
				return ctx.Err()
			}
		})
	}
	received := make(chan struct{}, pipelinedLookups)
	go b.handleEach(t, func(request receivedCommand) {
		handle(request)
		received <- struct{}{}
	})
	forwarded := 0
	c := r.dial()
	step := func(do func(*fakeClient)) {
		if do == nil {
			return
		}
		do(c)
		r.eventually("the command to be read", func(*loop) bool { return !r.hasUnreadInput(c) })
		for ; handle != nil && forwarded < testCase.wantForwarded; forwarded++ {
			wait(t, "the request at the backend", received)
		}
		if handle == nil && testCase.wantForwarded > 0 {
			r.eventually("the request to be started", func(l *loop) bool { return l.lastRequestID > 0 })
		}
	}
	r.waitForAnyClient("the connection to be accepted", func(*client) bool { return true })
	phaseEnds := r.controlPhaseEnds()
	step(testCase.beforeStop)
	r.stop()
	r.waitForAllClients("the shutdown to have begun", func(c *client) bool { return c.draining })
	close(phaseEnds[phaseAccept])
	r.eventually("the listener to be closed", func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.acceptingStopped
	})
	step(testCase.afterListenerClose)
	r.runOnLoop(func(l *loop) { l.gateway.Stop(l.now(), l.now()) }) // the answer deadline
	step(testCase.afterAnswerDeadline)
	r.eventually("all requests to be answered", func(l *loop) bool {
		for _, open := range l.requests {
			if !open.finished {
				return false
			}
		}
		return true
	})
	close(phaseEnds[phaseRead])
	c.wantLinesThenClose(testCase.want...)
	if err := wait(t, "Serve to return", r.serveDone); err != nil {
		t.Error(err)
	}
	if handle == nil {
		wantNone(t, "a request at the backend", received)
	}
}

// The listener must close at the end of phaseRead even while clients still connect: the
// first command of a connection accepted later would be read with no time left for its
// answer.
func TestListenerClosesWithReadPhase(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	phaseEnds := r.controlPhaseEnds()
	r.stop()
	close(phaseEnds[phaseRead])
	r.waitForListenerClose()
	if err := wait(t, "Serve to return", r.serveDone); err != nil {
		t.Error(err)
	}
}

// A process that was not scheduled for long may find that all phases have expired at once.
// It must still answer what it has read before it closes connections.
func TestStopAnswersAfterAllPhasesExpired(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	r.server.newSchedule = func(requestedAt time.Time, _ time.Duration) shutdown.Schedule {
		expired := requestedAt.Add(-time.Millisecond)
		return shutdown.Schedule{RequestedAt: expired, AcceptUntil: expired, AnswerBy: expired,
			ReadUntil: expired, CloseBy: expired, KillAt: expired}
	}
	pending, partial := r.dial(), r.dial()
	sendPayment(pending)
	wait(t, "the request", b.commands)
	sendPartialCommand(partial)
	r.eventually("the partial command to be read", func(*loop) bool { return !r.hasUnreadInput(partial) })
	r.stop()
	pending.wantLinesThenClose(failedLine)
	partial.wantLinesThenClose(busyLine)
	if err := wait(t, "Serve to return", r.serveDone); err != nil {
		t.Error(err)
	}
}

// A command that was read but waits for a free slot is still started after reading has
// stopped. Commands that arrive behind it stay unread: there is no time left to answer them.
func TestBlockedCommandStartsAfterReadingStopped(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	c.draining, c.firstCommandOnly, c.readingStopped = true, true, true
	c.pending = make([]*slot, maxPipelinedCommands)
	blocked, later := encode("PING"), encode("PING")
	fmt.Fprint(f.peer, blocked)
	r.eventually("the command to arrive", func(*loop) bool { return hasUnreadBytes(f.nc) })
	readDone := make(chan error, 1)
	go func() { readDone <- c.readCommands() }()
	isBlocked := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.pipelineFull
	}
	r.eventually("the command to be blocked", func(*loop) bool { return isBlocked() })
	fmt.Fprint(f.peer, later)
	r.eventually("the later command to arrive", func(*loop) bool { return hasUnreadBytes(f.nc) })
	c.mu.Lock() // as the writer does
	c.pending, c.pipelineFull = nil, false
	c.mu.Unlock()
	notify(c.slotFreed)
	if err := wait(t, "the reader to return", readDone); !errors.Is(err, errReadingStopped) {
		t.Errorf("the reader ends with %v, want errReadingStopped", err)
	}
	if got := readUnread(t, f.peer, len("+PONG\r\n")); got != "+PONG\r\n" {
		t.Errorf("the blocked command is answered %q, want +PONG", got)
	}
	if !hasUnreadBytes(f.nc) {
		t.Error("the later command has been read")
	}
}

// An answer that the client's host has not acknowledged yet must not be lost when its
// connection closes with unread bytes. These turn the close into a TCP reset, which would
// discard the answer, so the close has to wait for the acknowledgement.
func TestLingerWaitsForUndeliveredAnswer(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	answers, stuck := 0, 0
	r.eventually("the client's receive buffer to be full", func(*loop) bool {
		c.mu.Lock()
		sending := c.sending || len(c.pending) > 0
		c.mu.Unlock()
		info, err := tcpInfo(f.nc)
		switch {
		case err != nil:
			t.Error(err)
			return true
		case info.Notsent_bytes > 0:
			stuck++
		case !sending:
			c.reply(make([]byte, maxValueBytes))
			answers, stuck = answers+1, 0
		}
		return !sending && stuck > 10 // still full after several checks
	})
	fmt.Fprint(f.peer, encode("PING")) // stays unread, and arrives before the close
	closed := make(chan struct{})
	go func() {
		c.flushAndLinger(false)
		c.nc.Close()
		close(closed)
	}()
	select {
	case <-closed: // too early: the read below fails
	case <-time.After(2 * lingerTimeout):
	}
	got := make([]byte, answers*maxValueBytes)
	if n, err := io.ReadFull(f.peer, got); err != nil {
		t.Errorf("the client received %d of %d bytes: %v", n, len(got), err)
	}
	wait(t, "the close of the connection", closed)
}

// A connection may be accepted late in the shutdown. Its first command is answered even after
// reading has stopped, if it has arrived before the reader starts.
func TestArrivedFirstCommandIsAnsweredAfterReadingStopped(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	fmt.Fprint(f.peer, encode("PING"))
	for f.nothingToRead() { // until it has arrived
		time.Sleep(time.Millisecond)
	}
	c := newClient(r.server, f.nc)
	c.draining, c.firstCommandOnly, c.readingStopped = true, true, true
	go c.serve()
	if got, err := io.ReadAll(f.peer); string(got) != "+PONG\r\n" || err != nil {
		t.Errorf("the client received %q, %v; want +PONG and the end of the stream", got, err)
	}
}

// hasUnreadInput reports whether the ingress has not yet read all bytes that a client has
// sent.
func (r *rig) hasUnreadInput(c *fakeClient) bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	for other := range r.server.clients {
		if other.nc.RemoteAddr().String() == c.nc.LocalAddr().String() {
			return hasUnreadBytes(other.nc)
		}
	}
	return false
}

// wantLinesThenClose waits for exactly these lines, followed by the end of the connection.
func (c *fakeClient) wantLinesThenClose(lines ...string) {
	c.t.Helper()
	all, err := io.ReadAll(c.in)
	if err != nil {
		c.t.Errorf("the connection ends with %v", err)
	}
	var want bytes.Buffer
	for _, line := range lines {
		fmt.Fprintf(&want, "%s\r\n", line)
	}
	if string(all) != want.String() {
		c.t.Errorf("the client received %q, want %q", all, want.String())
	}
}

// Reloads, changes of the list of backends and closes of other connections must not affect a
// client: its open request is answered by the backend that has it, the rest of a partial
// command is read, and idle connections are still served.
func TestClientsAreNotAffectedByUnrelatedEvents(t *testing.T) {
	for name, disturb := range map[string]func(r *rig, first, second *fakeBackend){
		"reload of the configuration": func(r *rig, first, second *fakeBackend) {
			next := newFakeDiscovery(r.T, first.member("1"), second.member("2"))
			next.sendKeepAlives.Store(true)
			close(next.listGate)
			cfg := *r.server.cfg
			cfg.Discovery = next.Listener.Addr().String()
			r.server.Reload(cfg)
			wait(r.T, "a watch at the new address", next.watchIndexes)
		},
		"end of the watch": func(r *rig, _, _ *fakeBackend) {
			wait(r.T, "a watch", r.discovery.watchIndexes)
			r.discovery.watchLines <- "end"
			wait(r.T, "another watch", r.discovery.watchIndexes)
		},
		"drain of the backend": func(r *rig, first, second *fakeBackend) {
			draining := first.member("1")
			draining.Phase = membership.PhaseDraining
			r.applyList(membership.List{Revision: 8, Complete: true,
				Members: []*membership.Member{draining, second.member("2")}})
		},
		"removal of the backend": func(r *rig, _, second *fakeBackend) {
			r.applyList(membership.List{Revision: 8, Complete: true,
				Members: []*membership.Member{second.member("2")}})
		},
		"eviction of another client": func(r *rig, _, _ *fakeBackend) {
			idle := r.dial()
			exchangePing(idle)
			r.server.mu.Lock()
			for c := range r.server.clients {
				if c.nc.RemoteAddr().String() == idle.nc.LocalAddr().String() {
					c.evict()
					r.server.evicting++
				}
			}
			r.server.mu.Unlock()
			idle.wantClosed()
		},
		"disconnect of another client": func(r *rig, _, _ *fakeBackend) { r.dial().nc.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newFakeBackend(t), newFakeBackend(t)
			r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, first.member("1"))
			pending, partial, used, unused := r.dial(), r.dial(), r.dial(), r.dial()
			exchangePing(used)
			sendPayment(pending)
			got := wait(t, "the request", first.commands)
			command := encode("Q.ASK", testCustomer, newRequestID(), lookupOptions)
			partial.write(command[:40])
			r.eventually("the partial command to be read",
				func(*loop) bool { return !r.hasUnreadInput(partial) })
			r.applyList(membership.List{Revision: 7, Complete: true,
				Members: []*membership.Member{first.member("1"), second.member("2")}})
			disturb(r, first, second)
			got.replyValue("first")
			pending.wantLine("$5\r\nfirst")
			for _, b := range []*fakeBackend{first, second} {
				go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
			}
			partial.write(command[40:])
			partial.wantLine("$1\r\nv")
			for _, c := range []*fakeClient{used, unused, pending} {
				sendLookup(c)
				c.wantLine("$1\r\nv")
			}
		})
	}
}

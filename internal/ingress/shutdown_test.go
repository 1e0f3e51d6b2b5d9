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

// farFuture is later than the end of any test.
const farFuture = time.Hour

// controlPhaseEnds makes each phase of the stop last until its channel is closed, and
// the answers wait for as long as their clients do.
func (r *rig) controlPhaseEnds() (ends [phaseClose + 1]chan struct{}) {
	for p := range ends {
		ends[p] = make(chan struct{})
	}
	r.server.newSchedule = func(requestedAt time.Time, _ time.Duration) shutdown.Schedule {
		end := requestedAt.Add(farFuture)
		return shutdown.Schedule{RequestedAt: requestedAt, AcceptUntil: end, AnswerBy: end, ReadUntil: end, CloseBy: end, KillAt: end}
	}
	r.server.phaseEnd = func(p phase, _ shutdown.Schedule) <-chan struct{} { return ends[p] }
	return ends
}

// closeListenerOnStop makes the listener close as soon as the stop begins, and all else wait.
func (r *rig) closeListenerOnStop() {
	close(r.controlPhaseEnds()[phaseAccept])
}

// waitForListenerClose connects until the listener is closed.
func (r *rig) waitForListenerClose() {
	r.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		nc, err := net.Dial("tcp", r.server.Addr().String())
		if err != nil {
			return
		}
		nc.Close()
	}
	r.Fatal("the listener stays open")
}

// waitForAllClients waits until a condition holds of every connection of a client.
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

// stopCase is the state of one client when the process is told to end, and what
// it is owed. Its backend never gives a whole answer.
type stopCase struct {
	beforeStop          func(*fakeClient) // before the process is told to end
	afterListenerClose  func(*fakeClient) // once the listener is closed
	afterAnswerDeadline func(*fakeClient) // once the time for answers is over
	want                []string          // all that the client gets before the connection ends
	wantForwarded       int               // requests that come to the backend
}

const (
	busyLine   = "-BUSY 200"
	failedLine = "-ERR failed"
)

func sendPartialCommand(c *fakeClient) {
	c.write(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions)[:40])
}

func exchangePing(c *fakeClient) {
	c.send("PING")
	c.wantLine("+PONG")
}

func sendLookup(c *fakeClient)  { c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions) }
func sendPayment(c *fakeClient) { c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY") }
func sendShortLookup(c *fakeClient) {
	c.send("Q.ASK", testCustomer, newRequestID(), strings.Replace(lookupOptions, "20000", "150", 1))
}

// pipelinedLookups is so pipelinedLookups requests that some are read and held back.
const pipelinedLookups = 2 * maxPipelinedCommands

func sendPipelinedLookups(c *fakeClient) {
	var text strings.Builder
	for range pipelinedLookups {
		text.WriteString(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions))
	}
	c.write(text.String())
}

// expectLine waits for an answer.
func expectLine(line string) func(*fakeClient) {
	return func(c *fakeClient) { c.wantLine(line) }
}

func inSequence(steps ...func(*fakeClient)) func(*fakeClient) {
	return func(c *fakeClient) {
		for _, step := range steps {
			step(c)
		}
	}
}

var stopCases = map[string]stopCase{
	"a new connection says nothing":              {},
	"a used connection says nothing":             {beforeStop: exchangePing},
	"half a command on a new connection":         {beforeStop: sendPartialCommand, want: []string{busyLine}},
	"half a command on a used connection":        {beforeStop: inSequence(exchangePing, sendPartialCommand), want: []string{busyLine}},
	"half a command after the listener's end":    {afterListenerClose: sendPartialCommand, want: []string{busyLine}},
	"a request waits that may be repeated":       {beforeStop: sendLookup, want: []string{busyLine}, wantForwarded: 1},
	"a request waits that must not run twice":    {beforeStop: sendPayment, want: []string{failedLine}, wantForwarded: 1},
	"a request whose time is over":               {beforeStop: inSequence(sendShortLookup, expectLine(failedLine)), wantForwarded: 1},
	"a request and half a command behind it":     {beforeStop: inSequence(sendPayment, sendPartialCommand), want: []string{failedLine, busyLine}, wantForwarded: 1},
	"a first request after the listener's end":   {afterListenerClose: sendLookup, want: []string{busyLine}, wantForwarded: 1},
	"a first payment after the listener's end":   {afterListenerClose: sendPayment, want: []string{failedLine}, wantForwarded: 1},
	"a first request after the time for answers": {afterAnswerDeadline: sendPayment, want: []string{busyLine}},
	"more requests than may be open":             {beforeStop: sendPipelinedLookups, want: slices.Repeat([]string{busyLine}, pipelinedLookups), wantForwarded: 1},
	"wrong commands before a request": {
		beforeStop: func(c *fakeClient) { c.write(encode("GET") + encode("GET") + encode("GET") + encode("PING")) },
		want:       []string{"-ERR unknown command", "-ERR unknown command", "-ERR unknown command", "+PONG"}},
}

// What is read after the process is told to end is answered before it may be
// killed, and every connection is closed: whatever the state of the client, and
// however the backend fails to answer.
func TestStopAnswersEveryCommandRead(t *testing.T) {
	for backend, handle := range map[string]func(receivedCommand){
		"silent":          func(receivedCommand) {},
		"amid an answer":  func(got receivedCommand) { io.WriteString(got.nc, "*3\r\n$5\r\nva") },
		"not connecting":  nil,
		"gone in silence": func(got receivedCommand) { got.nc.(*net.TCPConn).CloseRead() },
	} {
		for name, testCase := range stopCases {
			t.Run(backend+"/"+name, func(t *testing.T) {
				t.Parallel()
				checkStop(t, testCase, handle)
			})
		}
	}
}

// handleEach hands on what comes to the backend, until the end of the test.
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

func checkStop(t *testing.T, testCase stopCase, handle func(receivedCommand)) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing, cfg.Choice.MaxAttempts = false, 1 }, b.member("b"))
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
			r.eventually("the request to be taken", func(l *loop) bool { return l.lastRequestID > 0 })
		}
	}
	r.waitForAnyClient("the connection to be accepted", func(*client) bool { return true })
	phaseEnds := r.controlPhaseEnds()
	step(testCase.beforeStop)
	r.stop()
	r.waitForAllClients("the stop to have begun", func(c *client) bool { return c.draining })
	close(phaseEnds[phaseAccept])
	r.eventually("the listener to be closed", func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.acceptingStopped
	})
	step(testCase.afterListenerClose)
	r.runOnLoop(func(l *loop) { l.gateway.Stop(l.now(), l.now()) }) // the time for answers is over
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
	if err := wait(t, "the end", r.serveDone); err != nil {
		t.Error(err)
	}
	if handle == nil {
		wantNone(t, "a request at the backend", received)
	}
}

// No connection is taken after the last read, though clients still come: its
// first command would be read with no time left for the answer.
func TestListenerClosesWithReadPhase(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	phases := r.controlPhaseEnds()
	r.stop()
	close(phases[phaseRead])
	r.waitForListenerClose()
	if err := wait(t, "the end", r.serveDone); err != nil {
		t.Error(err)
	}
}

// A process that was held up finds all its times over at once: what it has read
// is answered all the same before it closes.
func TestStopAnswersAfterAllPhasesExpired(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	r.server.newSchedule = func(requestedAt time.Time, _ time.Duration) shutdown.Schedule {
		expired := requestedAt.Add(-time.Millisecond)
		return shutdown.Schedule{RequestedAt: expired, AcceptUntil: expired, AnswerBy: expired, ReadUntil: expired, CloseBy: expired, KillAt: expired}
	}
	pending, partial := r.dial(), r.dial()
	sendPayment(pending)
	wait(t, "the request", b.commands)
	sendPartialCommand(partial)
	r.eventually("half the command to be read", func(*loop) bool { return !r.hasUnreadInput(partial) })
	r.stop()
	pending.wantLinesThenClose(failedLine)
	partial.wantLinesThenClose(busyLine)
	if err := wait(t, "the end", r.serveDone); err != nil {
		t.Error(err)
	}
}

// A command that was read and has no place yet is started after the last read,
// and nothing behind it is read meanwhile: there is no time left for its answer.
func TestBlockedCommandStartsAfterReadingStopped(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	c.draining, c.firstCommandOnly, c.readingStopped = true, true, true
	c.pending = make([]*slot, maxPipelinedCommands)
	blocked, later := encode("PING"), encode("PING")
	fmt.Fprint(b.peer, blocked)
	r.eventually("the command to come", func(*loop) bool { return hasUnreadBytes(b.nc) })
	readDone := make(chan error, 1)
	go func() { readDone <- c.readCommands() }()
	isBlocked := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.pipelineFull
	}
	r.eventually("the command to be held", func(*loop) bool { return isBlocked() })
	fmt.Fprint(b.peer, later)
	r.eventually("what is behind to come", func(*loop) bool { return hasUnreadBytes(b.nc) })
	c.mu.Lock() // as the writer does
	c.pending, c.pipelineFull = nil, false
	c.mu.Unlock()
	notify(c.slotFreed)
	if err := wait(t, "the reader's end", readDone); !errors.Is(err, errReadingStopped) {
		t.Errorf("the reader ends with %v", err)
	}
	if got := readUnread(t, b.peer, len("+PONG\r\n")); got != "+PONG\r\n" {
		t.Errorf("the held command is answered %q", got)
	}
	if !hasUnreadBytes(b.nc) {
		t.Error("what is behind has been read")
	}
}

// An answer that the client's machine has not taken yet is not thrown away by the
// end of its connection, though bytes cross it that nobody reads: the reset that
// these cause waits for the answer.
func TestLingerWaitsForUndeliveredAnswer(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	answers, stuck := 0, 0
	r.eventually("the client's machine to take no more", func(*loop) bool {
		c.mu.Lock()
		sending := c.sending || len(c.pending) > 0
		c.mu.Unlock()
		info, err := tcpInfo(b.nc)
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
		return !sending && stuck > 10 // not for a moment only
	})
	fmt.Fprint(b.peer, encode("PING")) // it crosses the end
	closed := make(chan struct{})
	go func() {
		c.flushAndLinger()
		c.nc.Close()
		close(closed)
	}()
	select {
	case <-closed: // the connection is closed under its answer
	case <-time.After(2 * lingerTimeout):
	}
	got := make([]byte, answers*maxValueBytes)
	if n, err := io.ReadFull(b.peer, got); err != nil {
		t.Errorf("the client gets %d of %d bytes, %v", n, len(got), err)
	}
	wait(t, "the end of the connection", closed)
}

// A connection that clients open late, with its first command written before the
// reader looks, is answered though nothing more is read.
func TestArrivedFirstCommandIsAnsweredAfterReadingStopped(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	b := newConnFixture(t)
	fmt.Fprint(b.peer, encode("PING"))
	for b.nothingToRead() { // until it has come
		time.Sleep(time.Millisecond)
	}
	c := newClient(r.server, b.nc)
	c.draining, c.firstCommandOnly, c.readingStopped = true, true, true
	go c.serve()
	if got, err := io.ReadAll(b.peer); string(got) != "+PONG\r\n" || err != nil {
		t.Errorf("the client gets %q, %v", got, err)
	}
}

// hasUnreadInput tells whether bytes of a client wait on its connection.
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

// wantLinesThenClose waits for these lines, and then the end of the connection.
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
		c.t.Errorf("the client gets %q, want %q", all, want.String())
	}
}

// No other ending costs a client that stays anything: what waits is answered by
// the backend that has it, the rest of a command is taken, and connections at
// rest serve on.
func TestUnrelatedClosesDoNotAffectClients(t *testing.T) {
	for name, disturb := range map[string]func(r *rig, has, other *fakeBackend){
		"a new configuration": func(r *rig, has, other *fakeBackend) {
			next := newFakeDiscovery(r.T, has.member("1"), other.member("2"))
			next.sendKeepAlives.Store(true)
			close(next.listGate)
			cfg := *r.server.cfg
			cfg.Discovery = next.Listener.Addr().String()
			r.server.Reload(cfg)
			wait(r.T, "a watch at the new address", next.watchIndexes)
		},
		"the end of the watch": func(r *rig, _, _ *fakeBackend) {
			wait(r.T, "a watch", r.discovery.watchIndexes)
			r.discovery.watchLines <- "end"
			wait(r.T, "another watch", r.discovery.watchIndexes)
		},
		"a drain of the backend": func(r *rig, has, other *fakeBackend) {
			draining := has.member("1")
			draining.Phase = membership.PhaseDraining
			r.applyList(membership.List{Revision: 8, Complete: true, Members: []*membership.Member{draining, other.member("2")}})
		},
		"the removal of the backend": func(r *rig, _, other *fakeBackend) {
			r.applyList(membership.List{Revision: 8, Complete: true, Members: []*membership.Member{other.member("2")}})
		},
		"the eviction of another client": func(r *rig, _, _ *fakeBackend) {
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
		"another client's close": func(r *rig, _, _ *fakeBackend) { r.dial().nc.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			has, other := newFakeBackend(t), newFakeBackend(t)
			r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, has.member("1"))
			pending, partial, used, unused := r.dial(), r.dial(), r.dial(), r.dial()
			exchangePing(used)
			sendPayment(pending)
			got := wait(t, "the request", has.commands)
			command := encode("Q.ASK", testCustomer, newRequestID(), lookupOptions)
			partial.write(command[:40])
			r.eventually("half the command to be read", func(*loop) bool { return !r.hasUnreadInput(partial) })
			r.applyList(membership.List{Revision: 7, Complete: true, Members: []*membership.Member{has.member("1"), other.member("2")}})
			disturb(r, has, other)
			got.replyValue("first")
			pending.wantLine("$5\r\nfirst")
			for _, b := range []*fakeBackend{has, other} {
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

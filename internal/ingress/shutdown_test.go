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

// farAway is later than the end of any test.
const farAway = time.Hour

// holdPhases makes each phase of the stop last until its channel is closed, and
// the answers wait for as long as their clients do.
func (r *rig) holdPhases() (ends [closing + 1]chan struct{}) {
	for p := range ends {
		ends[p] = make(chan struct{})
	}
	r.server.plan = func(begun time.Time, _ time.Duration) shutdown.Schedule {
		end := begun.Add(farAway)
		return shutdown.Schedule{RequestedAt: begun, AcceptUntil: end, AnswerBy: end, ReadUntil: end, CloseBy: end, KillAt: end}
	}
	r.server.endOf = func(p phase, _ shutdown.Schedule) <-chan struct{} { return ends[p] }
	return ends
}

// stopNow makes the listener close as soon as the stop begins, and all else wait.
func (r *rig) stopNow() {
	close(r.holdPhases()[accepting])
}

// untilRefused connects until the listener is closed.
func (r *rig) untilRefused() {
	r.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		nc, err := net.Dial("tcp", r.server.Addr().String())
		if err != nil {
			return
		}
		nc.Close()
	}
	r.Fatal("the listener stays open")
}

// clientsAre waits until a condition holds of every connection of a client.
func (r *rig) clientsAre(what string, ok func(*client) bool) {
	r.Helper()
	r.eventually(what, func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for c := range r.server.clients {
			c.mu.Lock()
			holds := ok(c)
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
	before  func(*fakeClient) // before the process is told to end
	halted  func(*fakeClient) // once the listener is closed
	due     func(*fakeClient) // once the time for answers is over
	want    []string          // all that the client gets before the connection ends
	forward int               // requests that come to the backend
}

const (
	refusal = "-BUSY 200"
	failure = "-ERR failed"
)

func half(c *fakeClient) { c.write(encode("Q.ASK", anyone, newID(), lookup)[:40]) }

func pingFirst(c *fakeClient) {
	c.send("PING")
	c.want("+PONG")
}

func ask(c *fakeClient) { c.send("Q.ASK", anyone, newID(), lookup) }
func pay(c *fakeClient) { c.send("Q.DO", anyone, newID(), payment, "BODY") }
func brief(c *fakeClient) {
	c.send("Q.ASK", anyone, newID(), strings.Replace(lookup, "20000", "150", 1))
}

// many is so many requests that some are read and held back.
const many = 2 * maxPipelinedCommands

func askMany(c *fakeClient) {
	var text strings.Builder
	for range many {
		text.WriteString(encode("Q.ASK", anyone, newID(), lookup))
	}
	c.write(text.String())
}

// hears waits for an answer.
func hears(line string) func(*fakeClient) {
	return func(c *fakeClient) { c.want(line) }
}

func both(steps ...func(*fakeClient)) func(*fakeClient) {
	return func(c *fakeClient) {
		for _, step := range steps {
			step(c)
		}
	}
}

var stopCases = map[string]stopCase{
	"a new connection says nothing":              {},
	"a used connection says nothing":             {before: pingFirst},
	"half a command on a new connection":         {before: half, want: []string{refusal}},
	"half a command on a used connection":        {before: both(pingFirst, half), want: []string{refusal}},
	"half a command after the listener's end":    {halted: half, want: []string{refusal}},
	"a request waits that may be repeated":       {before: ask, want: []string{refusal}, forward: 1},
	"a request waits that must not run twice":    {before: pay, want: []string{failure}, forward: 1},
	"a request whose time is over":               {before: both(brief, hears(failure)), forward: 1},
	"a request and half a command behind it":     {before: both(pay, half), want: []string{failure, refusal}, forward: 1},
	"a first request after the listener's end":   {halted: ask, want: []string{refusal}, forward: 1},
	"a first payment after the listener's end":   {halted: pay, want: []string{failure}, forward: 1},
	"a first request after the time for answers": {due: pay, want: []string{refusal}},
	"more requests than may be open":             {before: askMany, want: slices.Repeat([]string{refusal}, many), forward: 1},
	"wrong commands before a request": {
		before: func(c *fakeClient) { c.write(encode("GET") + encode("GET") + encode("GET") + encode("PING")) },
		want:   []string{"-ERR unknown command", "-ERR unknown command", "-ERR unknown command", "+PONG"}},
}

// What is read after the process is told to end is answered before it may be
// killed, and every connection is closed: whatever the state of the client, and
// however the backend fails to answer.
func TestEverythingReadIsAnsweredBeforeTheEnd(t *testing.T) {
	for backend, begin := range map[string]func(received){
		"silent":          func(received) {},
		"amid an answer":  func(got received) { io.WriteString(got.nc, "*3\r\n$5\r\nva") },
		"not connecting":  nil,
		"gone in silence": func(got received) { got.nc.(*net.TCPConn).CloseRead() },
	} {
		for name, state := range stopCases {
			t.Run(backend+"/"+name, func(t *testing.T) {
				t.Parallel()
				checkStop(t, state, begin)
			})
		}
	}
}

// each hands on what comes to the backend, until the end of the test.
func (b *fakeBackend) each(t *testing.T, do func(received)) {
	for {
		select {
		case request := <-b.got:
			do(request)
		case <-t.Context().Done():
			return
		}
	}
}

func checkStop(t *testing.T, state stopCase, begin func(received)) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing, cfg.Choice.MaxAttempts = false, 1 }, b.member("b"))
	if begin == nil {
		r.ask(func(l *loop) {
			l.pool.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				<-ctx.Done()
				return ctx.Err()
			}
		})
	}
	got := make(chan struct{}, many)
	go b.each(t, func(request received) {
		begin(request)
		got <- struct{}{}
	})
	forwarded := 0
	c := r.dial()
	step := func(do func(*fakeClient)) {
		if do == nil {
			return
		}
		do(c)
		r.eventually("the command to be read", func(*loop) bool { return !r.unreadOf(c) })
		for ; begin != nil && forwarded < state.forward; forwarded++ {
			wait(t, "the request at the backend", got)
		}
		if begin == nil && state.forward > 0 {
			r.eventually("the request to be taken", func(l *loop) bool { return l.lastID > 0 })
		}
	}
	r.waitForAnyClient("the connection to be accepted", func(*client) bool { return true })
	phases := r.holdPhases()
	step(state.before)
	r.stop()
	r.clientsAre("the stop to have begun", func(c *client) bool { return c.draining })
	close(phases[accepting])
	r.eventually("the listener to be closed", func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.stopping
	})
	step(state.halted)
	r.ask(func(l *loop) { l.gateway.Stop(l.now(), l.now()) }) // the time for answers is over
	step(state.due)
	r.eventually("all requests to be answered", func(l *loop) bool {
		for _, open := range l.requests {
			if !open.over {
				return false
			}
		}
		return true
	})
	close(phases[reading])
	c.wantAll(state.want...)
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
	if begin == nil {
		idle(t, "a request at the backend", got)
	}
}

// No connection is taken after the last read, though clients still come: its
// first command would be read with no time left for the answer.
func TestNobodyIsAcceptedAfterTheLastRead(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	phases := r.holdPhases()
	r.stop()
	close(phases[reading])
	r.untilRefused()
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
}

// A process that was held up finds all its times over at once: what it has read
// is answered all the same before it closes.
func TestAnswersComeFirstWhenAllTimesAreOver(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	r.server.plan = func(begun time.Time, _ time.Duration) shutdown.Schedule {
		over := begun.Add(-time.Millisecond)
		return shutdown.Schedule{RequestedAt: over, AcceptUntil: over, AnswerBy: over, ReadUntil: over, CloseBy: over, KillAt: over}
	}
	waiting, halfway := r.dial(), r.dial()
	pay(waiting)
	wait(t, "the request", b.got)
	half(halfway)
	r.eventually("half the command to be read", func(*loop) bool { return !r.unreadOf(halfway) })
	r.stop()
	waiting.wantAll(failure)
	halfway.wantAll(refusal)
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
}

// A command that was read and has no place yet is started after the last read,
// and nothing behind it is read meanwhile: there is no time left for its answer.
func TestHeldCommandIsStartedAndNothingBehindItRead(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	b := newConnFixture(t)
	c := newClient(r.server, b.nc)
	c.draining, c.firstCommandOnly, c.readingStopped = true, true, true
	c.pending = make([]*slot, maxPipelinedCommands)
	first, behind := encode("PING"), encode("PING")
	fmt.Fprint(b.peer, first)
	r.eventually("the command to come", func(*loop) bool { return hasUnreadBytes(b.nc) })
	taken := make(chan error, 1)
	go func() { taken <- c.readCommands() }()
	isHeld := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.pipelineFull
	}
	r.eventually("the command to be held", func(*loop) bool { return isHeld() })
	fmt.Fprint(b.peer, behind)
	r.eventually("what is behind to come", func(*loop) bool { return hasUnreadBytes(b.nc) })
	c.mu.Lock() // as the writer does
	c.pending, c.pipelineFull = nil, false
	c.mu.Unlock()
	notify(c.slotFreed)
	if err := wait(t, "the reader's end", taken); !errors.Is(err, errReadingStopped) {
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
func TestAnswerThatIsNotTakenOutlastsTheLinger(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
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
	over := make(chan struct{})
	go func() {
		c.flushAndLinger()
		c.nc.Close()
		close(over)
	}()
	select {
	case <-over: // the connection is closed under its answer
	case <-time.After(2 * lingerTimeout):
	}
	got := make([]byte, answers*maxValueBytes)
	if n, err := io.ReadFull(b.peer, got); err != nil {
		t.Errorf("the client gets %d of %d bytes, %v", n, len(got), err)
	}
	wait(t, "the end of the connection", over)
}

// A connection that clients open late, with its first command written before the
// reader looks, is answered though nothing more is read.
func TestFirstCommandThatHasComeIsAnsweredAtTheEnd(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
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

// unreadOf tells whether bytes of a client wait on its connection.
func (r *rig) unreadOf(c *fakeClient) bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	for other := range r.server.clients {
		if other.nc.RemoteAddr().String() == c.nc.LocalAddr().String() {
			return hasUnreadBytes(other.nc)
		}
	}
	return false
}

// wantAll waits for these lines, and then the end of the connection.
func (c *fakeClient) wantAll(lines ...string) {
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
func TestOtherEndingsOweNobodyAnything(t *testing.T) {
	for name, end := range map[string]func(r *rig, has, other *fakeBackend){
		"a new configuration": func(r *rig, has, other *fakeBackend) {
			next := newFakeDiscovery(r.T, has.member("1"), other.member("2"))
			next.agent.Store(true)
			close(next.gate)
			cfg := *r.server.cfg
			cfg.Discovery = next.Listener.Addr().String()
			r.server.Reload(cfg)
			wait(r.T, "a watch at the new address", next.watched)
		},
		"the end of the watch": func(r *rig, _, _ *fakeBackend) {
			wait(r.T, "a watch", r.discovery.watched)
			r.discovery.lines <- "end"
			wait(r.T, "another watch", r.discovery.watched)
		},
		"a drain of the backend": func(r *rig, has, other *fakeBackend) {
			draining := has.member("1")
			draining.Phase = membership.PhaseDraining
			r.tell(membership.List{Revision: 8, Complete: true, Members: []*membership.Member{draining, other.member("2")}})
		},
		"the removal of the backend": func(r *rig, _, other *fakeBackend) {
			r.tell(membership.List{Revision: 8, Complete: true, Members: []*membership.Member{other.member("2")}})
		},
		"the eviction of another client": func(r *rig, _, _ *fakeBackend) {
			idle := r.dial()
			pingFirst(idle)
			r.server.mu.Lock()
			for c := range r.server.clients {
				if c.nc.RemoteAddr().String() == idle.nc.LocalAddr().String() {
					c.evict()
					r.server.leaving++
				}
			}
			r.server.mu.Unlock()
			idle.wantEnd()
		},
		"another client's close": func(r *rig, _, _ *fakeBackend) { r.dial().nc.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			has, other := newBackend(t), newBackend(t)
			r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, has.member("1"))
			waiting, halfway, used, fresh := r.dial(), r.dial(), r.dial(), r.dial()
			pingFirst(used)
			pay(waiting)
			got := wait(t, "the request", has.got)
			command := encode("Q.ASK", anyone, newID(), lookup)
			halfway.write(command[:40])
			r.eventually("half the command to be read", func(*loop) bool { return !r.unreadOf(halfway) })
			r.tell(membership.List{Revision: 7, Complete: true, Members: []*membership.Member{has.member("1"), other.member("2")}})
			end(r, has, other)
			got.answer("first")
			waiting.want("$5\r\nfirst")
			for _, b := range []*fakeBackend{has, other} {
				go b.each(t, func(got received) { got.answer("v") })
			}
			halfway.write(command[40:])
			halfway.want("$1\r\nv")
			for _, c := range []*fakeClient{used, fresh, waiting} {
				ask(c)
				c.want("$1\r\nv")
			}
		})
	}
}

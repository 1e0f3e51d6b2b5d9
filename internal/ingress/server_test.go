package ingress

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cedarseam/choice"
)

// Guards against requests that age unread in the listener's backlog: while the table of
// clients is full, a connection that has sent nothing may be evicted sooner. One that has
// sent a request may not.
func TestUnusedConnectionIsEvictedSoonerWhenTableIsFull(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	for _, c := range []struct {
		name        string
		sentRequest bool
		idle        time.Duration
		full, want  bool
	}{
		{"unused, table not full", false, minIdleUnused - 1, false, false},
		{"unused for long, table not full", false, minIdleUnused, false, true},
		{"unused, table full", false, minIdleUnusedIfFull, true, true},
		{"just opened, table full", false, minIdleUnusedIfFull - 1, true, false},
		{"used, table full", true, minIdleUsed - 1, true, false},
		{"used and idle for long, table full", true, minIdleUsed, true, true},
	} {
		client := newClient(r.server, newConnFixture(t).nc)
		client.sentRequest = c.sentRequest
		if _, evictable := client.evictionRank(client.lastActive.Add(c.idle), c.full); evictable != c.want {
			t.Errorf("%s: evictable is %v, want %v", c.name, evictable, c.want)
		}
	}
}

// Guards against requests that age unread in the listener's backlog: when silent clients have
// filled the table, the whole headroom is made at once, not one place for each look.
func TestFullTableMakesHeadroomAtOnce(t *testing.T) {
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets = 100 }, newFakeBackend(t).member("b"))
	r.waitForClients(0)
	maxClients := r.server.cfg.Limits.maxClients()
	for range maxClients {
		r.server.addClient(newConnFixture(t).nc, false)
	}
	r.server.mu.Lock()
	for c := range r.server.clients {
		c.mu.Lock()
		c.lastActive = time.Now().Add(-minIdleUnusedIfFull)
		c.mu.Unlock()
	}
	r.server.mu.Unlock()
	if r.server.makeRoom() {
		t.Error("a full table has room")
	}
	r.waitForClients(maxClients - maxClients/headroomDivisor - 1)
	if !r.server.makeRoom() {
		t.Error("there is no room after the evictions")
	}
}

// Guards against requests that age unread in the listener's backlog: when connections that
// may not be evicted fill the table, a client that has sent a command is served above the
// limit, and its connection is closed after the answer.
func TestClientWithCommandIsServedAboveTheLimit(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets, cfg.Choice.Probing = 42, false }, b.member("b"))
	r.waitForClients(0)
	limits := r.server.cfg.Limits
	for range limits.maxClients() {
		r.server.addClient(newConnFixture(t).nc, false)
	}
	r.server.mu.Lock()
	for c := range r.server.clients {
		c.push(&slot{}) // a request without an answer
	}
	r.server.mu.Unlock()
	var served []*fakeClient
	for range limits.maxExtraClients() + 1 { // the last one has to wait
		c := r.dial()
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		served = append(served, c)
	}
	for range limits.maxExtraClients() {
		defer wait(t, "a request above the limit", b.commands).replyValue("v")
	}
	r.waitForClients(limits.maxClients() + limits.maxExtraClients())
	wantNone(t, "a request beyond the connections above the limit", b.commands)
	served[0].send("PING") // in use until its request is answered
	r.waitForAnyClient("the command behind the request", func(c *client) bool { return len(c.pending) == 2 })
	r.runOnLoop(func(l *loop) {
		for id := range l.requests {
			l.Fail(id, choice.None)
		}
	})
	served[0].wantLine("-ERR failed")
	served[0].wantLine("+PONG")
	served[0].wantClosed()
	served[1].wantLine("-ERR failed")
	served[1].wantClosed()
	defer wait(t, "the request that had to wait", b.commands).replyValue("v")
}

// Guards against a wrong time that backends are told: the deadline of a command that has
// waited in the listener's backlog counts from its arrival, not from when it is read.
func TestDeadlineCountsFromArrivalInBacklog(t *testing.T) {
	const timeLimit, backlogTime = 20 * time.Second, 100 * time.Millisecond
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	fmt.Fprint(f.peer, encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY"))
	written := time.Now()
	for {
		info, err := tcpInfo(f.nc)
		if err != nil {
			t.Fatal(err)
		}
		if time.Duration(info.Last_data_recv)*time.Millisecond >= backlogTime {
			break
		}
		runtime.Gosched()
	}
	r.server.addClient(f.nc, false)
	var deadline time.Time
	r.waitForAnyClient("the request", func(c *client) bool {
		if len(c.pending) == 1 && c.pending[0].request != nil {
			deadline = c.pending[0].request.deadline
		}
		return !deadline.IsZero()
	})
	if got := deadline.Sub(written); got > timeLimit {
		t.Errorf("the deadline is %v after the command, want %v at most", got, timeLimit)
	}
	if got := deadline.Sub(written); got < timeLimit-backlogTime {
		t.Errorf("the deadline is %v after the command, too early for a limit of %v", got, timeLimit)
	}
}

// waitForClients waits until the server has the given number of connections.
func (r *rig) waitForClients(want int) {
	r.Helper()
	r.eventually("the connections", func(*loop) bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return len(r.server.clients) == want
	})
}

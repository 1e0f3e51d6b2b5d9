package ingress

import (
	"fmt"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

// checkInvariants compares the counters and lists of the pool with the records of all
// backends.
func (p *pool) checkInvariants() error {
	availableBackends, idleConns := 0, 0
	for id, b := range p.byID {
		if b.id != id || p.byName[b.name] != b {
			return fmt.Errorf("backend %d is stored under id %d and name %s", b.id, id, b.name)
		}
		if !b.unavailable.Load() {
			availableBackends++
		} else if len(b.idleConns) > 0 {
			return fmt.Errorf("backend %d is unavailable and has idle connections", id)
		}
		idleConns += len(b.idleConns)
	}
	if availableBackends != p.availableBackends || idleConns != p.idleConns.Len() || len(p.byID) != len(p.byName) {
		return fmt.Errorf("%d backends are available and %d connections are idle, but the counters say %d and %d", availableBackends, idleConns, p.availableBackends, p.idleConns.Len())
	}
	return nil
}

// The counters and lists of a pool match the records of its backends after any sequence of
// changes of backends and connections.
func TestPoolCountersMatchRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(&Config{}, nil, nil, nil)
		var conns []*conn
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "backend"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				p.updateMember(&membership.Member{ID: name, HostPort: fmt.Sprint("a:", rapid.IntRange(0, 1).Draw(t, "address")),
					UpSince: int64(rapid.IntRange(0, 1).Draw(t, "start"))},
					rapid.SampledFrom([]choice.State{choice.Ready, choice.Draining, choice.Removed}).Draw(t, "state"))
			case 2:
				if b := p.byName[name]; b != nil {
					near, far := net.Pipe()
					defer near.Close()
					defer far.Close()
					c := &conn{nc: near, backend: b, pool: p}
					p.putIdle(c)
					conns = append(conns, c)
				}
			case 3:
				if len(conns) > 0 {
					p.removeIdle(conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")])
				}
			default:
				p.evictIdle()
			}
			if err := p.checkInvariants(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The connection that has been idle for longest is evicted, whichever backend it is to.
func TestEvictIdleClosesLongestIdleConnection(t *testing.T) {
	p := newPool(&Config{}, nil, nil, nil)
	var conns []*conn
	for i := range 3 {
		m := &membership.Member{ID: fmt.Sprint(i), HostPort: fmt.Sprint("a:", i)}
		p.updateMember(m, choice.Ready)
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		conns = append(conns, &conn{nc: near, backend: p.byName[m.ID], pool: p})
	}
	for _, i := range []int{2, 0, 1} {
		p.putIdle(conns[i])
	}
	for _, i := range []int{2, 0, 1} {
		p.evictIdle()
		if len(conns[i].backend.idleConns) > 0 {
			t.Fatalf("connection %d is still idle, want it evicted", i)
		}
	}
}

// An evicted connection takes a moment to close. Idle connections are therefore evicted
// before the limit is reached, so that attempts that start meanwhile can connect.
func TestIdleConnectionsAreEvictedBeforeTheLimit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	cfg := &Config{Limits: Limits{Sockets: reservedSockets + 200}}
	outcomes := make(chan choice.Status, 1)
	p := newPool(cfg, &memoryBudget{limit: 1 << 30}, func(_ *attempt, r reply, _ time.Duration, _ *conn) { outcomes <- r.status }, func(*conn) {})
	for i := range 2 {
		p.updateMember(&membership.Member{ID: fmt.Sprint(i), HostPort: listener.Addr().String(), Phase: membership.PhaseServing}, choice.Ready)
	}
	maxConns := cfg.Limits.maxBackendConns()
	spare := maxConns / headroomDivisor
	if spare < 2 {
		t.Fatalf("of %d connections %d are spare, too few for the test", maxConns, spare)
	}
	for range maxConns - spare { // all idle, and their closing is never noticed
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		p.openConns.Add(1)
		p.putIdle(&conn{nc: near, backend: p.byName["0"], pool: p})
	}
	for i := range spare {
		a := &attempt{deadline: time.Now().Add(testTimeout)}
		p.startAttempt(a, p.byName["1"].id)
		if nc, err := listener.Accept(); err != nil {
			t.Fatal(err)
		} else {
			t.Cleanup(func() { nc.Close() })
		}
		select {
		case status := <-outcomes:
			t.Fatalf("attempt %d of %d ended with status %d while %d of %d connections were open", i+1, spare, status, p.openConns.Load(), maxConns)
		default:
		}
	}
	if idle := p.idleConns.Len(); idle != maxConns-2*spare {
		t.Errorf("%d connections are idle, want one fewer for each of %d attempts", idle, spare)
	}
}

// A long list blocks the loop for one batch of changes at a time: other events are handled
// between batches, and a batch is queued only after the previous one was applied.
func TestListChangesAreAppliedInBatches(t *testing.T) {
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, fmt.Sprintf(settingsFormat, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	l, err := newLoop(&cfg) // run by the goroutine of the test
	if err != nil {
		t.Fatal(err)
	}
	const size = 10*changeBatchSize + 1
	var list membership.List
	for i := range size {
		list.Members = append(list.Members, &membership.Member{ID: fmt.Sprint(i), HostPort: fmt.Sprint("a:", i), Phase: membership.PhaseServing})
	}
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		l.applyInBatches(membership.NewView().Apply(list, nil))
	}()
	for applied := 0; applied < size; {
		batch := wait(t, "a batch of changes", l.events)
		handled := false
		l.post(func(*loop) { handled = true })
		if (<-l.events)(l); !handled {
			t.Fatal("a second batch was queued before an event posted after the first")
		}
		batch(l)
		if n := len(l.pool.byName) - applied; n > changeBatchSize || n == 0 {
			t.Fatalf("a batch has %d changes, want 1 to %d", n, changeBatchSize)
		}
		applied = len(l.pool.byName)
	}
	wait(t, "the end of the list", changed)
}

// A list that equals the one in force is not delivered to the loop, whether it comes from
// the same address or from another.
func TestUnchangedListIsNotDelivered(t *testing.T) {
	delivered := 0
	s := newDiscoverySources(serviceTiming(1, 0), listBytesFloor, membership.NewView(), func([]membership.Change) { delivered++ })
	defer s.close()
	list := membership.List{Revision: 3, Complete: true, Members: []*membership.Member{{ID: "a", HostPort: "a:1"}}}
	for _, address := range []string{"one", "two"} {
		src := &discoverySource{address, func() {}}
		s.setPending(src)
		s.handleList(src, list)
		s.handleList(src, membership.List{Revision: 3})
	}
	if delivered != 1 {
		t.Errorf("lists were delivered %d times, want once", delivered)
	}
}

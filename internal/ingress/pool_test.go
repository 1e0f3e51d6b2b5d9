package ingress

import (
	"fmt"
	"net"
	"testing"

	"pgregory.net/rapid"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

// check holds what a pool counts and links against a walk over all backends.
func (p *pool) check() error {
	serving, idle := 0, 0
	for id, b := range p.byID {
		if b.id != id || p.byName[b.name] != b {
			return fmt.Errorf("backend %d is kept as %d and as %s", b.id, id, b.name)
		}
		if !b.stopped.Load() {
			serving++
		} else if len(b.idle) > 0 {
			return fmt.Errorf("backend %d is stopped and has idle connections", id)
		}
		idle += len(b.idle)
	}
	if serving != p.serving || idle != p.idle.Len() || len(p.byID) != len(p.byName) {
		return fmt.Errorf("%d serve and %d connections are idle, counted are %d and %d", serving, idle, p.serving, p.idle.Len())
	}
	return nil
}

// What a pool counts is what a walk over it finds, whatever is told of its
// backends and whatever becomes of its connections.
func TestCountsOfThePoolAreThoseOfAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(&Config{}, nil, nil)
		var conns []*conn
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "backend"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				p.member(&membership.Member{ID: name, HostPort: fmt.Sprint("a:", rapid.IntRange(0, 1).Draw(t, "address")),
					UpSince: int64(rapid.IntRange(0, 1).Draw(t, "start"))},
					rapid.SampledFrom([]choice.State{choice.Ready, choice.Draining, choice.Removed}).Draw(t, "state"))
			case 2:
				if b := p.byName[name]; b != nil {
					near, far := net.Pipe()
					defer near.Close()
					defer far.Close()
					c := &conn{nc: near, to: b, pool: p}
					p.put(c)
					conns = append(conns, c)
				}
			case 3:
				if len(conns) > 0 {
					p.forget(conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")])
				}
			default:
				p.evict()
			}
			if err := p.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The connection that has been idle for longest makes room, whoever's it is.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	p := newPool(&Config{}, nil, nil)
	var conns []*conn
	for i := range 3 {
		m := &membership.Member{ID: fmt.Sprint(i), HostPort: fmt.Sprint("a:", i)}
		p.member(m, choice.Ready)
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		conns = append(conns, &conn{nc: near, to: p.byName[m.ID], pool: p})
	}
	for _, i := range []int{2, 0, 1} {
		p.put(conns[i])
	}
	for _, i := range []int{2, 0, 1} {
		p.evict()
		if len(conns[i].to.idle) > 0 {
			t.Fatalf("connection %d is idle still, want it to make room", i)
		}
	}
}

// A list holds the loop for one part of it at a time: what else happens comes in
// between, and no part waits in the queue while another is not taken.
func TestRequestsPassBetweenThePartsOfAList(t *testing.T) {
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, fmt.Sprintf(settings, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	l, err := newLoop(&cfg) // its goroutine is the test's
	if err != nil {
		t.Fatal(err)
	}
	const size = 10*changesAtOnce + 1
	var list membership.List
	for i := range size {
		list.Members = append(list.Members, &membership.Member{ID: fmt.Sprint(i), HostPort: fmt.Sprint("a:", i), Phase: membership.PhaseServing})
	}
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		l.changeInParts(membership.NewView().Apply(list, nil))
	}()
	for taken := 0; taken < size; {
		part := wait(t, "a part of the list", l.events)
		passed := false
		l.post(func(*loop) { passed = true })
		if (<-l.events)(l); !passed {
			t.Fatal("a second part waits before what came after the first")
		}
		part(l)
		if n := len(l.pool.byName) - taken; n > changesAtOnce || n == 0 {
			t.Fatalf("a part holds %d changes, want 1 to %d", n, changesAtOnce)
		}
		taken = len(l.pool.byName)
	}
	wait(t, "the end of the list", changed)
}

// A list that is in force, told again, holds the loop not at all: from the same
// address or from another.
func TestListThatChangesNothingDoesNotReachTheLoop(t *testing.T) {
	delivered := 0
	s := newSources(asked(1, 0), listLeast, membership.NewView(), func([]membership.Change) { delivered++ })
	defer s.close()
	list := membership.List{Revision: 3, Complete: true, Members: []*membership.Member{{ID: "a", HostPort: "a:1"}}}
	for _, address := range []string{"one", "two"} {
		src := &source{address, func() {}}
		s.begin(src)
		s.take(src, list)
		s.take(src, membership.List{Revision: 3})
	}
	if delivered != 1 {
		t.Errorf("the loop was told %d times, want once", delivered)
	}
}

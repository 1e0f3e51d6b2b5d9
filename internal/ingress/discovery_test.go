package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cedarseam/internal/membership"
)

// eventually waits until something holds of the loop.
func (r *rig) eventually(what string, ok func(l *loop) bool) {
	r.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		var done bool
		r.ask(func(l *loop) { done = ok(l) })
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatalf("waited in vain for %s", what)
}

func TestChangesOfTheListAreFollowed(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	if index := wait(t, "a watch", r.discovery.watched); index != "7" {
		t.Errorf("the watch begins at %s, want the list's 7", index)
	}
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", one.got)
	first.answer("v")
	c.want("$1\r\nv")

	r.discovery.lines <- ""
	r.discovery.lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"1","host_port":%q,"phase":"DRAINING"},{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`,
		one.addr, two.addr)
	if nc := wait(t, "the end of the idle connection to the draining backend", one.closed); nc != first.nc {
		t.Error("another connection ended")
	}
	for range 5 {
		c.send("Q.DO", anyone, newID(), payment, "BODY")
		wait(t, "the request at the new backend", two.got).answer("w")
		c.want("$1\r\nw")
	}

	r.discovery.lines <- "end" // the connection breaks: the watch goes on from the last revision
	if index := wait(t, "the next watch", r.discovery.watched); index != "8" {
		t.Errorf("the watch goes on from %s, want 8", index)
	}
	r.discovery.lines <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"1","host_port":%q,"phase":"SERVING","size":1}]}`, one.addr)
	r.eventually("the missing backend to go", func(l *loop) bool { return len(l.pool.byName) == 1 })
	c.send("Q.DO", anyone, newID(), payment, "BODY")
	wait(t, "the request at the first backend", one.got).answer("x")
	c.want("$1\r\nx")
	r.discovery.lines <- `{"revision":10,"complete":false,"members":[{"id":"1","phase":"DELETED"}]}`
	r.eventually("the deleted backend to go", func(l *loop) bool { return len(l.pool.byName) == 0 })
}

// A watch that was cut off stays open and says nothing.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	close(f.gate)
	got := make(chan membership.List, 10)
	d := newDiscovery(f.Listener.Addr().String(), asked(1, 0), listLeast, func(l membership.List) { got <- l })
	d.silence = 50 * time.Millisecond
	go d.run(t.Context(), nil, nil)
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || *l.Members[0] != *b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.watched)
	wait(t, "a second one", f.watched)
}

func TestDiscoveryIsTriedAgain(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscovery(f.Listener.Addr().String(), asked(1, 0), listLeast, func(membership.List) {})
	d.patience = 20 * time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), nil, func() { started <- struct{}{} })
	wait(t, "the first try to fail", started)
	close(f.gate)
	wait(t, "a watch", f.watched)
	idle(t, "a second start", started)
}

// A whole tier that asks for all lines at its start overbooks discovery: with a
// list known, only what changed since is asked for.
func TestKnownListIsWatchedFromItsRevision(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b")) // its gate is closed: the whole list is never told
	got, started := make(chan membership.List, 10), make(chan struct{}, 10)
	d := newDiscovery(f.Listener.Addr().String(), asked(1, 0), listLeast, func(l membership.List) { got <- l })
	d.patience = time.Hour
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, func() { started <- struct{}{} })
	if index := wait(t, "a watch", f.watched); index != "5" {
		t.Errorf("the watch begins at %s, want the known 5", index)
	}
	f.lines <- ""
	if l := wait(t, "word that nothing changed", got); l.Complete || len(l.Members) != 0 || l.Revision != 5 {
		t.Errorf("an empty line tells %+v", l)
	}
	wait(t, "the start", started)
	f.lines <- `{"revision":6,"complete":false,"members":[{"id":"b","phase":"DRAINING"}]}`
	if l := wait(t, "the change", got); l.Revision != 6 || len(l.Members) != 1 {
		t.Errorf("the change is %+v", l)
	}
	idle(t, "a second start", started)
}

// An overbooked service lets a call wait. Clients are not held up for that: the
// list that is known serves until it answers.
func TestWaitingCallHoldsNobodyUp(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscovery(f.Listener.Addr().String(), asked(1, 0), listLeast, func(membership.List) {})
	d.patience = time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), &membership.List{Complete: true}, func() { started <- struct{}{} })
	wait(t, "the start, though the watch tells nothing", started)
	wait(t, "the watch to be open all the same", f.watched)
	idle(t, "a second watch", f.watched)
}

// A list may come indented, over several lines and in several parts.
func TestIndentedListsAreFollowed(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	d := newDiscovery(f.Listener.Addr().String(), pushed(time.Hour), listLeast, func(l membership.List) { got <- l })
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	wait(t, "a watch", f.watched)
	for _, text := range []string{"{", `  "revision": 8,`, `  "complete": false,`, `  "members": [`,
		`    {"id": "b",`, "", `     "phase": "DRAINING"}`, "  ]", `} {"revision":9,"complete":false,`, `"members":[]}`} {
		f.lines <- text
	}
	if l := wait(t, "the change", got); l.Revision != 8 || len(l.Members) != 1 || *l.Members[0] != (membership.Member{ID: "b", Phase: membership.PhaseDraining}) {
		t.Errorf("the change is %+v", l)
	}
	if l := wait(t, "the change behind it", got); l.Revision != 9 || l.Complete {
		t.Errorf("the next change is %+v", l)
	}
	f.lines <- ""
	// The end of the last line may count as an empty one.
	if l := wait(t, "the empty line", got); l.Revision != 9 || len(l.Members) != 0 {
		t.Errorf("an empty line tells %+v", l)
	}
	idle(t, "a second watch", f.watched)
}

// A watch may fall silent anywhere: what keeps coming inside a list that has
// begun is not a word.
func TestWatchThatStopsInsideAListIsBegunAnew(t *testing.T) {
	f := newFakeDiscovery(t)
	p := pushed(time.Hour)
	p.silence, p.first, p.longest = 50*time.Millisecond, time.Millisecond, time.Millisecond
	d := newDiscovery(f.Listener.Addr().String(), p, listLeast, func(l membership.List) {
		if l.Revision != 5 || len(l.Members) > 0 {
			t.Errorf("half a list is handed on: %+v", l)
		}
	})
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	wait(t, "a watch", f.watched)
	f.lines <- ""
	f.lines <- `{"revision":8,"complete":true,"members":[`
	for again := false; !again; {
		select {
		case f.lines <- "":
		case index := <-f.watched:
			if again = true; index != "5" {
				t.Errorf("the next watch begins at %s, want 5", index)
			}
		}
	}
}

// What can't be read is dropped, and the watch goes on from the last list.
func TestSpoiltListIsDroppedAndTheWatchBegunAnew(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	p := pushed(time.Hour)
	p.first, p.longest = time.Millisecond, time.Millisecond
	d := newDiscovery(f.Listener.Addr().String(), p, listLeast, func(l membership.List) { got <- l })
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	for _, spoilt := range []string{"noise", "}", `{"revision":"x"}`, `{"revision":8,"members":{}}`, `[{}]`, `{"members":[{"id":5}]}`} {
		if index := wait(t, "a watch", f.watched); index != "5" {
			t.Errorf("the watch begins at %s, want 5", index)
		}
		f.lines <- spoilt
	}
	wait(t, "the last watch", f.watched)
	f.lines <- `{"revision":6,"complete":false,"members":[]}`
	if l := wait(t, "the first list that can be read", got); l.Revision != 6 {
		t.Errorf("%+v is handed on", l)
	}
}

// A service that accepts a call and never answers it, or answers with its
// headers alone, is called again.
func TestSilentCallIsMadeAgain(t *testing.T) {
	for name, headers := range map[string]bool{"without a byte": false, "after the headers": true} {
		called := make(chan struct{}, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if headers {
				w.(http.Flusher).Flush()
			}
			called <- struct{}{}
			<-r.Context().Done()
		}))
		p := pushed(time.Hour)
		p.answer, p.list, p.first, p.longest = 20*time.Millisecond, 20*time.Millisecond, time.Millisecond, time.Millisecond
		for _, known := range []*membership.List{nil, {Revision: 5, Complete: true}} {
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			d := newDiscovery(s.Listener.Addr().String(), p, listLeast, func(l membership.List) { t.Errorf("%s: %+v is told", name, l) })
			go func() { d.run(ctx, known, nil); close(ended) }()
			for range 3 {
				wait(t, "a call", called)
			}
			stop()
			wait(t, "the end", ended)
			for len(called) > 0 {
				<-called
			}
		}
		s.CloseClientConnections()
		s.Close()
	}
}

// What an agent has counts as told at once. However many ingresses there are,
// one that comes back after a silence must be heard before a drain's grace is over.
func TestPushedListsAreCalledForInTime(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		p := pushed(grace)
		if grace == 0 {
			grace = pushedGrace
		}
		d := newDiscovery("", p, listLeast, nil)
		now := time.Now()
		d.heard = now.Add(-p.silence)
		for range 100 {
			if late := p.answer + d.wait(now); late > grace/2 {
				t.Errorf("grace %v: an agent that speaks again is heard after %v", grace, late)
			}
			if late := p.silence + p.answer + d.wait(now); late > toldAfter+grace/2 {
				t.Errorf("grace %v: what a silent watch misses is heard after %v", grace, late)
			}
		}
	}
}

// service stands for the one that all ingresses of a tier ask, on the clock of
// a bubble. It serves calls in turn, at a fixed pace.
type service struct {
	pace    float64                     // calls a second
	turned  float64                     // a call turned away costs this part of one
	trouble func(at time.Duration) mode // since begun
	begun   time.Time
	change  time.Duration // the list changes then

	mu    sync.Mutex
	free  time.Time // when it has done what it has taken
	calls []time.Duration
}

type mode int

const (
	serving mode = iota
	refusing
	resetting
	silent
)

const (
	oldRevision, newRevision = 5, 6
	serviceQueue             = 1200 * time.Millisecond // it turns away what would wait for longer
)

func (s *service) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, at := req.Context(), time.Since(s.begun)
	s.mu.Lock()
	s.calls = append(s.calls, at)
	s.mu.Unlock()
	answer := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: io.NopCloser(strings.NewReader(""))}
	switch s.trouble(at) {
	case refusing:
		time.Sleep(2 * time.Millisecond)
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overbooked"
		return answer, nil
	case resetting:
		return nil, syscall.ECONNRESET
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.mu.Lock()
	work := 1 / s.pace
	if s.free.Before(time.Now()) {
		s.free = time.Now()
	}
	queue := time.Until(s.free)
	if queue > serviceQueue {
		work *= s.turned
	}
	s.free = s.free.Add(time.Duration(work * float64(time.Second)))
	s.mu.Unlock()
	if queue > serviceQueue {
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overbooked"
		return answer, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(queue):
	}
	if req.URL.Query().Get("stream") == "" {
		answer.Body = io.NopCloser(strings.NewReader(fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, newRevision)))
		return answer, nil
	}
	asked, _ := strconv.Atoi(req.URL.Query().Get("index"))
	answer.Body = &serviceWatch{s: s, ctx: ctx, revision: asked}
	return answer, nil
}

// serviceWatch is the body of a watch: a change when there is one, an empty
// line every 2 s, and nothing more once the service is in trouble.
type serviceWatch struct {
	s        *service
	ctx      context.Context
	revision int
	begun    bool
}

func (w *serviceWatch) Close() error { return nil }
func (w *serviceWatch) Read(p []byte) (int, error) {
	if w.begun {
		select {
		case <-w.ctx.Done():
			return 0, w.ctx.Err()
		case <-time.After(keepalive):
		}
	}
	w.begun = true
	at := time.Since(w.s.begun)
	switch w.s.trouble(at) {
	case refusing, resetting:
		return 0, syscall.ECONNRESET
	case silent:
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	if at >= w.s.change && w.revision < newRevision {
		w.revision = newRevision
		return copy(p, fmt.Sprintf("{\"revision\":%d,\"complete\":false,\"members\":[]}\n", newRevision)), nil
	}
	return copy(p, "\n"), nil
}

// follow lets a tier follow the service for so long, each with the list known
// if there is one, and returns when each ingress first had the new one.
func (s *service) follow(gateways int, grace, length time.Duration, known *membership.List) []time.Duration {
	heard := make([]time.Duration, gateways)
	s.begun = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	for i := range gateways {
		d := newDiscovery("service", asked(gateways, grace), listLeast, func(l membership.List) {
			if l.Revision == newRevision && heard[i] == 0 {
				heard[i] = time.Since(s.begun)
			}
		})
		d.client.Transport = s
		d.chance = rand.New(rand.NewPCG(uint64(i), 7)).Float64
		ended.Go(func() { d.run(ctx, known, nil) })
	}
	time.Sleep(length)
	stop()
	ended.Wait()
	return heard
}

func oldList() *membership.List { return &membership.List{Revision: oldRevision, Complete: true} }

// fullest returns the most calls in one second from a time on.
func (s *service) fullest(from, to time.Duration) (most int) {
	for i, at := range s.calls {
		if at < from || at > to {
			continue
		}
		n := 0
		for _, other := range s.calls[i:] {
			if other-at < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// What discovery has counts as told 6 s after it could be reached, whatever
// calls were refused, reset or given up before, and however many ingresses
// there are. None of them may send to what drains a grace later.
func TestChangeIsHeardInTimeAfterFailedCalls(t *testing.T) {
	const lost, back, grace = 10 * time.Second, 41 * time.Second, 2 * time.Second
	for name, trouble := range map[string]mode{"refused": refusing, "reset": resetting, "given up": silent} {
		for _, gateways := range []int{1, 10, 350} {
			t.Run(fmt.Sprint(name, " at ", gateways), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &service{pace: 1.2 * float64(max(gateways, 10)), change: back, trouble: func(at time.Duration) mode {
						if at >= lost && at < back {
							return trouble
						}
						return serving
					}}
					for i, at := range s.follow(gateways, grace, back+20*time.Second, oldList()) {
						if at == 0 || at > back+toldAfter+grace/2 {
							t.Errorf("ingress %d heard of it %v after it could", i, at-back)
						}
					}
					t.Logf("%d calls, %d in the fullest second", len(s.calls), s.fullest(lost, back))
					if most := s.fullest(lost, back); gateways > 100 && most > gateways*3/5 {
						t.Errorf("%d calls in one second from %d ingresses, want no more than three fifths of them", most, gateways)
					}
					if n := len(s.calls); gateways > 100 && n > gateways*(2+int((back-lost)/(4*time.Second))) {
						t.Errorf("%d calls in all from %d ingresses, more than one in 4 s each", n, gateways)
					}
				})
			})
		}
	}
}

// A service that can serve one in nine ingresses a second, and that every call
// turned away costs as well, is not swamped by a tier that starts at once: all
// come to their watch, nearly as soon as it can.
func TestOverbookedServiceIsNotSwamped(t *testing.T) {
	const gateways = 350
	synctest.Test(t, func(t *testing.T) {
		s := &service{pace: gateways / 9, turned: 0.2, trouble: func(time.Duration) mode { return serving }}
		late := 0
		for _, at := range s.follow(gateways, 2*time.Second, 40*time.Second, oldList()) {
			if at == 0 || at > 20*time.Second {
				late++
			}
		}
		t.Logf("%d of %d ingresses had no watch after 20 s", late, gateways)
		if late > gateways/50 {
			t.Errorf("%d of %d ingresses had no watch after 20 s, though 9 are enough for all", late, gateways)
		}
	})
}

// An ingress that starts without a list is ready with its first one. Nine in
// ten have it within 10 s, though a whole tier starts at once, at a service
// that is silent or refuses all for a while, and could serve all in 3 s.
func TestFirstListComesWithinTenSeconds(t *testing.T) {
	const gateways, back = 300, 4 * time.Second
	for name, trouble := range map[string]mode{"silent": silent, "refusing": refusing, "overbooked": serving} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{pace: gateways / 3, turned: 0.2, trouble: func(at time.Duration) mode {
					if at < back {
						return trouble
					}
					return serving
				}}
				ready := 0
				for _, at := range s.follow(gateways, 2*time.Second, 15*time.Second, nil) {
					if at > 0 && at <= 10*time.Second {
						ready++
					}
				}
				t.Logf("%d of %d ingresses had a list within 10 s", ready, gateways)
				if ready < gateways*9/10 {
					t.Errorf("%d of %d ingresses had a list within 10 s, want nine in ten", ready, gateways)
				}
			})
		})
	}
}

// The time in which a list is taken in is not a silence of discovery.
func TestLongListDoesNotBreakItsOwnWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{pace: 1e6, begun: time.Now(), trouble: func(time.Duration) mode { return serving }, change: time.Second}
		p := asked(1, 0)
		d := newDiscovery("service", p, listLeast, func(l membership.List) {
			if l.Revision == newRevision {
				time.Sleep(3 * p.silence)
			}
		})
		d.client.Transport = s
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			d.run(ctx, oldList(), nil)
			close(ended)
		}()
		time.Sleep(time.Minute)
		stop()
		<-ended
		if len(s.calls) != 1 {
			t.Errorf("%d calls are made, want one watch that goes on", len(s.calls))
		}
	})
}

// A watch that worked and is lost is followed by a call before its silence
// counts as if it had told everything, and a call that failed before what
// came since its start does.
func TestLostWatchOfAServiceIsOpenedInTime(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		d := newDiscovery("", asked(300, grace), listLeast, nil)
		now := time.Now()
		seen := map[time.Duration]bool{}
		for range 100 {
			d.retry.Reset()
			d.have, d.called, d.heard = true, now.Add(-time.Hour), now.Add(-d.silence)
			wait := d.wait(now)
			if late := d.silence + wait; wait <= 0 || late+askedCall > toldAfter+grace/2 {
				t.Errorf("grace %v: a watch that fell silent is opened after %v", grace, late)
			}
			seen[wait] = true
			d.called, d.heard = now.Add(-time.Second), time.Time{}
			left := toldAfter + grace/2 - askedCall - time.Second
			if wait := d.wait(now); wait > left || wait < time.Duration((1-askedJitter)*float64(left)) {
				t.Errorf("grace %v: a call that failed within a second is followed by another after %v", grace, wait)
			}
		}
		if len(seen) < 50 {
			t.Errorf("grace %v: only %d different waits of 100", grace, len(seen))
		}
	}
}

// The settings tell whether lists are pushed or have to be asked for.
func TestPaceFollowsTheSettings(t *testing.T) {
	for word, want := range map[string]pace{"push": pushed(500 * time.Millisecond), "ask": asked(300, 500*time.Millisecond)} {
		text := strings.NewReplacer(`"balancers":1,`, `"balancers":300,`, `"discovery":"push"`, fmt.Sprintf(`"discovery":%q`, word)).
			Replace(fmt.Sprintf(settings, 1))
		cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, text))
		if err != nil {
			t.Fatal(err)
		}
		if got := cfg.pace(); got != want {
			t.Errorf("%s: the pace is %+v, want %+v", word, got, want)
		}
	}
}

// The calls of all ingresses reach one service: the more there are, the less
// often each may call, and no two in step; but never less often than the clock
// allows after which what discovery has counts as told.
func TestRetriesOfAWholeTierAreSpread(t *testing.T) {
	const due = toldAfter - askedCall
	for _, tier := range []struct {
		gateways       int
		first, longest time.Duration
	}{
		{1, 250 * time.Millisecond, 250 * time.Millisecond},
		{4, 250 * time.Millisecond, 400 * time.Millisecond},
		{40, time.Second, 4 * time.Second},
		{80, 2 * time.Second, due},
		{1000, due, due},
	} {
		seen := map[time.Duration]bool{}
		for range 20 {
			d := newDiscovery("", asked(tier.gateways, 0), listLeast, nil)
			now := time.Now()
			within := func(what string, wait, mean time.Duration, jitter, spread float64) {
				low, high := time.Duration((1-jitter)*float64(mean)), time.Duration((1+jitter)*float64(mean))
				low, high = min(low, time.Duration((1-spread)*float64(due))), min(high, due)
				if wait < low || wait > high+1 {
					t.Errorf("%d gateways: the %s wait is %v, want %v to %v", tier.gateways, what, wait, low, high)
				}
			}
			d.have, d.called = true, now
			first := d.wait(now)
			seen[first] = true
			within("first", first, tier.first, askedJitter, askedJitter)
			for range 10 {
				d.wait(now)
			}
			within("longest", d.wait(now), tier.longest, askedSpread, askedSpread)
			d.retry.Reset()
			d.heard = now
			within("next first", d.wait(now), tier.first, askedJitter, askedJitter)
		}
		if len(seen) < 10 {
			t.Errorf("%d gateways: only %d different first waits of 20", tier.gateways, len(seen))
		}
	}
}

// An overbooked service may take a watch and break it before it has told
// anything: that is a failure like any other.
func TestWatchThatTellsNothingKeepsTheBackoff(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscovery(f.Listener.Addr().String(), asked(1, 0), listLeast, func(membership.List) {})
	d.retry.InitialInterval, d.retry.MaxInterval = time.Millisecond, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		d.run(ctx, &membership.List{}, nil)
		close(ended)
	}()
	for range 4 {
		wait(t, "a watch", f.watched)
		f.lines <- "end"
	}
	wait(t, "the fifth watch", f.watched) // four waits: 1, 2, 4 and 8 ms
	cancel()
	wait(t, "the end", ended)
	if next, least := d.retry.NextBackOff(), time.Duration((1-askedJitter)*float64(16*time.Millisecond)); next < least {
		t.Errorf("the next wait is %v, want at least %v", next, least)
	}
}

// Unix time is turned into the gateway's clock; 0 means long ago.
func TestStartOfABackendIsOnTheGatewaysClock(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	r.ask(func(l *loop) {
		if _, dated := l.started(0); dated {
			t.Error("0 is taken for a time")
		}
		now := time.Now()
		at, dated := l.started(now.Add(-3 * time.Second).UnixMilli())
		if age := now.Sub(l.start) - at; !dated || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend is %v old, want 3s", age)
		}
	})
}

// A new configuration moves discovery: the new address tells its whole list and
// its own revision, and neither connections nor what is known get lost.
func TestDiscoveryMovesToANewAddress(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", one.got)

	silent := newFakeDiscovery(t) // tells nothing: the old address stays in force
	r.server.Reload(Config{Discovery: silent.Listener.Addr().String()})
	r.discovery.lines <- fmt.Sprintf(`{"revision":99,"complete":false,"members":[{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`, two.addr)
	r.eventually("a change at the old address", func(l *loop) bool { return len(l.pool.byName) == 2 })

	next := newFakeDiscovery(t, one.member("1"))
	next.agent.Store(true)
	close(next.gate)
	r.server.Reload(Config{Discovery: next.Listener.Addr().String()})
	if index := wait(t, "a watch at the new address", next.watched); index != "7" {
		t.Errorf("the new watch begins at %s, want its own list's 7", index)
	}
	r.server.Reload(Config{Discovery: next.Listener.Addr().String()}) // to where it is: nothing is asked for
	r.eventually("the new list to be in force", func(l *loop) bool { return len(l.pool.byName) == 1 })
	first.answer("v")
	c.want("$1\r\nv")
	r.rest(1)
	c.send("Q.ASK", anyone, newID(), lookup)
	if again := wait(t, "a further request", one.got); again.nc != first.nc {
		t.Error("the connection to the backend was not kept")
	} else {
		again.answer("w")
	}
	c.want("$1\r\nw")
	idle(t, "a second watch at the new address", next.watched)
}

// What the old address tells after the new one's list is out of date.
func TestLinesOfAnAddressLeftAreDropped(t *testing.T) {
	got := make(chan int64, 10)
	s := newSources(asked(1, 0), listLeast, membership.NewView(), nil)
	s.applied = func(revision int64) { got <- revision }
	defer s.close()
	old, next := &source{"old", func() {}}, &source{"next", func() {}}
	s.next = old
	s.take(old, membership.List{Revision: 1})
	s.next = next
	s.take(old, membership.List{Revision: 2})
	s.take(next, membership.List{Revision: 3})
	s.take(old, membership.List{Revision: 4})
	close(got)
	var revisions []int64
	for r := range got {
		revisions = append(revisions, r)
	}
	if fmt.Sprint(revisions) != "[1 2 3]" {
		t.Errorf("revisions %v are handed on, want [1 2 3]", revisions)
	}
}

// A new configuration that leaves discovery where it is asks for nothing, also
// while a move is under way: to where it goes on, or back to where it was.
func TestUnchangedAddressIsNotAskedAgain(t *testing.T) {
	var lists atomic.Int32
	s := newSources(asked(1, 0), listLeast, membership.NewView(), nil)
	s.applied = func(int64) { lists.Add(1) }
	defer s.close()
	left := map[string]bool{}
	begin := func(address string) (src *source, begun bool) {
		src = &source{address, func() { left[address] = true }}
		return src, s.begin(src)
	}
	one, begun := begin("one")
	if _, again := begin("one"); !begun || again {
		t.Error("an address that has told nothing yet is asked again")
	}
	s.take(one, membership.List{Revision: 1, Complete: true})
	if _, again := begin("one"); again {
		t.Error("the address in force is asked again")
	}
	two, begun := begin("two")
	if _, again := begin("two"); !begun || again {
		t.Error("an address that is moved to is asked again")
	}
	if _, again := begin("one"); again || !left["two"] || left["one"] {
		t.Errorf("back at the address in force: asked again %t, left %v; want the other one left", again, left)
	}
	s.take(two, membership.List{Revision: 9, Complete: true})
	s.take(one, membership.List{Revision: 2})
	if lists.Load() != 2 {
		t.Errorf("%d lists are taken, want the two of the address in force", lists.Load())
	}
}

// Connections to a backend that has started again lead to the process before,
// and where its machine vanished nothing else tells.
func TestBackendThatStartsAgainGetsNewConnections(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", b.got)
	first.answer("v")
	c.want("$1\r\nv")
	r.rest(1)
	r.discovery.lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"b","host_port":%q,"phase":"SERVING","size":1,"up_since_ms":%d}]}`,
		b.addr, time.Now().UnixMilli())
	if nc := wait(t, "the end of the connection to the process before", b.closed); nc != first.nc {
		t.Error("another connection ended")
	}
	c.send("Q.DO", anyone, newID(), payment, "BODY")
	if again := wait(t, "a request after the start", b.got); again.nc == first.nc {
		t.Error("it is on the connection to the process before")
	} else {
		again.answer("w")
	}
	c.want("$1\r\nw")
}

// A new backend may come to the address of one that is gone before discovery
// tells of that one's end. The two share nothing: neither connections nor warmth.
func TestBackendAtAnAddressTakenOverIsNew(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("old"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", b.got)
	first.answer("v")
	c.want("$1\r\nv")
	r.rest(1)
	r.discovery.lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"new","host_port":%q,"phase":"SERVING","size":1,"up_since_ms":%d}]}`,
		b.addr, time.Now().UnixMilli())
	if nc := wait(t, "the end of the old one's connection", b.closed); nc != first.nc {
		t.Error("another connection ended")
	}
	for range 2 { // the full list may name the old one once more
		r.ask(func(l *loop) {
			if len(l.pool.byName) != 1 || l.pool.byName["new"] == nil || l.pool.byName["new"].id == 1 {
				t.Errorf("the backends are %v, want the new one alone under an id of its own", l.pool.byName)
			}
		})
		r.tell(membership.List{Complete: true, Members: []*membership.Member{
			{ID: "new", HostPort: b.addr, Phase: membership.PhaseServing, Size: 1, UpSince: time.Now().UnixMilli()}, b.member("old")}})
	}
	c.send("Q.ASK", anyone, newID(), lookup)
	wait(t, "a request at the new one", b.got).answer("w")
	c.want("$1\r\nw")
}

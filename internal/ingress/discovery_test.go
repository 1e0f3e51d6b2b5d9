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

func TestWatchAppliesListChanges(t *testing.T) {
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
func TestSilentWatchIsReopened(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	close(f.gate)
	got := make(chan membership.List, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(l membership.List) { got <- l })
	d.silenceTimeout = 50 * time.Millisecond
	go d.run(t.Context(), nil, nil)
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || *l.Members[0] != *b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.watched)
	wait(t, "a second one", f.watched)
}

func TestDiscoveryIsRetried(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(membership.List) {})
	d.startupTimeout = 20 * time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), nil, func() { started <- struct{}{} })
	wait(t, "the first try to fail", started)
	close(f.gate)
	wait(t, "a watch", f.watched)
	idle(t, "a second start", started)
}

// A whole tier that asks for all lines at its start overbooks discovery: with a
// list known, only what changed since is asked for.
func TestWatchStartsAtLastKnownRevision(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b")) // its gate is closed: the whole list is never told
	got, started := make(chan membership.List, 10), make(chan struct{}, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(l membership.List) { got <- l })
	d.startupTimeout = time.Hour
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
func TestStartupDoesNotWaitForUnansweredWatch(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(membership.List) {})
	d.startupTimeout = time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), &membership.List{Complete: true}, func() { started <- struct{}{} })
	wait(t, "the start, though the watch tells nothing", started)
	wait(t, "the watch to be open all the same", f.watched)
	idle(t, "a second watch", f.watched)
}

// A list may come indented, over several lines and in several parts.
func TestIndentedLists(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), agentTiming(time.Hour), listBytesFloor, func(l membership.List) { got <- l })
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
func TestWatchThatStallsInsideListIsReopened(t *testing.T) {
	f := newFakeDiscovery(t)
	p := agentTiming(time.Hour)
	p.silenceTimeout, p.initialRetryDelay, p.maxRetryDelay = 50*time.Millisecond, time.Millisecond, time.Millisecond
	d := newDiscoveryClient(f.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) {
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
func TestInvalidListReopensWatch(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	p := agentTiming(time.Hour)
	p.initialRetryDelay, p.maxRetryDelay = time.Millisecond, time.Millisecond
	d := newDiscoveryClient(f.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) { got <- l })
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	for _, invalid := range []string{"noise", "}", `{"revision":"x"}`, `{"revision":8,"members":{}}`, `[{}]`, `{"members":[{"id":5}]}`} {
		if index := wait(t, "a watch", f.watched); index != "5" {
			t.Errorf("the watch begins at %s, want 5", index)
		}
		f.lines <- invalid
	}
	wait(t, "the last watch", f.watched)
	f.lines <- `{"revision":6,"complete":false,"members":[]}`
	if l := wait(t, "the first list that can be read", got); l.Revision != 6 {
		t.Errorf("%+v is handed on", l)
	}
}

// A service that accepts a call and never answers it, or answers with its
// headers alone, is called again.
func TestUnansweredCallIsRetried(t *testing.T) {
	for name, headers := range map[string]bool{"without a byte": false, "after the headers": true} {
		called := make(chan struct{}, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if headers {
				w.(http.Flusher).Flush()
			}
			called <- struct{}{}
			<-r.Context().Done()
		}))
		p := agentTiming(time.Hour)
		p.answerTimeout, p.listTimeout, p.initialRetryDelay, p.maxRetryDelay = 20*time.Millisecond, 20*time.Millisecond, time.Millisecond, time.Millisecond
		for _, known := range []*membership.List{nil, {Revision: 5, Complete: true}} {
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			d := newDiscoveryClient(s.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) { t.Errorf("%s: %+v is told", name, l) })
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
func TestAgentRetryMeetsDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		p := agentTiming(grace)
		if grace == 0 {
			grace = maxAgentGrace
		}
		d := newDiscoveryClient("", p, listBytesFloor, nil)
		now := time.Now()
		d.lastMessage = now.Add(-p.silenceTimeout)
		for range 100 {
			if delay := p.answerTimeout + d.nextDelay(now); delay > grace/2 {
				t.Errorf("grace %v: an agent that speaks again is heard after %v", grace, delay)
			}
			if delay := p.silenceTimeout + p.answerTimeout + d.nextDelay(now); delay > assumedDeliveryTime+grace/2 {
				t.Errorf("grace %v: what a silent watch misses is heard after %v", grace, delay)
			}
		}
	}
}

// fakeDiscoveryService stands for the one that all ingresses of a tier ask, on the clock of
// a bubble. It serves calls in turn, at a fixed pace.
type fakeDiscoveryService struct {
	callsPerSecond float64                            // calls a second
	rejectionCost  float64                            // a call turned away costs this part of one
	modeAt         func(at time.Duration) serviceMode // since begun
	startTime      time.Time
	changeAt       time.Duration // the list changes then

	mu        sync.Mutex
	busyUntil time.Time // when it has done what it has taken
	callTimes []time.Duration
}

type serviceMode int

const (
	available serviceMode = iota
	refusing
	resetting
	unresponsive
)

const (
	oldRevision, newRevision = 5, 6
	maxQueueDelay            = 1200 * time.Millisecond // it turns away what would wait for longer
)

func (s *fakeDiscoveryService) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, at := req.Context(), time.Since(s.startTime)
	s.mu.Lock()
	s.callTimes = append(s.callTimes, at)
	s.mu.Unlock()
	answer := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: io.NopCloser(strings.NewReader(""))}
	switch s.modeAt(at) {
	case refusing:
		time.Sleep(2 * time.Millisecond)
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overbooked"
		return answer, nil
	case resetting:
		return nil, syscall.ECONNRESET
	case unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.mu.Lock()
	cost := 1 / s.callsPerSecond
	if s.busyUntil.Before(time.Now()) {
		s.busyUntil = time.Now()
	}
	queueDelay := time.Until(s.busyUntil)
	if queueDelay > maxQueueDelay {
		cost *= s.rejectionCost
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(cost * float64(time.Second)))
	s.mu.Unlock()
	if queueDelay > maxQueueDelay {
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overbooked"
		return answer, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(queueDelay):
	}
	if req.URL.Query().Get("stream") == "" {
		answer.Body = io.NopCloser(strings.NewReader(fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, newRevision)))
		return answer, nil
	}
	revision, _ := strconv.Atoi(req.URL.Query().Get("index"))
	answer.Body = &watchBody{service: s, ctx: ctx, revision: revision}
	return answer, nil
}

// watchBody is the body of a watch: a change when there is one, an empty
// line every 2 s, and nothing more once the service is in trouble.
type watchBody struct {
	service       *fakeDiscoveryService
	ctx           context.Context
	revision      int
	sentFirstLine bool
}

func (w *watchBody) Close() error { return nil }
func (w *watchBody) Read(p []byte) (int, error) {
	if w.sentFirstLine {
		select {
		case <-w.ctx.Done():
			return 0, w.ctx.Err()
		case <-time.After(watchKeepAlive):
		}
	}
	w.sentFirstLine = true
	at := time.Since(w.service.startTime)
	switch w.service.modeAt(at) {
	case refusing, resetting:
		return 0, syscall.ECONNRESET
	case unresponsive:
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	if at >= w.service.changeAt && w.revision < newRevision {
		w.revision = newRevision
		return copy(p, fmt.Sprintf("{\"revision\":%d,\"complete\":false,\"members\":[]}\n", newRevision)), nil
	}
	return copy(p, "\n"), nil
}

// runTier lets a tier runTier the service for so long, each with the list known
// if there is one, and returns when each ingress first had the new one.
func (s *fakeDiscoveryService) runTier(gateways int, grace, duration time.Duration, lastKnown *membership.List) []time.Duration {
	receivedAt := make([]time.Duration, gateways)
	s.startTime = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	for i := range gateways {
		d := newDiscoveryClient("service", serviceTiming(gateways, grace), listBytesFloor, func(l membership.List) {
			if l.Revision == newRevision && receivedAt[i] == 0 {
				receivedAt[i] = time.Since(s.startTime)
			}
		})
		d.httpClient.Transport = s
		d.randomFloat = rand.New(rand.NewPCG(uint64(i), 7)).Float64
		ended.Go(func() { d.run(ctx, lastKnown, nil) })
	}
	time.Sleep(duration)
	stop()
	ended.Wait()
	return receivedAt
}

func oldList() *membership.List { return &membership.List{Revision: oldRevision, Complete: true} }

// maxCallsPerSecond returns the most calls in one second from a time on.
func (s *fakeDiscoveryService) maxCallsPerSecond(from, to time.Duration) (most int) {
	for i, at := range s.callTimes {
		if at < from || at > to {
			continue
		}
		n := 0
		for _, other := range s.callTimes[i:] {
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
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	const outageStart, outageEnd, grace = 10 * time.Second, 41 * time.Second, 2 * time.Second
	for name, outageMode := range map[string]serviceMode{"refused": refusing, "reset": resetting, "given up": unresponsive} {
		for _, gateways := range []int{1, 10, 350} {
			t.Run(fmt.Sprint(name, " at ", gateways), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &fakeDiscoveryService{callsPerSecond: 1.2 * float64(max(gateways, 10)), changeAt: outageEnd, modeAt: func(at time.Duration) serviceMode {
						if at >= outageStart && at < outageEnd {
							return outageMode
						}
						return available
					}}
					for i, at := range s.runTier(gateways, grace, outageEnd+20*time.Second, oldList()) {
						if at == 0 || at > outageEnd+assumedDeliveryTime+grace/2 {
							t.Errorf("ingress %d heard of it %v after it could", i, at-outageEnd)
						}
					}
					t.Logf("%d calls, %d in the fullest second", len(s.callTimes), s.maxCallsPerSecond(outageStart, outageEnd))
					if most := s.maxCallsPerSecond(outageStart, outageEnd); gateways > 100 && most > gateways*3/5 {
						t.Errorf("%d calls in one second from %d ingresses, want no more than three fifths of them", most, gateways)
					}
					if n := len(s.callTimes); gateways > 100 && n > gateways*(2+int((outageEnd-outageStart)/(4*time.Second))) {
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
func TestOverloadedServiceReachesWholeTier(t *testing.T) {
	const gateways = 350
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscoveryService{callsPerSecond: gateways / 9, rejectionCost: 0.2, modeAt: func(time.Duration) serviceMode { return available }}
		withoutWatch := 0
		for _, at := range s.runTier(gateways, 2*time.Second, 40*time.Second, oldList()) {
			if at == 0 || at > 20*time.Second {
				withoutWatch++
			}
		}
		t.Logf("%d of %d ingresses had no watch after 20 s", withoutWatch, gateways)
		if withoutWatch > gateways/50 {
			t.Errorf("%d of %d ingresses had no watch after 20 s, though 9 are enough for all", withoutWatch, gateways)
		}
	})
}

// An ingress that starts without a list is ready with its first one. Nine in
// ten have it within 10 s, though a whole tier starts at once, at a service
// that is silent or refuses all for a while, and could serve all in 3 s.
func TestFirstListArrivesWithinTenSeconds(t *testing.T) {
	const gateways, outageEnd = 300, 4 * time.Second
	for name, outageMode := range map[string]serviceMode{"silent": unresponsive, "refusing": refusing, "overbooked": available} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeDiscoveryService{callsPerSecond: gateways / 3, rejectionCost: 0.2, modeAt: func(at time.Duration) serviceMode {
					if at < outageEnd {
						return outageMode
					}
					return available
				}}
				ready := 0
				for _, at := range s.runTier(gateways, 2*time.Second, 15*time.Second, nil) {
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
func TestSlowDeliveryDoesNotBreakWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscoveryService{callsPerSecond: 1e6, startTime: time.Now(), modeAt: func(time.Duration) serviceMode { return available }, changeAt: time.Second}
		p := serviceTiming(1, 0)
		d := newDiscoveryClient("service", p, listBytesFloor, func(l membership.List) {
			if l.Revision == newRevision {
				time.Sleep(3 * p.silenceTimeout)
			}
		})
		d.httpClient.Transport = s
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			d.run(ctx, oldList(), nil)
			close(ended)
		}()
		time.Sleep(time.Minute)
		stop()
		<-ended
		if len(s.callTimes) != 1 {
			t.Errorf("%d calls are made, want one watch that goes on", len(s.callTimes))
		}
	})
}

// A watch that worked and is lost is followed by a call before its silence
// counts as if it had told everything, and a call that failed before what
// came since its start does.
func TestServiceRetryMeetsDeadline(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		d := newDiscoveryClient("", serviceTiming(300, grace), listBytesFloor, nil)
		now := time.Now()
		seen := map[time.Duration]bool{}
		for range 100 {
			d.retryBackoff.Reset()
			d.hasList, d.lastCallStart, d.lastMessage = true, now.Add(-time.Hour), now.Add(-d.silenceTimeout)
			delay := d.nextDelay(now)
			if total := d.silenceTimeout + delay; delay <= 0 || total+serviceCallTimeout > assumedDeliveryTime+grace/2 {
				t.Errorf("grace %v: a watch that fell silent is opened after %v", grace, total)
			}
			seen[delay] = true
			d.lastCallStart, d.lastMessage = now.Add(-time.Second), time.Time{}
			remaining := assumedDeliveryTime + grace/2 - serviceCallTimeout - time.Second
			if delay := d.nextDelay(now); delay > remaining || delay < time.Duration((1-serviceInitialJitter)*float64(remaining)) {
				t.Errorf("grace %v: a call that failed within a second is followed by another after %v", grace, delay)
			}
		}
		if len(seen) < 50 {
			t.Errorf("grace %v: only %d different waits of 100", grace, len(seen))
		}
	}
}

// The settings tell whether lists are pushed or have to be asked for.
func TestDiscoveryTimingFollowsSettings(t *testing.T) {
	for word, want := range map[string]discoveryTiming{"push": agentTiming(500 * time.Millisecond), "ask": serviceTiming(300, 500*time.Millisecond)} {
		text := strings.NewReplacer(`"balancers":1,`, `"balancers":300,`, `"discovery":"push"`, fmt.Sprintf(`"discovery":%q`, word)).
			Replace(fmt.Sprintf(settings, 1))
		cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, text))
		if err != nil {
			t.Fatal(err)
		}
		if got := cfg.discoveryTiming(); got != want {
			t.Errorf("%s: the pace is %+v, want %+v", word, got, want)
		}
	}
}

// The calls of all ingresses reach one service: the more there are, the less
// often each may call, and no two in step; but never less often than the clock
// allows after which what discovery has counts as told.
func TestServiceRetryDelaysScaleWithTier(t *testing.T) {
	const retryDeadline = assumedDeliveryTime - serviceCallTimeout
	for _, tier := range []struct {
		gateways               int
		initialDelay, maxDelay time.Duration
	}{
		{1, 250 * time.Millisecond, 250 * time.Millisecond},
		{4, 250 * time.Millisecond, 400 * time.Millisecond},
		{40, time.Second, 4 * time.Second},
		{80, 2 * time.Second, retryDeadline},
		{1000, retryDeadline, retryDeadline},
	} {
		seen := map[time.Duration]bool{}
		for range 20 {
			d := newDiscoveryClient("", serviceTiming(tier.gateways, 0), listBytesFloor, nil)
			now := time.Now()
			checkDelay := func(what string, delay, mean time.Duration, jitter, spread float64) {
				low, high := time.Duration((1-jitter)*float64(mean)), time.Duration((1+jitter)*float64(mean))
				low, high = min(low, time.Duration((1-spread)*float64(retryDeadline))), min(high, retryDeadline)
				if delay < low || delay > high+1 {
					t.Errorf("%d gateways: the %s wait is %v, want %v to %v", tier.gateways, what, delay, low, high)
				}
			}
			d.hasList, d.lastCallStart = true, now
			first := d.nextDelay(now)
			seen[first] = true
			checkDelay("first", first, tier.initialDelay, serviceInitialJitter, serviceInitialJitter)
			for range 10 {
				d.nextDelay(now)
			}
			checkDelay("longest", d.nextDelay(now), tier.maxDelay, serviceRetryJitter, serviceRetryJitter)
			d.retryBackoff.Reset()
			d.lastMessage = now
			checkDelay("next first", d.nextDelay(now), tier.initialDelay, serviceInitialJitter, serviceInitialJitter)
		}
		if len(seen) < 10 {
			t.Errorf("%d gateways: only %d different first waits of 20", tier.gateways, len(seen))
		}
	}
}

// An overbooked service may take a watch and break it before it has told
// anything: that is a failure like any other.
func TestEmptyWatchKeepsBackoff(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(membership.List) {})
	d.retryBackoff.InitialInterval, d.retryBackoff.MaxInterval = time.Millisecond, time.Hour
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
	if next, least := d.retryBackoff.NextBackOff(), time.Duration((1-serviceInitialJitter)*float64(16*time.Millisecond)); next < least {
		t.Errorf("the next wait is %v, want at least %v", next, least)
	}
}

// Unix time is turned into the gateway's clock; 0 means long ago.
func TestStartTimeOnGatewayClock(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	r.ask(func(l *loop) {
		if _, known := l.started(0); known {
			t.Error("0 is taken for a time")
		}
		now := time.Now()
		at, known := l.started(now.Add(-3 * time.Second).UnixMilli())
		if age := now.Sub(l.start) - at; !known || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend is %v old, want 3s", age)
		}
	})
}

// A new configuration moves discovery: the new address tells its whole list and
// its own revision, and neither connections nor what is known get lost.
func TestReloadSwitchesDiscoveryAddress(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", one.got)

	unresponsiveDiscovery := newFakeDiscovery(t) // tells nothing: the old address stays in force
	r.server.Reload(Config{Discovery: unresponsiveDiscovery.Listener.Addr().String()})
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
	r.ageIdleConns(1)
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
func TestListsOfFormerSourceAreDropped(t *testing.T) {
	got := make(chan int64, 10)
	s := newDiscoverySources(serviceTiming(1, 0), listBytesFloor, membership.NewView(), nil)
	s.onApplied = func(revision int64) { got <- revision }
	defer s.close()
	old, replacement := &discoverySource{"old", func() {}}, &discoverySource{"next", func() {}}
	s.pending = old
	s.handleList(old, membership.List{Revision: 1})
	s.pending = replacement
	s.handleList(old, membership.List{Revision: 2})
	s.handleList(replacement, membership.List{Revision: 3})
	s.handleList(old, membership.List{Revision: 4})
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
func TestReloadWithUnchangedAddressStartsNoSource(t *testing.T) {
	var lists atomic.Int32
	s := newDiscoverySources(serviceTiming(1, 0), listBytesFloor, membership.NewView(), nil)
	s.onApplied = func(int64) { lists.Add(1) }
	defer s.close()
	canceled := map[string]bool{}
	setPending := func(address string) (src *discoverySource, accepted bool) {
		src = &discoverySource{address, func() { canceled[address] = true }}
		return src, s.setPending(src)
	}
	one, accepted := setPending("one")
	if _, again := setPending("one"); !accepted || again {
		t.Error("an address that has told nothing yet is asked again")
	}
	s.handleList(one, membership.List{Revision: 1, Complete: true})
	if _, again := setPending("one"); again {
		t.Error("the address in force is asked again")
	}
	two, accepted := setPending("two")
	if _, again := setPending("two"); !accepted || again {
		t.Error("an address that is moved to is asked again")
	}
	if _, again := setPending("one"); again || !canceled["two"] || canceled["one"] {
		t.Errorf("back at the address in force: asked again %t, left %v; want the other one left", again, canceled)
	}
	s.handleList(two, membership.List{Revision: 9, Complete: true})
	s.handleList(one, membership.List{Revision: 2})
	if lists.Load() != 2 {
		t.Errorf("%d lists are taken, want the two of the address in force", lists.Load())
	}
}

// Connections to a backend that has started again lead to the process before,
// and where its machine vanished nothing else tells.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", b.got)
	first.answer("v")
	c.want("$1\r\nv")
	r.ageIdleConns(1)
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
func TestBackendWithReusedAddressIsNew(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("old"))
	wait(t, "a watch", r.discovery.watched)
	c := r.dial()
	c.send("Q.ASK", anyone, newID(), lookup)
	first := wait(t, "the request", b.got)
	first.answer("v")
	c.want("$1\r\nv")
	r.ageIdleConns(1)
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

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

// eventually waits until a condition on the state of the loop holds.
func (r *rig) eventually(what string, ok func(l *loop) bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		var done bool
		r.runOnLoop(func(l *loop) { done = ok(l) })
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatalf("timed out waiting for %s", what)
}

// Changes that a watch reports take effect, and after a lost connection the next watch
// starts at the last revision received.
func TestWatchAppliesListChanges(t *testing.T) {
	one, two := newFakeBackend(t), newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	if index := wait(t, "a watch", r.discovery.watchIndexes); index != "7" {
		t.Errorf("the watch starts at revision %s, want that of the list, 7", index)
	}
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	first := wait(t, "the request", one.commands)
	first.replyValue("v")
	c.wantLine("$1\r\nv")

	r.discovery.watchLines <- ""
	r.discovery.watchLines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"1","host_port":%q,"phase":"DRAINING"},{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`,
		one.addr, two.addr)
	if nc := wait(t, "the end of the idle connection to the draining backend", one.closed); nc != first.nc {
		t.Error("a different connection was closed")
	}
	for range 5 {
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		wait(t, "the request at the new backend", two.commands).replyValue("w")
		c.wantLine("$1\r\nw")
	}

	r.discovery.watchLines <- "end" // the connection breaks
	if index := wait(t, "the next watch", r.discovery.watchIndexes); index != "8" {
		t.Errorf("the next watch starts at revision %s, want 8", index)
	}
	r.discovery.watchLines <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"1","host_port":%q,"phase":"SERVING","size":1}]}`, one.addr)
	r.eventually("the backend missing from the list to be removed", func(l *loop) bool { return len(l.pool.byName) == 1 })
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	wait(t, "the request at the first backend", one.commands).replyValue("x")
	c.wantLine("$1\r\nx")
	r.discovery.watchLines <- `{"revision":10,"complete":false,"members":[{"id":"1","phase":"DELETED"}]}`
	r.eventually("the deleted backend to be removed", func(l *loop) bool { return len(l.pool.byName) == 0 })
}

// A watch whose peer has become unreachable stays open and silent. It is replaced by a new
// one.
func TestSilentWatchIsReopened(t *testing.T) {
	b := newFakeBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	close(f.listGate)
	got := make(chan membership.List, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(l membership.List) { got <- l })
	d.silenceTimeout = 50 * time.Millisecond
	go d.run(t.Context(), nil, nil)
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || *l.Members[0] != *b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.watchIndexes)
	wait(t, "a second watch", f.watchIndexes)
}

// Guards against a backend's drain that is never learned: a service that takes longer for the
// list than the first call waits is followed nevertheless.
func TestSlowServiceIsFollowed(t *testing.T) {
	const answerTime = 100 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(answerTime):
			io.WriteString(w, `{"revision":1,"complete":true,"members":[]}`)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.Close)
	got := make(chan membership.List, 10)
	timing := serviceTiming(1, 0)
	timing.listTimeout, timing.initialRetryDelay, timing.maxRetryDelay = answerTime/4, time.Millisecond, time.Millisecond
	d := newDiscoveryClient(s.Listener.Addr().String(), timing, listBytesFloor, func(l membership.List) { got <- l })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.run(ctx, nil, nil)
	if l := wait(t, "the list", got); l.Revision != 1 {
		t.Errorf("the list is %+v", l)
	}
}

// The time for a list doubles with each call without an answer, up to that of a watch. A local
// agent answers at once or not at all.
func TestListTimeoutGrowsWithFailures(t *testing.T) {
	for name, c := range map[string]struct {
		timing discoveryTiming
		want   []time.Duration
	}{
		"service": {serviceTiming(300, 0), []time.Duration{serviceCallTimeout, serviceSilenceTimeout, serviceSilenceTimeout}},
		"agent":   {agentTiming(2 * time.Second), []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}},
	} {
		for failures, want := range c.want {
			d := discoveryClient{discoveryTiming: c.timing, failures: failures}
			if got := d.nextListTimeout(); got != want {
				t.Errorf("%s: after %d failures a call takes up to %v, want %v", name, failures, got, want)
			}
		}
	}
}

// Guards against requests at backends that are gone: a new process of discovery at the same
// address has revisions of its own. Its changes refer to a list that is not known, so the whole
// list is fetched.
func TestDecreasedRevisionFetchesWholeList(t *testing.T) {
	b := newFakeBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	close(f.listGate)
	got := make(chan membership.List, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), agentTiming(0), listBytesFloor, func(l membership.List) { got <- l })
	go d.run(t.Context(), nil, nil)
	wait(t, "the list", got)
	wait(t, "a watch", f.watchIndexes)
	f.mu.Lock()
	f.list = membership.List{Revision: 3, Complete: true, Members: []*membership.Member{b.member("c")}}
	f.mu.Unlock()
	f.watchLines <- `{"revision":3,"complete":false,"members":[]}`
	if l := wait(t, "the whole list", got); !l.Complete || len(l.Members) != 1 || l.Members[0].ID != "c" {
		t.Errorf("after a decreased revision the list is %+v, want the whole new one", l)
	}
	if index := wait(t, "a watch", f.watchIndexes); index != "3" {
		t.Errorf("the next watch starts at revision %s, want 3", index)
	}
	f.watchLines <- `{"revision":2,"complete":true,"members":[]}`
	if l := wait(t, "a whole list", got); l.Revision != 2 || !l.Complete {
		t.Errorf("a whole list with a decreased revision gives %+v, want that list", l)
	}
}

// If the first call takes longer than the startup timeout, onFirstResult is called once
// nevertheless, and the client gets the list when discovery answers.
func TestStartupTimeoutReportsFirstResultOnce(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(membership.List) {})
	d.startupTimeout = 20 * time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), nil, func() { started <- struct{}{} })
	wait(t, "the end of the startup timeout", started)
	close(f.listGate)
	wait(t, "a watch", f.watchIndexes)
	wantNone(t, "a second start", started)
}

// A whole tier that gets the full list at its start overloads discovery. With a last known
// list, an ingress only asks for the changes since.
func TestWatchStartsAtLastKnownRevision(t *testing.T) {
	b := newFakeBackend(t)
	f := newFakeDiscovery(t, b.member("b")) // its gate stays closed: it never sends the full list
	got, started := make(chan membership.List, 10), make(chan struct{}, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(l membership.List) { got <- l })
	d.startupTimeout = time.Hour
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, func() { started <- struct{}{} })
	if index := wait(t, "a watch", f.watchIndexes); index != "5" {
		t.Errorf("the watch starts at revision %s, want the last known one, 5", index)
	}
	f.watchLines <- ""
	if l := wait(t, "the result of the empty line", got); l.Complete || len(l.Members) != 0 || l.Revision != 5 {
		t.Errorf("an empty line is delivered as %+v", l)
	}
	wait(t, "the start", started)
	f.watchLines <- `{"revision":6,"complete":false,"members":[{"id":"b","phase":"DRAINING"}]}`
	if l := wait(t, "the change", got); l.Revision != 6 || len(l.Members) != 1 {
		t.Errorf("the change is %+v, want revision 6 with one member", l)
	}
	wantNone(t, "a second start", started)
}

// An overloaded service takes long to answer. Clients do not have to wait for that: they
// are served from the last known list until then.
func TestStartupDoesNotWaitForUnansweredWatch(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Listener.Addr().String(), serviceTiming(1, 0), listBytesFloor, func(membership.List) {})
	d.startupTimeout = time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), &membership.List{Complete: true}, func() { started <- struct{}{} })
	wait(t, "the start, though the watch sends nothing", started)
	wait(t, "a watch", f.watchIndexes)
	wantNone(t, "a second watch", f.watchIndexes)
}

// A list may be indented, and may arrive in several lines and parts.
func TestIndentedLists(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	d := newDiscoveryClient(f.Listener.Addr().String(), agentTiming(time.Hour), listBytesFloor, func(l membership.List) { got <- l })
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	wait(t, "a watch", f.watchIndexes)
	for _, text := range []string{"{", `  "revision": 8,`, `  "complete": false,`, `  "members": [`,
		`    {"id": "b",`, "", `     "phase": "DRAINING"}`, "  ]", `} {"revision":9,"complete":false,`, `"members":[]}`} {
		f.watchLines <- text
	}
	if l := wait(t, "the change", got); l.Revision != 8 || len(l.Members) != 1 || *l.Members[0] != (membership.Member{ID: "b", Phase: membership.PhaseDraining}) {
		t.Errorf("the change is %+v", l)
	}
	if l := wait(t, "the next change", got); l.Revision != 9 || l.Complete {
		t.Errorf("the next change is %+v", l)
	}
	f.watchLines <- ""
	// The end of the last line may count as an empty line.
	if l := wait(t, "the empty line", got); l.Revision != 9 || len(l.Members) != 0 {
		t.Errorf("an empty line is delivered as %+v", l)
	}
	wantNone(t, "a second watch", f.watchIndexes)
}

// A watch may fall silent anywhere. Bytes that keep arriving inside a list that has begun
// do not count as messages, so such a watch is replaced too.
func TestWatchThatStallsInsideListIsReopened(t *testing.T) {
	f := newFakeDiscovery(t)
	p := agentTiming(time.Hour)
	p.silenceTimeout, p.initialRetryDelay, p.maxRetryDelay = 50*time.Millisecond, time.Millisecond, time.Millisecond
	d := newDiscoveryClient(f.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) {
		if l.Revision != 5 || len(l.Members) > 0 {
			t.Errorf("an incomplete list is delivered: %+v", l)
		}
	})
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	wait(t, "a watch", f.watchIndexes)
	f.watchLines <- ""
	f.watchLines <- `{"revision":8,"complete":true,"members":[`
	for again := false; !again; {
		select {
		case f.watchLines <- "":
		case index := <-f.watchIndexes:
			if again = true; index != "5" {
				t.Errorf("the next watch starts at revision %s, want 5", index)
			}
		}
	}
}

// An invalid list is dropped, and the next watch starts at the last valid revision.
func TestInvalidListReopensWatch(t *testing.T) {
	f := newFakeDiscovery(t)
	got := make(chan membership.List, 10)
	p := agentTiming(time.Hour)
	p.initialRetryDelay, p.maxRetryDelay = time.Millisecond, time.Millisecond
	d := newDiscoveryClient(f.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) { got <- l })
	go d.run(t.Context(), &membership.List{Revision: 5, Complete: true}, nil)
	for _, invalid := range []string{"noise", "}", `{"revision":"x"}`, `{"revision":8,"members":{}}`, `[{}]`, `{"members":[{"id":5}]}`} {
		if index := wait(t, "a watch", f.watchIndexes); index != "5" {
			t.Errorf("the watch starts at revision %s, want 5", index)
		}
		f.watchLines <- invalid
	}
	wait(t, "the last watch", f.watchIndexes)
	f.watchLines <- `{"revision":6,"complete":false,"members":[]}`
	if l := wait(t, "the first valid list", got); l.Revision != 6 {
		t.Errorf("%+v is delivered, want revision 6", l)
	}
}

// If a service accepts a call and never answers it, or sends only the headers of the
// answer, the call is retried.
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
			d := newDiscoveryClient(s.Listener.Addr().String(), p, listBytesFloor, func(l membership.List) { t.Errorf("%s: %+v is delivered, want no list", name, l) })
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

// A change counts as delivered as soon as an agent has it. After a silence the client must
// hear from an agent that is back before half of the grace period of a drain has passed.
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
				t.Errorf("grace period %v: an agent that answers again is reached after %v", grace, delay)
			}
			if delay := p.silenceTimeout + p.answerTimeout + d.nextDelay(now); delay > assumedDeliveryTime+grace/2 {
				t.Errorf("grace period %v: a change missed by a silent watch arrives after %v", grace, delay)
			}
		}
	}
}

// fakeDiscoveryService simulates the discovery service of a whole tier on the clock of a
// synctest bubble. It answers calls one after another, at a fixed rate.
type fakeDiscoveryService struct {
	callsPerSecond float64
	rejectionCost  float64                            // of a rejected call, as a part of an answered one
	modeAt         func(at time.Duration) serviceMode // at is the time since startTime
	startTime      time.Time
	changeAt       time.Duration // when the list changes, since startTime

	mu        sync.Mutex
	busyUntil time.Time // when all calls accepted so far are answered
	callTimes []time.Duration
}

// serviceMode is how the service answers calls.
type serviceMode int

const (
	available serviceMode = iota
	refusing
	resetting
	unresponsive
)

const (
	oldRevision, newRevision = 5, 6
	maxQueueDelay            = 1200 * time.Millisecond // calls that would wait longer are rejected
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
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overloaded"
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
		answer.StatusCode, answer.Status = http.StatusServiceUnavailable, "503 overloaded"
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

// watchBody is the response body of a watch: the change when the list changes, and
// otherwise an empty line per keep-alive interval. It fails or falls silent when the
// service does.
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

// runTier runs the discovery clients of a tier for a while, each with the last known list
// if there is one. It returns, for each ingress, the time from startTime until it received
// the new list, or 0 if it did not.
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

// maxCallsPerSecond returns the highest number of calls in one second of the interval.
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

// A change counts as delivered 6 s after discovery could be reached again, however many
// calls were refused, reset or not answered before, and however many ingresses there are.
// No ingress may send requests to a backend that drains once the grace period is over.
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	const outageStart, outageEnd, grace = 10 * time.Second, 41 * time.Second, 2 * time.Second
	for name, outageMode := range map[string]serviceMode{"refused": refusing, "reset": resetting, "unanswered": unresponsive} {
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
							t.Errorf("ingress %d received the change %v after the end of the outage", i, at-outageEnd)
						}
					}
					t.Logf("%d calls, %d in the busiest second", len(s.callTimes), s.maxCallsPerSecond(outageStart, outageEnd))
					if most := s.maxCallsPerSecond(outageStart, outageEnd); gateways > 100 && most > gateways*3/5 {
						t.Errorf("%d calls in one second from %d ingresses, want no more than three fifths of them", most, gateways)
					}
					if n := len(s.callTimes); gateways > 100 && n > gateways*(2+int((outageEnd-outageStart)/(4*time.Second))) {
						t.Errorf("%d calls in total from %d ingresses, more than one per 4 s each", n, gateways)
					}
				})
			})
		}
	}
}

// A tier that starts at the same moment does not overload a service that can answer one
// ninth of the ingresses per second, and for which rejected calls have a cost too: nearly
// all ingresses get their watch within 20 s.
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
			t.Errorf("%d of %d ingresses had no watch after 20 s, though the service can answer all in 9 s", withoutWatch, gateways)
		}
	})
}

// An ingress that starts without a list is ready when it has its first one. At least 90%
// of a tier that starts at the same moment have one within 10 s, even if the service does
// not answer or refuses all calls for the first 4 s. It can answer all of them in 3 s.
func TestFirstListArrivesWithinTenSeconds(t *testing.T) {
	const gateways, outageEnd = 300, 4 * time.Second
	for name, outageMode := range map[string]serviceMode{"silent": unresponsive, "refusing": refusing, "overloaded": available} {
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
					t.Errorf("%d of %d ingresses had a list within 10 s, want at least 90%%", ready, gateways)
				}
			})
		})
	}
}

// Delivering a list may take longer than the silence timeout of the watch, which stays
// open.
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
			t.Errorf("%d calls were made, want one watch that stays open", len(s.callTimes))
		}
	})
}

// After a watch has fallen silent, the next call starts before a change that the watch
// missed counts as delivered. After a call has failed, the next one starts before a change
// since the start of the failed call counts as delivered.
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
				t.Errorf("grace period %v: a silent watch is reopened after %v", grace, total)
			}
			seen[delay] = true
			d.lastCallStart, d.lastMessage = now.Add(-time.Second), time.Time{}
			remaining := assumedDeliveryTime + grace/2 - serviceCallTimeout - time.Second
			if delay := d.nextDelay(now); delay > remaining || delay < time.Duration((1-serviceInitialJitter)*float64(remaining)) {
				t.Errorf("grace period %v: a call that failed after a second is retried after %v", grace, delay)
			}
		}
		if len(seen) < 50 {
			t.Errorf("grace period %v: only %d different delays of 100", grace, len(seen))
		}
	}
}

// The settings say whether lists are pushed by an agent or come from a shared service.
func TestDiscoveryTimingFollowsSettings(t *testing.T) {
	for word, want := range map[string]discoveryTiming{"push": agentTiming(500 * time.Millisecond), "ask": serviceTiming(300, 500*time.Millisecond)} {
		text := strings.NewReplacer(`"balancers":1,`, `"balancers":300,`, `"discovery":"push"`, fmt.Sprintf(`"discovery":%q`, word)).
			Replace(fmt.Sprintf(settingsFormat, 1))
		cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, text))
		if err != nil {
			t.Fatal(err)
		}
		if got := cfg.discoveryTiming(); got != want {
			t.Errorf("%s: the timing is %+v, want %+v", word, got, want)
		}
	}
}

// All ingresses call one service: the more ingresses there are, the longer the delays
// between the calls of each, and the delays have jitter. But no delay is so long that a
// change counts as delivered before the next call.
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
					t.Errorf("%d gateways: the %s delay is %v, want %v to %v", tier.gateways, what, delay, low, high)
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
			t.Errorf("%d gateways: only %d different first delays of 20", tier.gateways, len(seen))
		}
	}
}

// An overloaded service may accept a watch and break it before the first message. That is
// a failure like any other and does not reset the backoff.
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
		wait(t, "a watch", f.watchIndexes)
		f.watchLines <- "end"
	}
	wait(t, "the fifth watch", f.watchIndexes) // after four delays: 1, 2, 4 and 8 ms
	cancel()
	wait(t, "the end", ended)
	if next, least := d.retryBackoff.NextBackOff(), time.Duration((1-serviceInitialJitter)*float64(16*time.Millisecond)); next < least {
		t.Errorf("the next delay is %v, want at least %v", next, least)
	}
}

// The start time of a backend is converted from Unix time to the clock of the gateway. 0
// means that it started long ago.
func TestStartTimeOnGatewayClock(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	r.runOnLoop(func(l *loop) {
		if _, known := l.startTime(0); known {
			t.Error("0 is accepted as a start time")
		}
		now := time.Now()
		at, known := l.startTime(now.Add(-3 * time.Second).UnixMilli())
		if age := now.Sub(l.clockStart) - at; !known || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend is %v old, want 3s", age)
		}
	})
}

// A reload may change the address of discovery. The new address sends its full list with
// its own revision, and the connections and the list in force are kept until then.
func TestReloadSwitchesDiscoveryAddress(t *testing.T) {
	one, two := newFakeBackend(t), newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	wait(t, "a watch", r.discovery.watchIndexes)
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	first := wait(t, "the request", one.commands)

	unresponsiveDiscovery := newFakeDiscovery(t) // sends no list: the old address stays in force
	r.server.Reload(Config{Discovery: unresponsiveDiscovery.Listener.Addr().String()})
	r.discovery.watchLines <- fmt.Sprintf(`{"revision":99,"complete":false,"members":[{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`, two.addr)
	r.eventually("a change at the old address", func(l *loop) bool { return len(l.pool.byName) == 2 })

	next := newFakeDiscovery(t, one.member("1"))
	next.sendKeepAlives.Store(true)
	close(next.listGate)
	r.server.Reload(Config{Discovery: next.Listener.Addr().String()})
	if index := wait(t, "a watch at the new address", next.watchIndexes); index != "7" {
		t.Errorf("the new watch starts at revision %s, want that of its own list, 7", index)
	}
	r.server.Reload(Config{Discovery: next.Listener.Addr().String()}) // the same address again: no call is made
	r.eventually("the new list to be in force", func(l *loop) bool { return len(l.pool.byName) == 1 })
	first.replyValue("v")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(1)
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	if again := wait(t, "another request", one.commands); again.nc != first.nc {
		t.Error("the connection to the backend was not kept")
	} else {
		again.replyValue("w")
	}
	c.wantLine("$1\r\nw")
	wantNone(t, "a second watch at the new address", next.watchIndexes)
}

// A list from the former address that arrives after the first list of the new one is out
// of date and dropped.
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
		t.Errorf("revisions %v are applied, want [1 2 3]", revisions)
	}
}

// A reload that does not change the address of discovery starts no new source. Neither
// does one that names the pending address or, during a switch, the current one.
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
		t.Error("an address without a list yet is started again")
	}
	s.handleList(one, membership.List{Revision: 1, Complete: true})
	if _, again := setPending("one"); again {
		t.Error("the current address is started again")
	}
	two, accepted := setPending("two")
	if _, again := setPending("two"); !accepted || again {
		t.Error("the pending address is started again")
	}
	if _, again := setPending("one"); again || !canceled["two"] || canceled["one"] {
		t.Errorf("back at the current address: started again %t, canceled %v; want only the pending one canceled", again, canceled)
	}
	s.handleList(two, membership.List{Revision: 9, Complete: true})
	s.handleList(one, membership.List{Revision: 2})
	if lists.Load() != 2 {
		t.Errorf("%d lists are applied, want the two of the current address", lists.Load())
	}
}

// Connections to a backend that has restarted lead to its previous process. If the machine
// of that process has disappeared, nothing else reveals that they are dead.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	wait(t, "a watch", r.discovery.watchIndexes)
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	first := wait(t, "the request", b.commands)
	first.replyValue("v")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(1)
	r.discovery.watchLines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"b","host_port":%q,"phase":"SERVING","size":1,"up_since_ms":%d}]}`,
		b.addr, time.Now().UnixMilli())
	if nc := wait(t, "the end of the connection to the previous process", b.closed); nc != first.nc {
		t.Error("a different connection was closed")
	}
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	if again := wait(t, "a request after the restart", b.commands); again.nc == first.nc {
		t.Error("the request is sent on the connection to the previous process")
	} else {
		again.replyValue("w")
	}
	c.wantLine("$1\r\nw")
}

// A new backend may use the address of a former one before discovery reports the end of
// the former one. The two share neither connections nor warm-up state.
func TestBackendWithReusedAddressIsNew(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("old"))
	wait(t, "a watch", r.discovery.watchIndexes)
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	first := wait(t, "the request", b.commands)
	first.replyValue("v")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(1)
	r.discovery.watchLines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"new","host_port":%q,"phase":"SERVING","size":1,"up_since_ms":%d}]}`,
		b.addr, time.Now().UnixMilli())
	if nc := wait(t, "the end of the former backend's connection", b.closed); nc != first.nc {
		t.Error("a different connection was closed")
	}
	for range 2 { // the full list may still contain the former backend
		r.runOnLoop(func(l *loop) {
			if len(l.pool.byName) != 1 || l.pool.byName["new"] == nil || l.pool.byName["new"].id == 1 {
				t.Errorf("the backends are %v, want only the new one, under its own id", l.pool.byName)
			}
		})
		r.applyList(membership.List{Complete: true, Members: []*membership.Member{
			{ID: "new", HostPort: b.addr, Phase: membership.PhaseServing, Size: 1, UpSince: time.Now().UnixMilli()}, b.member("old")}})
	}
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	wait(t, "a request at the new backend", b.commands).replyValue("w")
	c.wantLine("$1\r\nw")
}

package ingress

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"cedarseam/choice"
	"cedarseam/internal/eventlog"
	"cedarseam/internal/membership"
)

const (
	eventQueueSize = 1024
	// maxDeadlineMargin is kept back from a client's time, so that an answer given
	// at the end of it still arrives before the client gives up.
	maxDeadlineMargin     = 15 * time.Millisecond
	deadlineMarginDivisor = 10 // at most this part of the time is kept back
	probeTimeout          = 250 * time.Millisecond
	clientMemoryDivisor   = 6           // what is held for clients may take this part of the memory
	requestIDMargin       = time.Second // ids are known for so long beyond the longest time of a request
)

// An event is something that happened, told to the goroutine that owns the gateway.
type event func(*loop)

// loop owns the gateway and all that is decided by it. Only its own goroutine,
// in run, touches its fields, but for post and ready.
type loop struct {
	cfg                *Config
	gateway            *choice.Gateway
	clockStart         time.Time // the zero of the gateway's clock
	events             chan event
	done               chan struct{} // closed when run has ended
	ready              atomic.Bool   // discovery was asked and backends are known
	discoveryAttempted bool          // discovery was asked at least once
	pool               *pool
	requests           map[uint32]*request
	lastRequestID      uint32
	recentIDs          recentIDs
	memory             *memoryBudget
	startAges          startAgeEstimator
}

// request is one try of a client, from its last byte to its final answer and
// the end of its last attempt.
type request struct {
	*command
	id       uint32 // the gateway's: the clients' ids are longer
	size     int
	client   *client
	slot     *slot
	deadline time.Time
	finished bool // it has its final answer, or its client is gone
	attempts []*attempt
	inFlight int
}

func newLoop(cfg *Config) (*loop, error) {
	l := &loop{
		cfg: cfg, clockStart: time.Now(), events: make(chan event, eventQueueSize), done: make(chan struct{}),
		requests: map[uint32]*request{}, memory: &memoryBudget{limit: int64(cfg.Limits.MemoryMB) << 20 / clientMemoryDivisor},
	}
	longestDeadline := time.Duration(0)
	for _, c := range cfg.Choice.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	l.recentIDs.retention = longestDeadline + requestIDMargin
	l.pool = newPool(cfg,
		func(a *attempt, r reply, elapsed time.Duration, c *conn) {
			l.post(func(l *loop) { l.handleAttemptEnd(a, r, elapsed, c) })
		},
		func(c *conn) { l.post(func(l *loop) { l.pool.removeIdle(c) }) })
	var err error
	if l.gateway, err = choice.New(cfg.Choice, cfg.Seed, l.now(), l); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return l, nil
}

// post hands the loop an event. It may block, so the loop itself never calls it.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run handles events until stop is closed, and those that came before.
func (l *loop) run(stop <-chan struct{}) {
	defer close(l.done)
	for {
		select {
		case e := <-l.events:
			e(l)
		case <-stop:
			for range len(l.events) {
				(<-l.events)(l)
			}
			return
		}
	}
}

// now is the gateway's clock, monotonic.
func (l *loop) now() time.Duration { return time.Since(l.clockStart) }

// startRequest takes a client's try.
func (l *loop) startRequest(r *request) {
	l.lastRequestID++
	for l.requests[l.lastRequestID] != nil {
		l.lastRequestID++
	}
	r.id = l.lastRequestID
	l.requests[r.id] = r
	now := l.now()
	if !l.recentIDs.add(r.requestID, now) {
		// The copy of another's open request: its value belongs to that one alone.
		r.client.invalidCommands.Add(1)
		l.logFinished(r, "failed", "the id is in use", 0)
		l.answer(r, redcon.AppendError(nil, "ERR the request id is in use"))
		l.removeIfDone(r)
		return
	}
	timeLeft := time.Until(r.deadline)
	l.cfg.Log.RequestReceived(eventlog.RequestReceived{Request: r.requestID, Client: r.client.id, Class: r.class, Customer: r.customer, TimeLeft: timeLeft})
	l.gateway.Request(now, choice.Request{
		ID: r.id, Class: r.class, Plan: r.plan, Customer: r.customer, TimeLeft: timeLeft,
		Units: r.units, SetSize: r.spread, SetStart: r.first, ClientRetry: r.repeat,
	})
	l.removeIfDone(r)
}

// recentIDs knows the clients' ids for a span at least, and for two at most.
type recentIDs struct {
	retention         time.Duration
	rotatedAt         time.Duration
	current, previous map[uint64]struct{}
}

// add returns false if the id is known.
func (r *recentIDs) add(id uint64, now time.Duration) bool {
	if r.current == nil || now-r.rotatedAt >= r.retention {
		r.previous, r.current, r.rotatedAt = r.current, map[uint64]struct{}{}, now
	}
	if _, known := r.previous[id]; known {
		return false
	}
	n := len(r.current)
	r.current[id] = struct{}{}
	return len(r.current) > n
}

func (r *recentIDs) remove(id uint64) {
	delete(r.current, id)
	delete(r.previous, id)
}

// removeIfDone drops a request that is over and has nothing out.
func (l *loop) removeIfDone(r *request) {
	if r.finished && r.inFlight == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.memory.release(r.size)
	}
}

// handleDisconnect ends the open requests of a client that has left.
func (l *loop) handleDisconnect(c *client) {
	for _, r := range c.dropPending() {
		if !r.finished {
			l.logFinished(r, "gone", "the client has left", 0)
			l.finish(r)
			if len(r.attempts) == 0 {
				l.recentIDs.remove(r.requestID) // nothing was sent on: it may come again
			}
			l.gateway.ClientDisconnected(l.now(), r.id)
			l.removeIfDone(r)
		}
	}
}

// handleAttemptEnd takes the end of an attempt. c is its connection if that can be used again.
func (l *loop) handleAttemptEnd(a *attempt, answer reply, elapsed time.Duration, c *conn) {
	l.pool.recordReuseOutcome(a, answer.status)
	switch {
	case c != nil && a.dedicatedConn:
		c.closeAsync()
	case c != nil:
		l.pool.putIdle(c)
	}
	if a.request == nil {
		l.gateway.ProbeResult(l.now(), choice.ProbeResult{
			Backend: a.backend.id, Status: answer.status, Elapsed: elapsed, Load: answer.load})
		return
	}
	r := a.request
	r.inFlight--
	if l.cfg.Log.Detailed() {
		l.cfg.Log.AttemptEnded(eventlog.AttemptEnded{Request: r.requestID, Attempt: a.number, Backend: a.backend.name,
			Status: answer.status.String(), Elapsed: elapsed, Reusable: c != nil && !a.dedicatedConn})
	}
	if answer.status == choice.OK {
		l.logFinished(r, "served", a.backend.name, 0)
		l.answer(r, answer.value)
	}
	l.gateway.Outcome(l.now(), choice.Outcome{
		ID: r.id, Attempt: a.number, Backend: a.backend.id, Status: answer.status, Elapsed: elapsed, Answered: r.finished,
		Metered: answer.metered, Used: answer.used, Load: answer.load,
	})
	l.removeIfDone(r)
}

// logFinished writes that a request has its final answer, if it had none.
func (l *loop) logFinished(r *request, outcome, reason string, retryAfter time.Duration) {
	if r != nil && !r.finished && l.cfg.Log.Detailed() {
		l.cfg.Log.RequestFinished(eventlog.RequestFinished{Request: r.requestID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Attempts: len(r.attempts)})
	}
}

// answer gives a request its one final answer.
func (l *loop) answer(r *request, data []byte) {
	if r == nil || r.finished {
		return
	}
	l.finish(r)
	r.client.fill(r.slot, data)
}

// finish marks a request as over. Whether what is out for it is called off is the
// gateway's to decide; what is not yet written goes out no more.
func (l *loop) finish(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		a.cancelUnsent()
	}
}

// applyInBatches hands the loop what has changed in the list of backends. Other
// events pass between the parts. It returns once all are in force, and is never
// called by the loop itself.
func (l *loop) applyInBatches(changes []membership.Change) {
	for batch := range slices.Chunk(changes, changeBatchSize) {
		applied := make(chan struct{})
		l.post(func(l *loop) {
			l.applyChanges(batch)
			close(applied)
		})
		select {
		case <-applied:
		case <-l.done:
			return
		}
	}
}

// applyChanges takes what has changed in the list of backends.
func (l *loop) applyChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	backends := make([]choice.Backend, len(changes))
	for i, c := range changes {
		b := choice.Backend{Zone: indexOf(l.cfg.zones, c.Locality), Kind: indexOf(l.cfg.kinds, c.Flavor), Cell: c.Cell, Weight: c.Size}
		switch c.State {
		case membership.Serving:
			b.State = choice.Ready
		case membership.Draining:
			b.State = choice.Draining
		default:
			b.State = choice.Removed
		}
		record := l.pool.updateMember(c.Member, b.State)
		if record.startedFrom != c.UpSince { // once for each start: a new time is a new process to the gateway
			record.startedAt, _ = l.startTime(c.UpSince)
			record.startedFrom = c.UpSince
		}
		b.ID, b.Started, b.StartKnown = record.id, record.startedAt, record.startedFrom > 0
		backends[i] = b
	}
	l.gateway.UpdateBackends(l.now(), choice.Delta, backends)
	l.checkReady()
}

// markDiscoveryAttempted marks that discovery was asked for the list, whether or not it answered.
func (l *loop) markDiscoveryAttempted() {
	l.discoveryAttempted = true
	l.checkReady()
}

// checkReady lets clients in once there is a backend. The list of the
// configuration may be old, so discovery is asked first.
func (l *loop) checkReady() {
	if l.discoveryAttempted && l.pool.availableBackends > 0 {
		l.ready.Store(true)
	}
}

// startTime turns the start of a backend, in Unix time, into the gateway's
// clock. 0 stands for long ago.
func (l *loop) startTime(unixMillis int64) (at time.Duration, known bool) {
	if unixMillis <= 0 {
		return 0, false
	}
	now := l.now()
	localAge := now - time.UnixMilli(unixMillis).Sub(l.clockStart)
	return now - l.startAges.estimateAge(localAge), true
}

// indexOf is the place of a name in a list of the settings; a name that is not
// there is no place of ours.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}

// The gateway's actions.

// Send starts an attempt.
func (l *loop) Send(id, backend uint32, timeout time.Duration) {
	r := l.requests[id]
	a := &attempt{request: r, number: len(r.attempts), deadline: time.Now().Add(timeout),
		repeatable: l.cfg.Choice.Classes[r.class].Effect == choice.Free}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	l.pool.startAttempt(a, backend)
	if l.cfg.Log.Detailed() {
		l.cfg.Log.AttemptSent(eventlog.AttemptSent{Request: r.requestID, Attempt: a.number, Backend: a.backend.name, Kind: r.lastAttemptKind(), Timeout: timeout})
	}
}

// lastAttemptKind names the attempt that was started last, for the log.
func (r *request) lastAttemptKind() string {
	switch {
	case len(r.attempts) == 1:
		return "first"
	case r.inFlight > 1:
		return "hedge"
	}
	return "retry"
}

// Refuse answers that trying again does no harm.
func (l *loop) Refuse(id uint32, retryAfter time.Duration, reason choice.Reason) {
	l.logFinished(l.requests[id], "refused", reason.String(), retryAfter)
	l.answer(l.requests[id], busyReply(retryAfter))
}

// busyReply is the answer that trying again does no harm, with the advice when.
func busyReply(retryAfter time.Duration) []byte {
	line := "BUSY"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		line = fmt.Sprintf("BUSY %d", ms)
	}
	return redcon.AppendError(nil, line)
}

// Fail answers without a promise.
func (l *loop) Fail(id uint32, reason choice.Reason) {
	l.logFinished(l.requests[id], "failed", reason.String(), 0)
	l.answer(l.requests[id], redcon.AppendError(nil, "ERR failed"))
}

// Cancel stops the wait for an attempt. Its end comes as for any other.
func (l *loop) Cancel(id uint32, number int) {
	if r := l.requests[id]; r != nil && number < len(r.attempts) {
		r.attempts[number].abort()
	}
}

// Probe asks a backend for its load.
func (l *loop) Probe(backend uint32) {
	l.pool.startAttempt(&attempt{repeatable: true, deadline: time.Now().Add(probeTimeout)}, backend)
}

// SetTimer sets a timer.
func (l *loop) SetTimer(delay time.Duration, token uint64) {
	time.AfterFunc(delay, func() {
		l.post(func(l *loop) { l.gateway.TimerExpired(l.now(), token) })
	})
}

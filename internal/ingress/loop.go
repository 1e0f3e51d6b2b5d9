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
	// eventQueueSize is how many events may wait for the loop before post blocks.
	eventQueueSize = 1024
	// maxDeadlineMargin is subtracted from a client's time limit, so that an answer
	// given at the deadline still arrives before the client times out.
	maxDeadlineMargin = 15 * time.Millisecond
	// deadlineMarginDivisor limits the margin: it is at most 1/deadlineMarginDivisor of the
	// time limit.
	deadlineMarginDivisor = 10
	// probeTimeout is how long a backend may take to answer a probe.
	probeTimeout = 250 * time.Millisecond
	// clientMemoryDivisor limits the data held for clients to 1/clientMemoryDivisor of the
	// memory limit.
	clientMemoryDivisor = 6
)

// event is a function that the loop runs on its goroutine, which owns the gateway.
type event func(*loop)

// loop is the event loop that owns the gateway, the open requests and the pool of
// backend connections. Only its own goroutine, in run, accesses its state; other
// goroutines use post, done, ready and memory.
type loop struct {
	cfg                *Config
	gateway            *choice.Gateway
	clockStart         time.Time // time zero of the gateway's clock
	events             chan event
	done               chan struct{} // closed when run returns
	ready              atomic.Bool   // discovery was tried and a backend is available
	discoveryAttempted bool          // the first call to discovery has ended or timed out
	pool               *pool
	requests           map[uint32]*request
	lastRequestID      uint32
	requestIDs         *requestIDs
	memory             *memoryBudget
	startAges          startAgeEstimator
}

// request is one request of a client. It exists from the arrival of its last byte until
// its final answer is given and its last attempt has ended.
type request struct {
	*command
	id       uint32 // identifies the request in the gateway, unlike the client's 64-bit requestID
	size     int    // of its command, in bytes
	client   *client
	slot     *slot
	deadline time.Time
	arrived  time.Time  // when its last byte arrived
	started  time.Time  // when its client's reader started it
	ownsID   bool       // its requestID is not that of another request
	finished bool       // has its final answer, or the client has disconnected
	unsent   bool       // the client disconnected before the first attempt
	attempts []*attempt // all attempts so far, indexed by their number
	inFlight int        // attempts that have not ended
}

// newLoop returns the loop of a configuration, which run then runs.
func newLoop(cfg *Config) (*loop, error) {
	l := &loop{
		cfg: cfg, clockStart: time.Now(),
		events: make(chan event, eventQueueSize), done: make(chan struct{}),
		requests: map[uint32]*request{},
		memory:   &memoryBudget{limit: int64(cfg.Limits.sharedMemory() / clientMemoryDivisor)},
	}
	longestDeadline := time.Duration(0)
	for _, c := range cfg.Choice.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	l.requestIDs = newRequestIDs(longestDeadline+requestIDMargin, cfg.Limits.sharedMemory())
	l.pool = newPool(cfg, l.memory,
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

// post queues an event for the loop. It blocks while the queue is full, so the loop's
// own goroutine must not call it. Once the loop has stopped, the event is dropped.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run handles events until stop is closed, and then those that are still queued.
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

// now returns the time of the gateway's clock, which is monotonic.
func (l *loop) now() time.Duration { return time.Since(l.clockStart) }

// startRequest passes a new request of a client to the gateway. A request with the id
// of another recent one is rejected.
func (l *loop) startRequest(r *request) {
	l.lastRequestID++
	for l.requests[l.lastRequestID] != nil {
		l.lastRequestID++
	}
	r.id = l.lastRequestID
	l.requests[r.id] = r
	now := l.now()
	if r.ownsID = l.requestIDs.begin(r.requestID, now); !r.ownsID {
		// Clients choose a new id for every retry, so this request comes from somebody
		// else, who must not receive the value of the earlier one.
		r.client.invalidCommands.Add(1)
		l.logFinished(r, "failed", "the id is in use", 0)
		l.answer(r, redcon.AppendError(nil, "ERR the request id is in use"), 0)
		l.removeIfDone(r)
		return
	}
	timeLeft := time.Until(r.deadline)
	l.cfg.Log.RequestReceived(eventlog.RequestReceived{Request: r.requestID, Client: r.client.id,
		Class: r.class, Customer: r.customer, TimeLeft: timeLeft,
		Unread: r.started.Sub(r.arrived), Queued: time.Since(r.started)})
	l.gateway.Request(now, choice.Request{
		ID: r.id, Class: r.class, Plan: r.plan, Customer: r.customer, TimeLeft: timeLeft,
		Units: r.units, SetSize: r.spread, SetStart: r.first, ClientRetry: r.repeat,
	})
	l.removeIfDone(r)
}

// removeIfDone removes a request that is finished and has no attempt in flight, and
// releases its memory.
func (l *loop) removeIfDone(r *request) {
	if r.finished && r.inFlight == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.memory.releaseRequest(r.size)
		l.releaseID(r)
	}
}

// releaseID records that the request with the id has ended.
func (l *loop) releaseID(r *request) {
	switch {
	case !r.ownsID:
	case r.unsent:
		l.requestIDs.forget(r.requestID)
	default:
		l.requestIDs.end(r.requestID, len(r.attempts) > 0, l.now())
	}
}

// handleDisconnect finishes the open requests of a client that has disconnected.
func (l *loop) handleDisconnect(c *client) {
	for _, r := range c.dropPending() {
		if !r.finished {
			l.logFinished(r, "gone", "the client has left", 0)
			l.finish(r)
			r.unsent = len(r.attempts) == 0
			l.gateway.ClientDisconnected(l.now(), r.id)
			l.removeIfDone(r)
		}
	}
}

// handleAttemptEnd reports the outcome of an attempt or a probe to the gateway, and
// answers the request if the attempt succeeded. c is the attempt's connection, or nil if
// that can't be reused.
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
		l.cfg.Log.AttemptEnded(eventlog.AttemptEnded{Request: r.requestID, Attempt: a.number,
			Backend: a.backend.name, Status: answer.status.String(), Answer: string(answer.form),
			ValueBytes: len(answer.value), Elapsed: elapsed, Reusable: c != nil && !a.dedicatedConn})
	}
	if answer.status == choice.OK {
		l.logFinished(r, "served", a.backend.name, 0)
		l.answer(r, answer.value, answer.reserved)
	}
	l.gateway.Outcome(l.now(), choice.Outcome{
		ID: r.id, Attempt: a.number, Backend: a.backend.id, Status: answer.status, Elapsed: elapsed,
		Answered: r.finished, Metered: answer.metered, Used: answer.used, Load: answer.load,
	})
	l.removeIfDone(r)
}

// logFinished logs the final outcome of a request, unless the request is unknown or
// already finished. The caller finishes the request afterwards.
func (l *loop) logFinished(r *request, outcome, reason string, retryAfter time.Duration) {
	if r != nil && !r.finished && l.cfg.Log.Detailed() {
		l.cfg.Log.RequestFinished(eventlog.RequestFinished{Request: r.requestID, Outcome: outcome,
			Reason: reason, RetryAfter: retryAfter, Attempts: len(r.attempts)})
	}
}

// answer finishes a request with its final answer, for which the memory budget has
// reserved the given bytes beyond shortAnswerBytes. Further answers are dropped.
func (l *loop) answer(r *request, data []byte, reserved int) {
	if r == nil || r.finished {
		l.memory.release(answerMemory, reserved)
		return
	}
	l.finish(r)
	r.client.fill(r.slot, data, reserved)
}

// finish marks a request as finished. Attempts that are not yet written to a backend are
// cancelled; the gateway decides whether to cancel those in flight.
func (l *loop) finish(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		a.cancelUnsent()
	}
}

// applyInBatches applies changes of the list of backends on the loop's goroutine. It
// splits them into batches, so that the loop can handle other events in between. It
// returns once all changes are applied or the loop has stopped. The loop's own goroutine
// must not call it.
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

// applyChanges applies changes of the list of backends to the pool and the gateway.
func (l *loop) applyChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	backends := make([]choice.Backend, len(changes))
	for i, c := range changes {
		b := choice.Backend{Zone: indexOf(l.cfg.zones, c.Locality), Kind: indexOf(l.cfg.kinds, c.Flavor),
			Cell: c.Cell, Weight: c.Size}
		switch c.State {
		case membership.Serving:
			b.State = choice.Ready
		case membership.Draining:
			b.State = choice.Draining
		default:
			b.State = choice.Removed
		}
		record := l.pool.updateMember(c.Member, b.State)
		// Converted only once per start, because the gateway takes a new time for a restart.
		if record.startedFrom != c.UpSince {
			record.startedAt, _ = l.startTime(c.UpSince)
			record.startedFrom = c.UpSince
		}
		b.ID, b.Started, b.StartKnown = record.id, record.startedAt, record.startedFrom > 0
		backends[i] = b
	}
	l.gateway.UpdateBackends(l.now(), choice.Delta, backends)
	l.checkReady()
}

// markDiscoveryAttempted records that discovery was called for the list, whether or not
// the call succeeded.
func (l *loop) markDiscoveryAttempted() {
	l.discoveryAttempted = true
	l.checkReady()
}

// checkReady makes the ingress ready once a backend is available. The last known list
// in the configuration may be stale, so discovery has to be tried first.
func (l *loop) checkReady() {
	if l.discoveryAttempted && l.pool.availableBackends > 0 {
		l.ready.Store(true)
	}
}

// startTime converts the start of a backend from Unix time to the gateway's clock. 0 means
// that the backend started long ago, at an unknown time.
func (l *loop) startTime(unixMillis int64) (at time.Duration, known bool) {
	if unixMillis <= 0 {
		return 0, false
	}
	now := l.now()
	localAge := now - time.UnixMilli(unixMillis).Sub(l.clockStart)
	return now - l.startAges.estimateAge(localAge), true
}

// indexOf returns the index of a zone or a kind by its name, or -1 if the settings do not
// name it.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}

// The methods below implement the actions of the gateway.

// Send starts an attempt of a request at a backend.
func (l *loop) Send(id, backend uint32, timeout time.Duration) {
	r := l.requests[id]
	a := &attempt{request: r, number: len(r.attempts), deadline: time.Now().Add(timeout),
		repeatable: l.cfg.Choice.Classes[r.class].Effect == choice.Free}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	l.pool.startAttempt(a, backend)
	if l.cfg.Log.Detailed() {
		l.cfg.Log.AttemptSent(eventlog.AttemptSent{Request: r.requestID, Attempt: a.number,
			Backend: a.backend.name, Kind: r.lastAttemptKind(), Timeout: timeout})
	}
}

// lastAttemptKind returns the kind of the latest attempt, as it is logged.
func (r *request) lastAttemptKind() string {
	switch {
	case len(r.attempts) == 1:
		return "first"
	case r.inFlight > 1:
		return "hedge"
	}
	return "retry"
}

// Refuse answers that the client may safely retry the request, after the given time.
func (l *loop) Refuse(id uint32, retryAfter time.Duration, reason choice.Reason) {
	l.logFinished(l.requests[id], "refused", reason.String(), retryAfter)
	l.answer(l.requests[id], busyReply(retryAfter), 0)
}

// busyReply returns the encoded BUSY answer, which tells the client that it may safely
// retry. It carries the advice when to retry, unless that is below 1 ms.
func busyReply(retryAfter time.Duration) []byte {
	line := "BUSY"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		line = fmt.Sprintf("BUSY %d", ms)
	}
	return redcon.AppendError(nil, line)
}

// Fail answers with an error, which does not promise that a retry is safe.
func (l *loop) Fail(id uint32, reason choice.Reason) {
	l.logFinished(l.requests[id], "failed", reason.String(), 0)
	l.answer(l.requests[id], redcon.AppendError(nil, "ERR failed"), 0)
}

// Cancel aborts an attempt. Its outcome is reported like that of any other attempt.
func (l *loop) Cancel(id uint32, number int) {
	if r := l.requests[id]; r != nil && number < len(r.attempts) {
		r.attempts[number].abort()
	}
}

// Probe asks a backend for its load.
func (l *loop) Probe(backend uint32) {
	l.pool.startAttempt(&attempt{repeatable: true, deadline: time.Now().Add(probeTimeout)}, backend)
}

// SetTimer reports the token back to the gateway after the delay.
func (l *loop) SetTimer(delay time.Duration, token uint64) {
	time.AfterFunc(delay, func() {
		l.post(func(l *loop) { l.gateway.TimerExpired(l.now(), token) })
	})
}

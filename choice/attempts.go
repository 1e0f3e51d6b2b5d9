package choice

// Attempts: sending, hedging, handling of outcomes, retries and the final answer of a request.

import (
	"math"
	"slices"
	"time"
)

// sendAttempt sends the next attempt of r. If it cannot, it returns the reason.
func (g *Gateway) sendAttempt(r *request) Reason {
	timeLeft := r.deadline - g.now
	switch {
	case len(r.attempts) >= g.cfg.MaxAttempts:
		return AttemptsExhausted
	case timeLeft <= 0:
		return DeadlinePassed
	case r.inFlight > 0 && !g.cfg.Hedging:
		return AttemptInFlight
	}
	b := g.pickBackend(r)
	if b == nil {
		return NoBackend
	}
	// The ceiling counts the attempts that reach a backend: the first one draws from its bucket, at the time
	// of its send. If earlier attempts failed to connect, what they drew may have been refilled in the
	// meantime, so the units are checked and drawn again.
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverSent }) {
		if len(r.attempts) > 0 && !g.ceilingAllows(r.customer, r.Units) {
			return Ceiling
		}
		r.customer.ceilingTokens -= r.Units
	}
	if len(r.attempts) == 0 {
		g.retryBudget = min(g.retryBudget+retryBudgetRatio, retryBudgetCap)
		g.sendProbes()
	}
	if b.inFlight == 0 {
		b.waitingSince = g.now
	}
	if b.reusableConns = max(0, b.reusableConns-1); b.reusableConns == 0 {
		g.reusable.remove(b)
	}
	b.inFlight++
	g.readyInFlight++
	g.inFlight++
	r.inFlight++
	r.customer.inFlight++
	r.attempts = append(r.attempts, attempt{backend: b, zone: b.Zone, cell: b.Cell, sentAt: g.now})
	g.actions.Send(r.ID, b.ID, timeLeft)
	if g.cfg.Classes[r.Class].Effect != SingleShot && (g.cfg.Hedging || g.cfg.Cancelling) {
		delay := hedgeDelayAims * g.cfg.Classes[r.Class].Aim.Seconds()
		g.actions.SetTimer(seconds(delay), uint64(r.ID)<<8|uint64(len(r.attempts)&0xff))
	}
	return None
}

// TimerExpired handles the expiry of a timer: the hedge delay of an attempt, or the deadline given to Stop.
func (g *Gateway) TimerExpired(now time.Duration, token uint64) {
	g.advance(now)
	if token == stopTimerToken {
		g.answerAll()
		return
	}
	r := g.requests[uint32(token>>8)]
	if r == nil || r.answered || len(r.attempts) != int(token&0xff) || r.attempts[len(r.attempts)-1].ended {
		return
	}
	last := &r.attempts[len(r.attempts)-1]
	g.latencyRatioSum += min(maxLatencySample,
		(now-last.sentAt).Seconds()/g.cfg.Classes[r.Class].Aim.Seconds()/targetLatencyAims)
	g.latencyRatioCount++
	if g.retryBudget < 1 ||
		float64(g.inFlight) > g.concurrencyLimit()*(1-reservedLimitShare) && !g.unresponsive(last.backend) {
		return
	}
	if g.cfg.Hedging {
		if g.sendAttempt(r) == None {
			g.retryBudget--
		}
	} else if g.unresponsive(last.backend) {
		g.actions.Cancel(r.ID, len(r.attempts)-1)
	}
}

// sendProbes requests load reports from the ready backends in turn, at a rate proportional to the requests.
func (g *Gateway) sendProbes() {
	if !g.cfg.Probing || g.inFlightIndex < 0 {
		return
	}
	for g.probeTokens += probesPerRequest; g.probeTokens >= 1; g.probeTokens-- {
		g.lastProbed = (g.lastProbed + 1) % g.ready.size()
		g.actions.Probe(g.ready.members[g.lastProbed].ID)
	}
}

// Outcome handles the result of an attempt. A request that has no answer and no other attempt in flight is
// retried or gets its final answer.
func (g *Gateway) Outcome(now time.Duration, o Outcome) {
	g.advance(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	a.ended = true
	a.neverSent = o.Status == ConnectFailed || o.Status == CancelledBeforeSend
	a.neverRan = a.neverSent || o.Status == Refused
	a.backend.inFlight--
	if g.ready.contains(a.backend) {
		g.readyInFlight--
	}
	g.dropIfRemoved(a.backend)
	g.inFlight--
	r.inFlight--
	r.customer.inFlight--
	if o.Metered {
		g.applyReading(r.customer, o.Used)
	}
	g.observeOutcome(r, a, o)
	r.answered = r.answered || o.Answered
	if r.answered {
		g.cancelAttempts(r)
	} else if r.inFlight == 0 {
		g.retryOrAnswer(r, o.Status)
	}
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}

// observeOutcome updates the statistics of latency and health with the outcome of an attempt.
func (g *Gateway) observeOutcome(r *request, a *attempt, o Outcome) {
	stats := &g.classes[r.Class]
	aim := g.cfg.Classes[r.Class].Aim.Seconds()
	latency := o.Elapsed.Seconds()
	weight := max(minLatencyWeight,
		1-math.Exp(-(g.now-a.backend.lastOutcome).Seconds()/latencyWindowAims/g.maxAim.Seconds()))
	if o.Status == OK || o.Status == Timeout {
		if a.backend.relativeLatency < slowBackendFloor {
			g.latencyRatioSum += min(maxLatencySample, latency/aim/targetLatencyAims)
			g.latencyRatioCount++
		}
		statusWeight := 1.0
		if o.Status == Timeout {
			statusWeight = timeoutLatencyWeight
		}
		a.backend.relativeLatency += min(1, weight*statusWeight) *
			(min(latency/max(stats.meanLatency, 1e-6), maxRelativeLatency) - a.backend.relativeLatency)
	}
	switch o.Status {
	case OK:
		if a.backend.relativeLatency < slowBackendFloor {
			stats.meanLatency += minLatencyWeight / 2 * (latency - stats.meanLatency)
		}
	case Refused:
		g.latencyRatioSum += maxLatencySample
		g.latencyRatioCount++
	}
	if o.Status == OK || o.Status == Refused || o.Status == Error {
		a.backend.waitingSince = g.now
	}
	if o.Status == OK {
		a.backend.reusableConns++
	}
	if o.Status != Refused && o.Status != Cancelled && o.Status != CancelledBeforeSend {
		a.backend.lastOutcome = g.now
		g.addReusable(a.backend)
		g.recordResult(a.backend, o.Status != OK, weight)
	}
}

// firstPossibleRun returns the first attempt that is in flight or may have run, or nil.
func (r *request) firstPossibleRun() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan {
			return a
		}
	}
	return nil
}

// retryOrAnswer sends a further attempt after one that ended with the given status, or gives the final
// answer.
func (g *Gateway) retryOrAnswer(r *request, last Status) {
	price := 1.0
	if last == ConnectFailed {
		price = 0 // the attempt caused no work at a backend, so its retry cannot amplify an overload
	}
	class := &g.cfg.Classes[r.Class]
	var reason Reason
	switch {
	case last == CancelledBeforeSend:
		reason = Abandoned
	case g.retryBudget < price:
		reason = RetryBudget
	default:
		reason = g.sendAttempt(r)
		if reason == NoBackend && class.Effect == SingleShot && r.firstPossibleRun() != nil {
			reason = NotRepeatable
		}
	}
	if reason == None {
		g.retryBudget -= price
		return
	}
	g.answer(r, reason)
}

// answer gives r its final answer: a refusal if a retry by the client is safe and the client still waits,
// otherwise a failure.
func (g *Gateway) answer(r *request, reason Reason) {
	r.answered = true
	class := &g.cfg.Classes[r.Class]
	retrySafe := r.firstPossibleRun() == nil || class.Effect == Free ||
		class.Effect == Guarded && class.Group == GroupAll
	if retrySafe && (g.now < r.deadline || r.limitedByStop) {
		g.actions.Refuse(r.ID, g.retryAfterHint, reason)
	} else {
		g.actions.Fail(r.ID, reason)
	}
}

// ClientDisconnected ends a request whose client has disconnected.
func (g *Gateway) ClientDisconnected(now time.Duration, id uint32) {
	g.advance(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.answered = true
	if r.inFlight == 0 {
		delete(g.requests, id)
	}
	g.cancelAttempts(r)
}

// cancelAttempts cancels the attempts in flight of an answered request.
func (g *Gateway) cancelAttempts(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; g.cfg.Cancelling && !a.ended && !a.cancelled {
			a.cancelled = true
			g.actions.Cancel(r.ID, i)
		}
	}
}

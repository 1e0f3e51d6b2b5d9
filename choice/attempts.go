package choice

// Attempts: when one is made, what its end tells, and the final answer.

import (
	"math"
	"slices"
	"time"
)

// sendAttempt starts the next attempt of r, or tells what stands against it.
func (g *Gateway) sendAttempt(r *request) Reason {
	left := r.deadline - g.now
	switch {
	case len(r.attempts) >= g.cfg.MaxAttempts:
		return AttemptsExhausted
	case left <= 0:
		return DeadlinePassed
	case r.inFlight > 0 && !g.cfg.Hedging:
		return AttemptInFlight
	}
	b := g.pickBackend(r)
	if b == nil {
		return NoBackend
	}
	// The ceiling counts what comes to a backend. A connection that failed may have taken so long that the
	// part has filled again: the attempt that comes first draws at its own time.
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
	r.attempts = append(r.attempts, attempt{backend: b, sentAt: g.now})
	g.actions.Send(r.ID, b.ID, left)
	if g.cfg.Classes[r.Class].Effect != SingleShot && (g.cfg.Hedging || g.cfg.Cancelling) {
		wait := hedgeDelayAims * g.cfg.Classes[r.Class].Aim.Seconds()
		g.actions.SetTimer(seconds(wait), uint64(r.ID)<<8|uint64(len(r.attempts)&0xff))
	}
	return None
}

// TimerExpired takes a timer that is due: the wait for an attempt, or for the end of the process.
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
	g.latencyRatioSum += min(maxLatencySample, (now-last.sentAt).Seconds()/g.cfg.Classes[r.Class].Aim.Seconds()/targetLatencyAims)
	g.latencyRatioCount++
	if g.retryBudget < 1 || float64(g.inFlight) > g.concurrencyLimit()*(1-reservedLimitShare) && !g.unresponsive(last.backend) {
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

// sendProbes asks the ready backends in turn for the requests they hold, in step with the requests sent.
func (g *Gateway) sendProbes() {
	if !g.cfg.Probing || g.inFlightIndex < 0 {
		return
	}
	for g.probeTokens += probesPerRequest; g.probeTokens >= 1; g.probeTokens-- {
		g.lastProbed = (g.lastProbed + 1) % g.ready.size()
		g.actions.Probe(g.ready.members[g.lastProbed].ID)
	}
}

// Outcome takes the end of an attempt, and answers the request or tries again.
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

// observeOutcome takes what an outcome says of the backend and of the fleet.
func (g *Gateway) observeOutcome(r *request, a *attempt, o Outcome) {
	cl := &g.classes[r.Class]
	aim := g.cfg.Classes[r.Class].Aim.Seconds()
	lat := o.Elapsed.Seconds()
	w := max(minLatencyWeight, 1-math.Exp(-(g.now-a.backend.lastOutcome).Seconds()/latencyWindowAims/g.maxAim.Seconds()))
	if o.Status == OK || o.Status == Timeout {
		if a.backend.relativeLatency < slowBackendFloor {
			g.latencyRatioSum += min(maxLatencySample, lat/aim/targetLatencyAims)
			g.latencyRatioCount++
		}
		unheard := 1.0
		if o.Status == Timeout {
			unheard = timeoutLatencyWeight
		}
		a.backend.relativeLatency += min(1, w*unheard) * (min(lat/max(cl.meanLatency, 1e-6), maxRelativeLatency) - a.backend.relativeLatency)
	}
	switch o.Status {
	case OK:
		if a.backend.relativeLatency < slowBackendFloor {
			cl.meanLatency += minLatencyWeight / 2 * (lat - cl.meanLatency)
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
		g.recordResult(a.backend, o.Status != OK, w)
	}
}

// firstPossibleRun is the firstPossibleRun attempt that may have run, or is out.
func (r *request) firstPossibleRun() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan {
			return a
		}
	}
	return nil
}

// retryOrAnswer makes a further attempt or gives the final answer.
func (g *Gateway) retryOrAnswer(r *request, last Status) {
	price := 1.0
	if last == ConnectFailed {
		price = 0 // it cost no backend any work, so it cannot feed an overload
	}
	cl := &g.cfg.Classes[r.Class]
	var against Reason
	switch {
	case last == CancelledBeforeSend:
		against = Abandoned
	case g.retryBudget < price:
		against = RetryBudget
	default:
		against = g.sendAttempt(r)
		if against == NoBackend && cl.Effect == SingleShot && r.firstPossibleRun() != nil {
			against = NotRepeatable
		}
	}
	if against == None {
		g.retryBudget -= price
		return
	}
	g.answer(r, against)
}

// answer gives r its final answer: a refusal where another try does no harm and its client still waits.
func (g *Gateway) answer(r *request, against Reason) {
	r.answered = true
	cl := &g.cfg.Classes[r.Class]
	harmless := r.firstPossibleRun() == nil || cl.Effect == Free || cl.Effect == Guarded && cl.Group == GroupAll
	if harmless && (g.now < r.deadline || r.limitedByStop) {
		g.actions.Refuse(r.ID, g.retryAfterHint, against)
	} else {
		g.actions.Fail(r.ID, against)
	}
}

// ClientDisconnected ends a request whose client has left.
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

// cancelAttempts stops what is still out for a request that is over.
func (g *Gateway) cancelAttempts(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; g.cfg.Cancelling && !a.ended && !a.cancelled {
			a.cancelled = true
			g.actions.Cancel(r.ID, i)
		}
	}
}

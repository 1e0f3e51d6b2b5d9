package choice

// Admission: whether a request is within its customer's quota, the hard ceiling and the concurrency limit.

import (
	"math"
	"time"
)

// Request handles a request of a client: it refuses the request or sends the first attempt.
func (g *Gateway) Request(now time.Duration, in Request) {
	g.advance(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		!(in.Units >= 0) || math.IsInf(in.Units, 1) {
		g.actions.Refuse(in.ID, 0, Invalid)
		return
	}
	if in.TimeLeft <= 0 {
		g.actions.Refuse(in.ID, g.retryAfterHint, DeadlinePassed)
		return
	}
	r := &request{Request: in, deadline: now + in.TimeLeft}
	if g.applyStopDeadline(r); g.stopsBeforeAim(r) {
		g.actions.Refuse(in.ID, g.retryAfterHint, Stopping)
		return
	}
	c := g.findOrAddCustomer(in)
	r.customer = c
	if reason := g.admit(c, r); reason != None {
		g.actions.Refuse(r.ID, g.retryAfterHint, reason)
		return
	}
	g.requests[in.ID] = r
	if reason := g.sendAttempt(r); reason != None {
		delete(g.requests, in.ID)
		g.actions.Refuse(r.ID, g.retryAfterHint, reason)
	}
}

// admit decides on a request. A request within this gateway's even share of the tokens left in the quota's
// bucket, as last metered, is always admitted; others are admitted with the customer's admission probability
// a = 1 - b, b being the share to reject. Nothing is admitted beyond the concurrency limit, the ceiling or
// the cap on attempts in flight.
func (g *Gateway) admit(c *customer, r *request) Reason {
	g.advanceSlots(c)
	units := r.Units
	surge := g.surgeFactor(c, r.ClientRetry)
	if g.cfg.MeterPeriod <= 0 {
		c.admitProbability = g.localAdmitProbability(c, units)
	}
	probability := min(1, max(c.admitProbability/surge, minAdmitProbability))
	p, overLimit := c.plan, g.exceedsLimit(r, probability)
	g.limitPassRate *= 1 - limitPassRateWeight
	if !overLimit {
		g.limitPassRate += limitPassRateWeight
	}
	reason := Quota
	if overLimit {
		probability, reason = 0, ConcurrencyLimit
	} else if !g.ceilingAllows(c, units) {
		probability, reason = 0, Ceiling
	} else if p.MaxInFlight > 0 && float64(c.inFlight) >= math.Ceil(float64(p.MaxInFlight)/c.setSize) {
		probability, reason = 0, InFlightCap
	} else if p.Rate > 0 && g.remainingTokens(c, c.setSize, 0) >= units {
		probability = 1
	} else if p.Rate > 0 &&
		g.now-c.tokensAt < time.Duration(maxTokenEstimateAgePeriods*float64(g.cfg.MeterPeriod)) {
		otherRate := max(0, c.meanUse-c.meanAdmitted) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		reserve := tokenReserveDeviations * (1 - p.overuseAllowance()) *
			math.Sqrt(otherRate*(g.now-c.tokensAt).Seconds())
		// Where overuse costs nothing, the admission probability alone decides.
		if g.remainingTokens(c, 1, otherRate) < units+reserve {
			probability *= p.overuseAllowance()
		}
	}
	s := &c.slots[c.newestSlot%historySlots]
	s.offered += float32(units)
	s.probabilitySum += float32(probability)
	s.probabilityCount++
	if probability < 1 && g.rng.Float64() >= probability {
		return reason
	}
	s.admitted += float32(units)
	return None
}

// localAdmitProbability returns the admission probability of a customer without a meter. It estimates the
// offered rate from the requests at this gateway, as if they were spread evenly over the gateway set. At any
// moment they are not, but the busiest gateways change, so the rate is averaged over the time in which this
// gateway's share of the quota comes to rateWindowUnits. Until then the assumption for a new customer
// dominates. The current request does not count against itself.
func (g *Gateway) localAdmitProbability(c *customer, units float64) float64 {
	demand, quotaRate := &c.local, c.plan.Rate/c.setSize
	if quotaRate <= 0 {
		return c.admitProbability
	}
	elapsed := (g.now - demand.updatedAt).Seconds()
	decay := math.Exp(-elapsed * quotaRate / rateWindowUnits)
	demand.offered, demand.quota, demand.updatedAt =
		demand.offered*decay, demand.quota*decay+elapsed*quotaRate, g.now
	useRatio := (initialUseRatio*localPriorUnits + demand.offered) / (localPriorUnits + demand.quota)
	demand.offered += units
	return 1 / max(useRatio, minUseRatio)
}

// surgeFactor returns the ratio of the demand at this gateway since the last meter period to the expected
// demand. It reacts to any sudden rise before the delayed meter shows it.
//
// An allowance of surgeAllowanceUnits keeps random fluctuation from counting as a surge. Where many gateways
// expect little of the customer each, the allowance is larger, so that a single request is no surge. Among
// few gateways the ratio counts for less, since traffic may have moved here from another gateway. A known
// weakness: a customer whose requests come in bursts at one of many gateways is admitted less.
func (g *Gateway) surgeFactor(c *customer, clientRetry bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slotLength), 1.0
	if c.plan.Rate <= 0 { // readings are relative to the cap: the demand in a period of a customer at its cap
		scale = meanToPeakInFlightRatio * float64(c.plan.MaxInFlight) *
			period.Seconds() / g.classes[0].meanLatency
	}
	window := min(max(g.now-c.tokensAt, period), historySlots*g.slotLength)
	offered := g.sumSlots(c, g.now-window, g.now+g.slotLength).offered
	expected := max(c.meanOffered, scale*c.meanUse/c.meanAdmitProbability/c.setSize) *
		window.Seconds() / period.Seconds()
	allowance := max(surgeAllowanceUnits, surgeAllowancePerGateway*c.setSize*c.plan.overuseAllowance())
	if clientRetry {
		offered += clientRetrySurgeUnits * allowance / surgeAllowanceUnits
	}
	return math.Pow((offered+allowance)/(expected+allowance), 1-1/c.setSize)
}

// remainingTokens returns the tokens left in one of several equal shares of the quota's bucket: those at the
// last metered period, plus the refill and minus what this gateway has admitted since then. The refill is
// reduced by otherRate, the rate at which other gateways draw.
func (g *Gateway) remainingTokens(c *customer, shares, otherRate float64) float64 {
	size, refill := c.plan.Burst/shares, (c.plan.Rate/shares-otherRate)*g.slotLength.Seconds()
	tokens, k := c.tokens/shares, g.slotNumber(c.tokensAt)
	if k <= c.newestSlot-historySlots {
		tokens, k = size, c.newestSlot-historySlots+1
	}
	for ; k < c.newestSlot; k++ {
		tokens = min(tokens-float64(c.slots[k%historySlots].admitted)+refill, size)
	}
	return tokens - float64(c.slots[k%historySlots].admitted)
}

// ceilingAllows reports whether this gateway's share of the ceiling's token bucket holds the units. The
// gateways of the set have equal shares, in rate and in size. So together they never admit more than the
// bucket holds, whatever the meter reports, wherever the traffic goes, and also if gateways restart: a
// gateway starts with an empty share, since its previous process may have drawn everything.
func (g *Gateway) ceilingAllows(c *customer, units float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	refill := (g.now - c.ceilingAt).Seconds() * p.CeilingRate
	c.ceilingTokens, c.ceilingAt = min(c.ceilingTokens+refill/c.setSize, p.CeilingBurst/c.setSize), g.now
	return c.ceilingTokens >= units
}

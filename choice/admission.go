package choice

// Admission: whether a request passes the quota of its customer and the hard ceiling.

import (
	"math"
	"time"
)

// Request takes one try of a client and answers it, or sends it on.
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

// admit is the ordinary path. While the store that the meter shows holds units, this gateway's even share of
// them passes without the chance; all else meets the one chance a = 1 - b.
func (g *Gateway) admit(c *customer, r *request) Reason {
	g.advanceSlots(c)
	u := r.Units
	surge := g.surgeFactor(c, r.ClientRetry)
	if g.cfg.MeterPeriod <= 0 {
		c.admitProbability = g.localAdmitProbability(c, u)
	}
	chance := min(1, max(c.admitProbability/surge, minAdmitProbability))
	p, pressed := c.plan, g.exceedsLimit(r, chance)
	g.limitPassRate *= 1 - limitPassRateWeight
	if !pressed {
		g.limitPassRate += limitPassRateWeight
	}
	against := Quota
	if pressed {
		chance, against = 0, ConcurrencyLimit
	} else if !g.ceilingAllows(c, u) {
		chance, against = 0, Ceiling
	} else if p.MaxInFlight > 0 && float64(c.inFlight) >= math.Ceil(float64(p.MaxInFlight)/c.setSize) {
		chance, against = 0, InFlightCap
	} else if p.Rate > 0 && g.remainingTokens(c, c.setSize, 0) >= u {
		chance = 1
	} else if p.Rate > 0 && g.now-c.tokensAt < time.Duration(maxTokenEstimateAgePeriods*float64(g.cfg.MeterPeriod)) {
		others := max(0, c.meanUse-c.meanAdmitted) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		doubt := tokenReserveDeviations * (1 - p.overuseAllowance()) * math.Sqrt(others*(g.now-c.tokensAt).Seconds())
		if g.remainingTokens(c, 1, others) < u+doubt { // where overuse costs nothing, the chance decides alone
			chance *= p.overuseAllowance()
		}
	}
	s := &c.slots[c.newestSlot%historySlots]
	s.offered += float32(u)
	s.probabilitySum += float32(chance)
	s.probabilityCount++
	if chance < 1 && g.rng.Float64() >= chance {
		return against
	}
	s.admitted += float32(u)
	return None
}

// localAdmitProbability is the chance of a customer whom no meter ever shows. The offered rate is estimated from what is
// asked here, as if it fell on all gateways of the set alike: it does not at any moment, but the busiest
// change, so it is averaged over the time in which this gateway's part of the quota comes to smoothUnits.
// Until that has come, the guess of a customer who was not met before weighs more. The request in hand does
// not count against itself.
func (g *Gateway) localAdmitProbability(c *customer, u float64) float64 {
	n, part := &c.local, c.plan.Rate/c.setSize
	if part <= 0 {
		return c.admitProbability
	}
	passed := (g.now - n.updatedAt).Seconds()
	kept := math.Exp(-passed * part / rateWindowUnits)
	n.offered, n.quota, n.updatedAt = n.offered*kept, n.quota*kept+passed*part, g.now
	offered := (initialUseRatio*localPriorUnits + n.offered) / (localPriorUnits + n.quota)
	n.offered += u
	return 1 / max(offered, minUseRatio)
}

// surgeFactor is how much more this gateway is asked than expected since the store was last shown, a witness of
// what the late meter cannot show yet. surgeUnits keep chance from looking like one, and where many gateways
// expect little of a customer each, more of them: there a single request is no surgeFactor. Among few gateways it
// tells less, since traffic may have moved here from there. It covers any onset faster than the meter, and
// harms a customer whose requests come in bursts at one of many gateways.
func (g *Gateway) surgeFactor(c *customer, repeat bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slotLength), 1.0
	if c.plan.Rate <= 0 { // readings are in caps: what a customer at its cap asks for in a period
		scale = meanToPeakInFlightRatio * float64(c.plan.MaxInFlight) * period.Seconds() / g.classes[0].meanLatency
	}
	span := min(max(g.now-c.tokensAt, period), historySlots*g.slotLength)
	asked := g.sumSlots(c, g.now-span, g.now+g.slotLength).offered
	expected := max(c.meanOffered, scale*c.meanUse/c.meanAdmitProbability/c.setSize) * span.Seconds() / period.Seconds()
	doubt := max(surgeAllowanceUnits, surgeAllowancePerGateway*c.setSize*c.plan.overuseAllowance())
	if repeat {
		asked += clientRetrySurgeUnits * doubt / surgeAllowanceUnits
	}
	return math.Pow((asked+doubt)/(expected+doubt), 1-1/c.setSize)
}

// remainingTokens is what is left of one of so many parts of the store shown, filled and drawn on since.
func (g *Gateway) remainingTokens(c *customer, parts, others float64) float64 {
	most, fill := c.plan.Burst/parts, (c.plan.Rate/parts-others)*g.slotLength.Seconds()
	level, k := c.tokens/parts, g.slotNumber(c.tokensAt)
	if k <= c.newestSlot-historySlots {
		level, k = most, c.newestSlot-historySlots+1
	}
	for ; k < c.newestSlot; k++ {
		level = min(level-float64(c.slots[k%historySlots].admitted)+fill, most)
	}
	return level - float64(c.slots[k%historySlots].admitted)
}

// ceilingAllows tells whether this gateway's part of the ceiling's store holds the units. The parts of a set
// are even, in rate and in what they hold. So they add up to no more than the store at any time, whatever
// the meter says and wherever the traffic goes, and also while gateways end and start again: one that
// starts has an empty part, for the life before may have drawn it all.
func (g *Gateway) ceilingAllows(c *customer, u float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	fill := (g.now - c.ceilingAt).Seconds() * p.CeilingRate
	c.ceilingTokens, c.ceilingAt = min(c.ceilingTokens+fill/c.setSize, p.CeilingBurst/c.setSize), g.now
	return c.ceilingTokens >= u
}

package choice

// Admission: whether a request passes the quota of its customer and the hard ceiling.

import (
	"math"
	"time"
)

// Request takes one try of a client and answers it, or sends it on.
func (g *Gateway) Request(now time.Duration, in Request) {
	g.step(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		!(in.Units >= 0) || math.IsInf(in.Units, 1) {
		g.act.Refuse(in.ID, 0, Invalid)
		return
	}
	if in.TimeLeft <= 0 {
		g.act.Refuse(in.ID, g.advice, DeadlinePassed)
		return
	}
	r := &request{Request: in, deadline: now + in.TimeLeft}
	if g.cut(r); g.tooLate(r) {
		g.act.Refuse(in.ID, g.advice, Stopping)
		return
	}
	c := g.customer(in)
	r.cust = c
	if reason := g.admit(c, r); reason != None {
		g.act.Refuse(r.ID, g.advice, reason)
		return
	}
	g.requests[in.ID] = r
	if reason := g.send(r); reason != None {
		delete(g.requests, in.ID)
		g.act.Refuse(r.ID, g.advice, reason)
	}
}

// admit is the ordinary path. While the store that the meter shows holds units, this gateway's even share of
// them passes without the chance; all else meets the one chance a = 1 - b.
func (g *Gateway) admit(c *customer, r *request) Reason {
	g.roll(c)
	u := r.Units
	surge := g.surge(c, r.ClientRetry)
	if g.cfg.MeterPeriod <= 0 {
		c.chance = g.counted(c, u)
	}
	chance := min(1, max(c.chance/surge, leastChance))
	p, pressed := c.plan, g.pressed(r, chance)
	g.clear *= 1 - clearAverage
	if !pressed {
		g.clear += clearAverage
	}
	against := Quota
	if pressed {
		chance, against = 0, ConcurrencyLimit
	} else if !g.ceilingHolds(c, u) {
		chance, against = 0, Ceiling
	} else if p.MaxInFlight > 0 && float64(c.open) >= math.Ceil(float64(p.MaxInFlight)/c.spread) {
		chance, against = 0, InFlightCap
	} else if p.Rate > 0 && g.share(c, c.spread, 0) >= u {
		chance = 1
	} else if p.Rate > 0 && g.now-c.storeAt < time.Duration(boundPeriods*float64(g.cfg.MeterPeriod)) {
		others := max(0, c.mean-c.own) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		doubt := doubtShare * (1 - p.free()) * math.Sqrt(others*(g.now-c.storeAt).Seconds())
		if g.share(c, 1, others) < u+doubt { // where overuse costs nothing, the chance decides alone
			chance *= p.free()
		}
	}
	s := &c.slots[c.head%slotsKept]
	s.offered += float32(u)
	s.chance += float32(chance)
	s.met++
	if chance < 1 && g.rng.Float64() >= chance {
		return against
	}
	s.passed += float32(u)
	return None
}

// counted is the chance of a customer whom no meter ever shows. The offered rate is estimated from what is
// asked here, as if it fell on all gateways of the set alike: it does not at any moment, but the busiest
// change, so it is averaged over the time in which this gateway's part of the quota comes to smoothUnits.
// Until that has come, the guess of a customer who was not met before weighs more. The request in hand does
// not count against itself.
func (g *Gateway) counted(c *customer, u float64) float64 {
	n, part := &c.count, c.plan.Rate/c.spread
	if part <= 0 {
		return c.chance
	}
	passed := (g.now - n.at).Seconds()
	kept := math.Exp(-passed * part / smoothUnits)
	n.units, n.quota, n.at = n.units*kept, n.quota*kept+passed*part, g.now
	offered := (startUse*countUnits + n.units) / (countUnits + n.quota)
	n.units += u
	return 1 / max(offered, calmUse)
}

// surge is how much more this gateway is asked than expected since the store was last shown, a witness of
// what the late meter cannot show yet. surgeUnits keep chance from looking like one, and where many gateways
// expect little of a customer each, more of them: there a single request is no surge. Among few gateways it
// tells less, since traffic may have moved here from there. It covers any onset faster than the meter, and
// harms a customer whose requests come in bursts at one of many gateways.
func (g *Gateway) surge(c *customer, repeat bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slot), 1.0
	if c.plan.Rate <= 0 { // readings are in caps: what a customer at its cap asks for in a period
		scale = openPart * float64(c.plan.MaxInFlight) * period.Seconds() / g.classes[0].mean
	}
	span := min(max(g.now-c.storeAt, period), slotsKept*g.slot)
	asked := g.window(c, g.now-span, g.now+g.slot).offered
	expected := max(c.asked, scale*c.mean/c.applied/c.spread) * span.Seconds() / period.Seconds()
	doubt := max(surgeUnits, surgeEach*c.spread*c.plan.free())
	if repeat {
		asked += surgeRepeat * doubt / surgeUnits
	}
	return math.Pow((asked+doubt)/(expected+doubt), 1-1/c.spread)
}

// share is what is left of one of so many parts of the store shown, filled and drawn on since.
func (g *Gateway) share(c *customer, parts, others float64) float64 {
	most, fill := c.plan.Burst/parts, (c.plan.Rate/parts-others)*g.slot.Seconds()
	level, k := c.store/parts, g.slotOf(c.storeAt)
	if k <= c.head-slotsKept {
		level, k = most, c.head-slotsKept+1
	}
	for ; k < c.head; k++ {
		level = min(level-float64(c.slots[k%slotsKept].passed)+fill, most)
	}
	return level - float64(c.slots[k%slotsKept].passed)
}

// ceilingHolds tells whether this gateway's part of the ceiling's store holds the units. The parts of a set
// are even, in rate and in what they hold. So they add up to no more than the store at any time, whatever
// the meter says and wherever the traffic goes, and also while gateways end and start again: one that
// starts has an empty part, for the life before may have drawn it all.
func (g *Gateway) ceilingHolds(c *customer, u float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	fill := (g.now - c.ceilAt).Seconds() * p.CeilingRate
	c.ceiling, c.ceilAt = min(c.ceiling+fill/c.spread, p.CeilingBurst/c.spread), g.now
	return c.ceiling >= u
}

package choice

// The meter: what late readings, and the gateway's own history, tell of a customer's use over all gateways.

import (
	"math"
	"time"
)

// slotNumber numbers the slots of own history; all that is asked for are above 0.
func (g *Gateway) slotNumber(t time.Duration) int64 {
	return int64((t - g.startedAt + 1<<20*g.slotLength) / g.slotLength)
}

// advanceSlots opens the slots up to now.
func (g *Gateway) advanceSlots(c *customer) {
	n := g.slotNumber(g.now)
	if n-c.newestSlot > historySlots {
		c.newestSlot = n - historySlots
	}
	for c.newestSlot < n {
		c.newestSlot++
		c.slots[c.newestSlot%historySlots] = slotUsage{probabilitySum: float32(g.limitPassRate * min(1, c.admitProbability)), probabilityCount: 1}
	}
}

// sumSlots adds up own history between two times, by whole slots.
func (g *Gateway) sumSlots(c *customer, from, to time.Duration) (sum usageTotals) {
	lo := min(max(g.slotNumber(from), c.newestSlot-historySlots+1), c.newestSlot)
	n := 0.0
	for k := lo; k < min(g.slotNumber(to), c.newestSlot+1); k++ {
		s := &c.slots[k%historySlots]
		sum.offered += float64(s.offered)
		sum.admitted += float64(s.admitted)
		sum.meanProbability += float64(s.probabilitySum / s.probabilityCount)
		n++
	}
	if n > 0 {
		sum.meanProbability /= n
	} else {
		s := &c.slots[lo%historySlots]
		sum.meanProbability = float64(s.probabilitySum / s.probabilityCount)
	}
	return
}

// observeChange narrows down when the shown period changes, from two answers with different readings.
func (m *meterClock) observeChange(from, to, period time.Duration) {
	if !m.known {
		m.known, m.earliest, m.latest = true, from, to
		return
	}
	shift := ((from+to)/2 - (m.earliest+m.latest)/2 + period/2)
	shift -= ((shift % period) + period) % period
	lo, hi := max(m.earliest+shift, from), min(m.latest+shift, to)
	if lo >= hi {
		lo, hi = from, to
	}
	m.earliest, m.latest = lo, hi
}

// learnLag learns the lag: the right one makes own use learnLag best into the readings.
func (g *Gateway) learnLag(c *customer, use float64, shown time.Duration) {
	m := &g.meter
	m.readings++
	w := 1 / float64(min(m.readings, lagWindowReadings))
	top, best := g.slotNumber(shown), 0
	for j := range m.lagErrors {
		own := 0.0
		for k := max(top-int64(j)-slotsPerPeriod, c.newestSlot-historySlots+1); k < min(top-int64(j), c.newestSlot+1); k++ {
			own += float64(c.slots[k%historySlots].admitted)
		}
		m.lagErrors[j] += w * ((use-own)*(use-own)/(use+1) - m.lagErrors[j])
		if m.lagErrors[j] < m.lagErrors[best] {
			best = j
		}
	}
	if m.readings > lagWindowReadings/4 {
		m.lagSlots = best
	}
}

// applyReading takes a reading that came with an answer. Answers repeat a period's reading; the clock of the meter
// tells which period it is, and each counts once.
func (g *Gateway) applyReading(c *customer, used float64) {
	period := g.cfg.MeterPeriod
	if period <= 0 || !(used >= 0) || math.IsInf(used, 1) {
		return
	}
	if c.hasReading && used != c.reading && g.now-c.readingAt < period {
		g.meter.observeChange(c.readingAt, g.now, period)
	}
	shown := g.now
	if g.meter.known {
		shown = (g.meter.earliest + g.meter.latest) / 2
	}
	number := int64(math.Floor(float64(g.now-shown) / float64(period)))
	shown += time.Duration(number) * period
	number = int64(math.Round(float64(shown) / float64(period)))
	c.reading, c.readingAt = used, g.now
	if c.hasReading && number <= c.lastPeriod {
		return
	}
	g.advanceSlots(c)
	p := c.plan
	quota, tau := 1.0, inFlightWindowPeriods
	if p.Rate > 0 {
		quota = p.Rate * period.Seconds()
		tau = max(minRateWindowPeriods, rateWindowUnits/quota)
	}
	use := used * quota
	if p.Rate > 0 && g.meter.known && c.hasReading {
		g.learnLag(c, use, shown)
	}
	end := shown - time.Duration(g.meter.lagSlots)*g.slotLength
	gap, w, held := int64(1), 1.0, 0.0
	if p.Rate > 0 {
		w = quota / (quota + meterPriorUnits)
	}
	if p.Rate > 0 && !c.hasReading {
		// The other gateways of its set have heard this customer sooner and hold his use near the quota: a
		// first reading near or beyond it tells of one who asks for more, and whose store is spent.
		held = partialViewFactor(c.setSize) * min(1, max(0, (used-initialOveruseFloor)/(1-initialOveruseFloor)))
		c.tokens = p.Burst * (1 - initialDrawnShare*held)
	}
	if c.hasReading {
		gap = min(number-c.lastPeriod, historySlots/slotsPerPeriod)
		w = 1 - math.Exp(-float64(gap)/tau)
	}
	for k := gap - 1; k > 0; k-- { // periods whose readings were never heard
		own := g.sumSlots(c, end-time.Duration(k+1)*period, end-time.Duration(k)*period).admitted
		c.addTokens(quota - max(own, c.meanUse))
	}
	c.addTokens(quota - use)
	c.tokensAt = end
	sum := g.sumSlots(c, end-period, end)
	c.meanUse += w * (use - c.meanUse)
	c.meanAdmitted += w * (sum.admitted - c.meanAdmitted)
	c.meanOffered += w * (sum.offered - c.meanOffered)
	c.meanAdmitProbability += w * (max(sum.meanProbability, minAdmitProbability) - c.meanAdmitProbability)
	c.meanAdmitProbability *= 1 - initialRejectedShare*held
	c.admitProbability = c.meanAdmitProbability * quota / max(c.meanUse, minUseRatio*quota)
	c.hasReading, c.lastPeriod = true, number
}

// addTokens moves the store by a period's gain, never below nothing nor above the burst.
func (c *customer) addTokens(units float64) { c.tokens = min(max(c.tokens+units, 0), c.plan.Burst) }

package choice

// The meter: estimates a customer's use over all gateways from delayed readings and this gateway's history.

import (
	"math"
	"time"
)

// slotNumber returns the number of the history slot at a time. It is positive for all times in use.
func (g *Gateway) slotNumber(t time.Duration) int64 {
	return int64((t - g.startedAt + 1<<20*g.slotLength) / g.slotLength)
}

// advanceSlots starts new slots up to the current time.
func (g *Gateway) advanceSlots(c *customer) {
	n := g.slotNumber(g.now)
	if n-c.newestSlot > historySlots {
		c.newestSlot = n - historySlots
	}
	for c.newestSlot < n {
		c.newestSlot++
		c.slots[c.newestSlot%historySlots] = slotUsage{
			probabilitySum: float32(g.limitPassRate * min(1, c.admitProbability)), probabilityCount: 1}
	}
}

// sumSlots adds up the history between two times, in whole slots.
func (g *Gateway) sumSlots(c *customer, from, to time.Duration) (sum usageTotals) {
	first := min(max(g.slotNumber(from), c.newestSlot-historySlots+1), c.newestSlot)
	n := 0.0
	for k := first; k < min(g.slotNumber(to), c.newestSlot+1); k++ {
		s := &c.slots[k%historySlots]
		sum.offered += float64(s.offered)
		sum.admitted += float64(s.admitted)
		sum.meanProbability += float64(s.probabilitySum / s.probabilityCount)
		n++
	}
	if n > 0 {
		sum.meanProbability /= n
	} else {
		s := &c.slots[first%historySlots]
		sum.meanProbability = float64(s.probabilitySum / s.probabilityCount)
	}
	return
}

// observeChange narrows the estimate of when readings change. The reading changed between the two times.
func (m *meterClock) observeChange(from, to, period time.Duration) {
	if !m.known {
		m.known, m.earliest, m.latest = true, from, to
		return
	}
	shift := ((from+to)/2 - (m.earliest+m.latest)/2 + period/2)
	shift -= ((shift % period) + period) % period
	earliest, latest := max(m.earliest+shift, from), min(m.latest+shift, to)
	if earliest >= latest {
		earliest, latest = from, to
	}
	m.earliest, m.latest = earliest, latest
}

// learnLag estimates the lag of readings: the one for which this gateway's own use fits the readings best.
func (g *Gateway) learnLag(c *customer, use float64, shownAt time.Duration) {
	m := &g.meter
	m.readings++
	weight := 1 / float64(min(m.readings, lagWindowReadings))
	shownSlot, best := g.slotNumber(shownAt), 0
	for lag := range m.lagErrors {
		own := 0.0
		for k := max(shownSlot-int64(lag)-slotsPerPeriod,
			c.newestSlot-historySlots+1); k < min(shownSlot-int64(lag), c.newestSlot+1); k++ {
			own += float64(c.slots[k%historySlots].admitted)
		}
		m.lagErrors[lag] += weight * ((use-own)*(use-own)/(use+1) - m.lagErrors[lag])
		if m.lagErrors[lag] < m.lagErrors[best] {
			best = lag
		}
	}
	if m.readings > lagWindowReadings/4 {
		m.lagSlots = best
	}
}

// applyReading updates the customer's record with a reading that came with an answer. All answers of a period
// repeat its reading; the meter clock tells which period a reading belongs to, and each period counts once.
func (g *Gateway) applyReading(c *customer, reading float64) {
	period := g.cfg.MeterPeriod
	if period <= 0 || !(reading >= 0) || math.IsInf(reading, 1) {
		return
	}
	if c.hasReading && reading != c.reading && g.now-c.readingAt < period {
		g.meter.observeChange(c.readingAt, g.now, period)
	}
	shownAt := g.now
	if g.meter.known {
		shownAt = (g.meter.earliest + g.meter.latest) / 2
	}
	periodNumber := int64(math.Floor(float64(g.now-shownAt) / float64(period)))
	shownAt += time.Duration(periodNumber) * period
	periodNumber = int64(math.Round(float64(shownAt) / float64(period)))
	c.reading, c.readingAt = reading, g.now
	if c.hasReading && periodNumber <= c.lastPeriod {
		return
	}
	g.advanceSlots(c)
	p := c.plan
	quota, windowPeriods := 1.0, inFlightWindowPeriods
	if p.Rate > 0 {
		quota = p.Rate * period.Seconds()
		windowPeriods = max(minRateWindowPeriods, rateWindowUnits/quota)
	}
	use := reading * quota
	if p.Rate > 0 && g.meter.known && c.hasReading {
		g.learnLag(c, use, shownAt)
	}
	periodEnd := shownAt - time.Duration(g.meter.lagSlots)*g.slotLength
	elapsedPeriods, weight, overuse := int64(1), 1.0, 0.0
	if p.Rate > 0 {
		weight = quota / (quota + meterPriorUnits)
	}
	if p.Rate > 0 && !c.hasReading {
		// Other gateways of the set have had readings of this customer earlier and hold its use near the
		// quota. A first reading near or above the quota thus indicates that the customer asks for more, and
		// that its token bucket is drawn.
		overuse = partialViewFactor(c.setSize) *
			min(1, max(0, (reading-initialOveruseFloor)/(1-initialOveruseFloor)))
		c.tokens = p.Burst * (1 - initialDrawnShare*overuse)
	}
	if c.hasReading {
		elapsedPeriods = min(periodNumber-c.lastPeriod, historySlots/slotsPerPeriod)
		weight = 1 - math.Exp(-float64(elapsedPeriods)/windowPeriods)
	}
	for k := elapsedPeriods - 1; k > 0; k-- { // periods of which no reading was received
		own := g.sumSlots(c, periodEnd-time.Duration(k+1)*period, periodEnd-time.Duration(k)*period).admitted
		c.addTokens(quota - max(own, c.meanUse))
	}
	c.addTokens(quota - use)
	c.tokensAt = periodEnd
	usage := g.sumSlots(c, periodEnd-period, periodEnd)
	c.meanUse += weight * (use - c.meanUse)
	c.meanAdmitted += weight * (usage.admitted - c.meanAdmitted)
	c.meanOffered += weight * (usage.offered - c.meanOffered)
	c.meanAdmitProbability += weight *
		(max(usage.meanProbability, minAdmitProbability) - c.meanAdmitProbability)
	c.meanAdmitProbability *= 1 - initialRejectedShare*overuse
	c.admitProbability = c.meanAdmitProbability * quota / max(c.meanUse, minUseRatio*quota)
	c.hasReading, c.lastPeriod = true, periodNumber
}

// addTokens adds the net gain of a period to the quota's bucket, within 0 and the plan's burst.
func (c *customer) addTokens(units float64) { c.tokens = min(max(c.tokens+units, 0), c.plan.Burst) }

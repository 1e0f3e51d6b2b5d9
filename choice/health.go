package choice

// Health and cold start of backends.

import "time"

// unresponsive tells of a backend that takes attempts and answers none.
func (g *Gateway) unresponsive(b *backend) bool {
	return b.inFlight > 0 && (g.now-b.waitingSince).Seconds() > unresponsiveAims*g.maxAim.Seconds()
}

// capacityFraction is the least part of its capacity that a backend can have now.
func (g *Gateway) capacityFraction(b *backend) float64 {
	age := g.now - b.Started
	if !b.StartKnown || g.cfg.WarmUpPeriod <= 0 || age >= g.cfg.WarmUpPeriod {
		return 1
	}
	from := max(g.cfg.InitialCapacity, 0.02)
	return from + (1-from)*max(0, age.Seconds())/g.cfg.WarmUpPeriod.Seconds()
}

// pickCold returns the cold backend whose turn it is, or nil for a warm one's, and whether there are turns.
// It is left to chance, by least capacities: a cold backend falls under the sum of what all gateways send,
// and each of them may find it the cheapest at the same moment, of a slow fleet above all. So that sum is its
// part of all requests, however many gateways there are: no more than its capacity, of which the settings
// allow a multiple, as long as the warm ones keep up with theirs. With no warm one there is nothing to
// measure by.
func (g *Gateway) pickCold() (one *backend, turns bool) {
	g.updateCold()
	if n := g.cold.size(); n == 0 || n == g.ready.size() || g.cfg.Gateways <= smallTierGateways {
		return nil, false
	}
	sum := g.readyWeight
	for _, b := range g.cold.members {
		sum -= g.capacityWeight(b) * (1 - g.capacityFraction(b))
	}
	at := g.rng.Float64() * sum
	for _, b := range g.cold.members {
		if at -= g.capacityWeight(b) * g.capacityFraction(b); at < 0 {
			return b, true
		}
	}
	return nil, true
}

// withinColdLimit keeps the work out at a cold backend in step with what a warm one holds.
func (g *Gateway) withinColdLimit(b *backend) bool {
	if !g.cold.contains(b) || b.inFlight == 0 {
		return true
	}
	out, warm := g.readyInFlight-g.coldInFlight, g.ready.size()-g.cold.size()
	return warm > 0 && float64(b.inFlight+1) <= g.capacityFraction(b)*float64(out)/float64(warm)
}

// recordResult ejects a backend that fails far more than the fleet does.
func (g *Gateway) recordResult(b *backend, failed bool, weight float64) {
	v := 0.0
	if failed {
		v = 1
	}
	b.failureRate += max(failureRateWeight, weight) * (v - b.failureRate)
	g.zoneFailureRates[b.Zone] += failureRateWeight * (v - g.zoneFailureRates[b.Zone])
	if !failed {
		return
	}
	g.expireEjections()
	if g.now >= b.ejectedUntil && b.failureRate > ejectionThreshold && float64(g.ejectedCount+1) <= maxEjectedShare*float64(g.ready.size()) {
		span := ejectionPeriodAims * g.maxAim.Seconds()
		g.eject(b, g.now+seconds(span*(0.8+0.4*g.rng.Float64())))
		b.failureRate = 0
	}
}

// ProbeResult takes the answer to a probe.
func (g *Gateway) ProbeResult(now time.Duration, p ProbeResult) {
	g.advance(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inFlightIndex >= 0 && g.inFlightIndex < p.Load.Count {
		b.otherInFlight, b.reportedAt = max(0, p.Load.Values[g.inFlightIndex]-float64(b.inFlight)), now
		g.meanOtherInFlight += minLatencyWeight * (b.otherInFlight - g.meanOtherInFlight)
	}
}

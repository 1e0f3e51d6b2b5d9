package choice

// Health and warm-up of backends.

import "time"

// unresponsive reports whether a backend has attempts in flight and has not answered for some time.
func (g *Gateway) unresponsive(b *backend) bool {
	return b.inFlight > 0 && (g.now-b.waitingSince).Seconds() > unresponsiveAims*g.maxAim.Seconds()
}

// capacityFraction returns the lower bound of a backend's present capacity, as a fraction of its full one. It
// rises linearly during the warm-up.
func (g *Gateway) capacityFraction(b *backend) float64 {
	age := g.now - b.Started
	if !b.StartKnown || g.cfg.WarmUpPeriod <= 0 || age >= g.cfg.WarmUpPeriod {
		return 1
	}
	initial := max(g.cfg.InitialCapacity, 0.02)
	return initial + (1-initial)*max(0, age.Seconds())/g.cfg.WarmUpPeriod.Seconds()
}

// pickCold decides whether an attempt goes to a cold backend: it returns that backend, or nil for a warm one,
// and whether the attempt must not go to any other cold backend.
//
// A cold backend is overloaded by the sum of what all gateways send, and each of them may find it the
// cheapest at the same moment, above all if the other backends are slow. So each cold backend is drawn at
// random, in proportion to the lower bounds of the capacities. However many gateways there are, their sum is
// then the backend's share of all requests, which is within its capacity as long as the warm backends keep up
// with theirs; the configuration permits a multiple of that capacity. If all backends are cold, there is no
// warm one to compare with, and the share is not limited.
func (g *Gateway) pickCold() (picked *backend, limitCold bool) {
	g.updateCold()
	if n := g.cold.size(); n == 0 || n == g.ready.size() || g.cfg.Gateways <= smallTierGateways {
		return nil, false
	}
	sum := g.readyWeight
	for _, b := range g.cold.members {
		sum -= g.capacityWeight(b) * (1 - g.capacityFraction(b))
	}
	target := g.rng.Float64() * sum
	for _, b := range g.cold.members {
		if target -= g.capacityWeight(b) * g.capacityFraction(b); target < 0 {
			return b, true
		}
	}
	return nil, true
}

// withinColdLimit reports whether b may have another attempt in flight: a cold backend may have as many as a
// warm one has on average, times its capacity fraction, and always one.
func (g *Gateway) withinColdLimit(b *backend) bool {
	if !g.cold.contains(b) || b.inFlight == 0 {
		return true
	}
	warmInFlight, warm := g.readyInFlight-g.coldInFlight, g.ready.size()-g.cold.size()
	return warm > 0 && float64(b.inFlight+1) <= g.capacityFraction(b)*float64(warmInFlight)/float64(warm)
}

// recordResult updates the failure rates of a backend and of its zone, and ejects the backend if its rate is
// too high. The period of an ejection is randomized by up to a fifth.
func (g *Gateway) recordResult(b *backend, failed bool, weight float64) {
	sample := 0.0
	if failed {
		sample = 1
	}
	b.failureRate += max(failureRateWeight, weight) * (sample - b.failureRate)
	g.zoneFailureRates[b.Zone] += failureRateWeight * (sample - g.zoneFailureRates[b.Zone])
	if !failed {
		return
	}
	g.expireEjections()
	if g.now >= b.ejectedUntil && b.failureRate > ejectionThreshold &&
		float64(g.ejectedCount+1) <= maxEjectedShare*float64(g.ready.size()) {
		period := ejectionPeriodAims * g.maxAim.Seconds()
		g.eject(b, g.now+seconds(period*(0.8+0.4*g.rng.Float64())))
		b.failureRate = 0
	}
}

// ProbeResult handles the result of a probe.
func (g *Gateway) ProbeResult(now time.Duration, p ProbeResult) {
	g.advance(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inFlightIndex >= 0 && g.inFlightIndex < p.Load.Count {
		b.otherInFlight, b.reportedAt = max(0, p.Load.Values[g.inFlightIndex]-float64(b.inFlight)), now
		g.meanOtherInFlight += minLatencyWeight * (b.otherInFlight - g.meanOtherInFlight)
	}
}

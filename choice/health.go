package choice

// Health and cold start of backends.

import "time"

// silent tells of a backend that takes attempts and answers none.
func (g *Gateway) silent(b *backend) bool {
	return b.out > 0 && (g.now-b.waiting).Seconds() > silentAims*g.longest.Seconds()
}

// warmth is the least part of its capacity that a backend can have now.
func (g *Gateway) warmth(b *backend) float64 {
	age := g.now - b.Started
	if !b.StartKnown || g.cfg.WarmUpPeriod <= 0 || age >= g.cfg.WarmUpPeriod {
		return 1
	}
	from := max(g.cfg.InitialCapacity, 0.02)
	return from + (1-from)*max(0, age.Seconds())/g.cfg.WarmUpPeriod.Seconds()
}

// coldTurn returns the cold backend whose turn it is, or nil for a warm one's, and whether there are turns.
// It is left to chance, by least capacities: a cold backend falls under the sum of what all gateways send,
// and each of them may find it the cheapest at the same moment, of a slow fleet above all. So that sum is its
// part of all requests, however many gateways there are: no more than its capacity, of which the settings
// allow a multiple, as long as the warm ones keep up with theirs. With no warm one there is nothing to
// measure by.
func (g *Gateway) coldTurn() (one *backend, turns bool) {
	g.warmUp()
	if n := g.cold.size(); n == 0 || n == g.fleet.size() || g.cfg.Gateways <= fewGateways {
		return nil, false
	}
	sum := g.sizes
	for _, b := range g.cold.members {
		sum -= g.size(b) * (1 - g.warmth(b))
	}
	at := g.rng.Float64() * sum
	for _, b := range g.cold.members {
		if at -= g.size(b) * g.warmth(b); at < 0 {
			return b, true
		}
	}
	return nil, true
}

// coldRoom keeps the work out at a cold backend in step with what a warm one holds.
func (g *Gateway) coldRoom(b *backend) bool {
	if !g.cold.has(b) || b.out == 0 {
		return true
	}
	out, warm := g.fleetOut-g.coldOut, g.fleet.size()-g.cold.size()
	return warm > 0 && float64(b.out+1) <= g.warmth(b)*float64(out)/float64(warm)
}

// judge ejects a backend that fails far more than the fleet does.
func (g *Gateway) judge(b *backend, failed bool, weight float64) {
	v := 0.0
	if failed {
		v = 1
	}
	b.fails += max(failAverage, weight) * (v - b.fails)
	g.zones[b.Zone] += failAverage * (v - g.zones[b.Zone])
	if !failed {
		return
	}
	g.expireEjections()
	if g.now >= b.until && b.fails > ejectOver && float64(g.ejected+1) <= ejectMost*float64(g.fleet.size()) {
		span := ejectAims * g.longest.Seconds()
		g.eject(b, g.now+seconds(span*(0.8+0.4*g.rng.Float64())))
		b.fails = 0
	}
}

// ProbeResult takes the answer to a probe.
func (g *Gateway) ProbeResult(now time.Duration, p ProbeResult) {
	g.step(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inflight >= 0 && g.inflight < p.Load.Count {
		b.others, b.reported = max(0, p.Load.Values[g.inflight]-float64(b.out)), now
		g.held += latLeast * (b.others - g.held)
	}
}

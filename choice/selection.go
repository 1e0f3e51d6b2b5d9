package choice

// Selection: the backend that a further attempt goes to.

import (
	"math"
	"slices"
)

// pickBackend returns a backend for a further attempt of r, or nil: the best of a few taken by chance. Own attempts
// out tell less of a backend's work the more gateways there are, which would all pickBackend the same best one. It
// guards against herding of any cause, on a report, a size or a zone. Among few gateways it wastes knowledge.
func (g *Gateway) pickBackend(r *request) *backend {
	var best *backend
	cost := math.Inf(1)
	cold, turns := g.pickCold()
	try := func(b *backend, healthy bool) {
		if turns && b != cold && g.cold.contains(b) {
			return
		}
		unhealthy := g.now < b.ejectedUntil || g.unresponsive(b) ||
			slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.backend == b })
		if g.effectAllows(r, b) && g.withinColdLimit(b) && !(healthy && unhealthy) {
			if c := g.cost(r, b); c < cost {
				best, cost = b, c
			}
		}
	}
	if cold != nil {
		if try(cold, true); best != nil {
			return best
		}
	}
	n := g.ready.size()
	if few := max(minPickSamples, tierPickSamplesPerBackend*n/g.cfg.Gateways); few < n {
		for range few {
			try(g.ready.members[g.rng.IntN(n)], true)
		}
		if b := g.randomReusable(); b != nil {
			try(b, true)
		}
	}
	for healthy := true; best == nil; healthy = false {
		for _, b := range g.ready.members {
			try(b, healthy)
		}
		if !healthy {
			break
		}
	}
	return best
}

// cost weighs a backend by work held for its size, latency, distance, failures and a little chance.
func (g *Gateway) cost(r *request, b *backend) float64 {
	others := b.otherInFlight
	if (g.now - b.reportedAt).Seconds() > maxReportAgeAims*g.maxAim.Seconds() {
		others = g.meanOtherInFlight
	}
	c := (ownInFlightWeight*float64(b.inFlight) + otherInFlightWeight*others + 1) / (g.capacityWeight(b) * g.capacityFraction(b)) * max(b.relativeLatency, minCostLatency)
	if b.Zone != g.cfg.Zone {
		c *= 1 + crossZoneWeight*g.cfg.CrossZoneCost
	}
	if !g.hasReusableConn(b) {
		c *= 1 + handshakeWeight*g.cfg.HandshakeCost
	}
	c *= 1 + failureWeight*(b.failureRate+g.zoneFailureRates[b.Zone])
	return c * (1 + costJitterFactor*g.rng.Float64())
}

// randomReusable returns a backend with an own connection that can be used again, or nil where handshakes cost
// nothing or there are too few yet: the fewer backends each gateway keeps to, the less even is what all of
// them send to one backend.
func (g *Gateway) randomReusable() *backend {
	g.expireReusable()
	n := g.reusable.size()
	if n == 0 || float64(n*g.cfg.Gateways) < minReusableGateways*float64(g.ready.size()) {
		return nil
	}
	return g.reusable.members[g.rng.IntN(n)]
}

// hasReusableConn tells whether an own connection to b has carried an answer and is free.
func (g *Gateway) hasReusableConn(b *backend) bool {
	return b.reusableConns > 0 && (g.cfg.ConnIdleTimeout <= 0 || g.now-b.lastOutcome <= g.cfg.ConnIdleTimeout/2)
}

// capacityWeight is what the settings let one know of a backend's capacityWeight.
func (g *Gateway) capacityWeight(b *backend) float64 {
	if g.cfg.WeightsTrusted && b.Weight > 0 {
		return b.Weight
	}
	return 1
}

// effectAllows tells whether the rule of effects lets r go to b now.
func (g *Gateway) effectAllows(r *request, b *backend) bool {
	a := r.firstPossibleRun()
	if a == nil {
		return true
	}
	cl := &g.cfg.Classes[r.Class]
	switch cl.Effect {
	case SingleShot:
		return false
	case Guarded:
		// The repeat may have to wait for its connection, and has to begin within the window.
		return g.now-a.sentAt+g.cfg.ConnectTimeout < cl.DedupWindow && (cl.Group == GroupAll ||
			cl.Group == GroupZone && b.Zone == a.backend.Zone ||
			cl.Group == GroupCell && b.Cell == a.backend.Cell)
	}
	return true
}

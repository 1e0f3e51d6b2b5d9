package choice

// Selection of the backend for an attempt.

import (
	"math"
	"slices"
)

// pickBackend returns a backend for the next attempt of r, or nil: the one of lowest cost among a few random
// ones (power of k choices). Sampling prevents herding: with many gateways, this gateway's attempts in flight
// tell little of a backend's load, and all gateways would choose the same best one by a report, a weight or a
// zone. A known weakness: among few gateways, sampling ignores information that they have.
func (g *Gateway) pickBackend(r *request) *backend {
	var best *backend
	bestCost := math.Inf(1)
	cold, limitCold := g.pickCold()
	consider := func(b *backend, healthyOnly bool) {
		if limitCold && b != cold && g.cold.contains(b) {
			return
		}
		unhealthy := g.now < b.ejectedUntil || g.unresponsive(b) ||
			slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.backend == b })
		if g.effectAllows(r, b) && g.withinColdLimit(b) && !(healthyOnly && unhealthy) {
			if cost := g.cost(r, b); cost < bestCost {
				best, bestCost = b, cost
			}
		}
	}
	if cold != nil {
		if consider(cold, true); best != nil {
			return best
		}
	}
	n := g.ready.size()
	if samples := max(minPickSamples, tierPickSamplesPerBackend*n/g.cfg.Gateways); samples < n {
		for range samples {
			consider(g.ready.members[g.rng.IntN(n)], true)
		}
		if b := g.randomReusable(); b != nil {
			consider(b, true)
		}
	}
	for healthyOnly := true; best == nil; healthyOnly = false {
		for _, b := range g.ready.members {
			consider(b, healthyOnly)
		}
		if !healthyOnly {
			break
		}
	}
	return best
}

// cost returns the cost of sending r to b. It grows with the requests in flight relative to the backend's
// capacity, latency, the distance, a new connection and failures, and has a small random part.
func (g *Gateway) cost(r *request, b *backend) float64 {
	others := b.otherInFlight
	if (g.now - b.reportedAt).Seconds() > maxReportAgeAims*g.maxAim.Seconds() {
		others = g.meanOtherInFlight
	}
	cost := (ownInFlightWeight*float64(b.inFlight) + otherInFlightWeight*others + 1) /
		(g.capacityWeight(b) * g.capacityFraction(b)) * max(b.relativeLatency, minCostLatency)
	if b.Zone != g.cfg.Zone {
		cost *= 1 + crossZoneWeight*g.cfg.CrossZoneCost
	}
	if !g.hasReusableConn(b) {
		cost *= 1 + handshakeWeight*g.cfg.HandshakeCost
	}
	cost *= 1 + failureWeight*(b.failureRate+g.zoneFailureRates[b.Zone])
	return cost * (1 + costJitterFactor*g.rng.Float64())
}

// randomReusable returns a random backend with a reusable connection, or nil. It returns nil if handshakes
// cost nothing, and if there are too few such backends: the fewer backends each gateway prefers, the less
// even is the sum of all gateways' requests at one backend.
func (g *Gateway) randomReusable() *backend {
	g.expireReusable()
	n := g.reusable.size()
	if n == 0 || float64(n*g.cfg.Gateways) < minReusableGateways*float64(g.ready.size()) {
		return nil
	}
	return g.reusable.members[g.rng.IntN(n)]
}

// hasReusableConn reports whether a connection of this gateway to b has carried an answer and is free. After
// half of the idle timeout it no longer counts: the timeout is an upper bound, and the backend may close the
// connection earlier.
func (g *Gateway) hasReusableConn(b *backend) bool {
	return b.reusableConns > 0 &&
		(g.cfg.ConnIdleTimeout <= 0 || g.now-b.lastOutcome <= g.cfg.ConnIdleTimeout/2)
}

// capacityWeight returns the backend's registered capacity if weights are trusted, otherwise 1.
func (g *Gateway) capacityWeight(b *backend) float64 {
	if g.cfg.WeightsTrusted && b.Weight > 0 {
		return b.Weight
	}
	return 1
}

// effectAllows reports whether the effect of r's class allows an attempt at b now.
func (g *Gateway) effectAllows(r *request, b *backend) bool {
	first := r.firstPossibleRun()
	if first == nil {
		return true
	}
	class := &g.cfg.Classes[r.Class]
	switch class.Effect {
	case SingleShot:
		return false
	case Guarded:
		// The repeat may have to wait for a connection, and has to start within the deduplication window.
		return g.now-first.sentAt+g.cfg.ConnectTimeout < class.DedupWindow && (class.Group == GroupAll ||
			class.Group == GroupZone && b.Zone == first.zone ||
			class.Group == GroupCell && b.Cell == first.cell)
	}
	return true
}

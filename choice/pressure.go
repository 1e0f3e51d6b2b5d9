package choice

// The concurrency limit: if the backends are saturated, all requests miss their aim together. The limit on
// this gateway's attempts in flight lets the admitted ones meet it, and its last part is reserved for the
// requests of most worth. It protects against any loss of capacity. A known weakness: it also shrinks when
// latencies rise for another reason than load.

import (
	"math"
	"time"
)

// exceedsLimit reports whether a request would exceed the part of the concurrency limit that is open to its
// class and admission probability. Fractions of the limit are rounded at random.
func (g *Gateway) exceedsLimit(r *request, probability float64) bool {
	maxWorthRate := 0.0
	for i := range g.cfg.Classes {
		maxWorthRate = max(maxWorthRate, g.worthRate(i))
	}
	share := 1 - reservedLimitShare*(1-g.worthRate(r.Class)/maxWorthRate)
	// The more gateways, the less evenly traffic falls on them: with an even share, busy gateways would
	// reject what the backends have room for, so the share grows. The limit still shrinks on late answers.
	// Where overuse has a cost, the share stays even: much of the traffic of a busy gateway then comes from
	// customers beyond their quota.
	unevenness := max(1, math.Sqrt(float64(g.cfg.Gateways)/smallTierGateways))
	share *= 1 + (unevenness-1)*r.customer.plan.overuseAllowance()
	return float64(g.inFlight) >= math.Floor(
		g.concurrencyLimit()*share*(1-reservedLimitShare*(1-probability))+g.rng.Float64())
}

// concurrencyLimit returns this gateway's share of the attempts that the backends serve well, plus a slack
// for random arrivals, both times limitFactor. The limit may be below one attempt; exceedsLimit rounds it at
// random, so that the sum over many gateways is right.
func (g *Gateway) concurrencyLimit() float64 {
	share := maxInFlightPerBackend * float64(g.ready.size()) / float64(g.cfg.Gateways)
	return g.limitFactor * (share + limitSlackDeviations*math.Sqrt(share))
}

// worthRate returns the worth that requests of a class earn in a second of latency.
func (g *Gateway) worthRate(class int) float64 {
	return g.cfg.Classes[class].Worth / g.classes[class].meanLatency
}

// advance sets the current time and does what is due: it evicts idle customers and updates the concurrency
// limit.
func (g *Gateway) advance(now time.Duration) {
	g.now = now
	g.evictIdleCustomers()
	if now < g.nextLimitUpdate {
		return
	}
	g.nextLimitUpdate = now + seconds(1/limitUpdatesPerSecond)
	if g.latencyRatioCount > 0 || g.inFlight == 0 {
		n := max(g.latencyRatioCount, 1)
		g.latencyRatio += min(maxLatencyStepWeight, latencySampleWeight*n) *
			(g.latencyRatioSum/n - g.latencyRatio)
	}
	change := min(maxLimitIncrease, max(-maxLimitDecrease, maxLimitDecrease*(1-g.latencyRatio)))
	g.limitFactor = min(1, max(minLimitFactor, g.limitFactor*(1+change)))
	g.latencyRatioSum, g.latencyRatioCount = 0, 0
}

package choice

// Pressure: when the fleet itself is full, requests miss their aim together; a window of attempts out keeps
// the rest inside it, its last part for the work of most worth. It guards against any loss of capacity,
// whatever the cause, and could harm where latencies rise for a reason other than load.

import (
	"math"
	"time"
)

func (g *Gateway) exceedsLimit(r *request, chance float64) bool {
	top := 0.0
	for i := range g.cfg.Classes {
		top = max(top, g.worthRate(i))
	}
	part := 1 - reservedLimitShare*(1-g.worthRate(r.Class)/top)
	// The more gateways, the less evenly traffic falls on them: an even part would refuse at the busy ones
	// what the fleet has room for. Late answers close the wider parts too. Where overuse costs, parts stay
	// even: much of what comes to a busy gateway is asked by customers beyond their quota.
	uneven := max(1, math.Sqrt(float64(g.cfg.Gateways)/smallTierGateways))
	part *= 1 + (uneven-1)*r.customer.plan.overuseAllowance()
	return float64(g.inFlight) >= math.Floor(g.concurrencyLimit()*part*(1-reservedLimitShare*(1-chance))+g.rng.Float64())
}

// concurrencyLimit is the window: this gateway's part of what the fleet works well with and what chance arrivals may add,
// as far as it is open. Below one attempt it is met by chance, so that the sum over many gateways keeps.
func (g *Gateway) concurrencyLimit() float64 {
	part := maxInFlightPerBackend * float64(g.ready.size()) / float64(g.cfg.Gateways)
	return g.limitFactor * (part + limitSlackDeviations*math.Sqrt(part))
}

func (g *Gateway) worthRate(class int) float64 {
	return g.cfg.Classes[class].Worth / g.classes[class].meanLatency
}

// advance does what time brings: the sweep, and the window's next advance.
func (g *Gateway) advance(now time.Duration) {
	g.now = now
	g.evictIdleCustomers()
	if now < g.nextLimitUpdate {
		return
	}
	g.nextLimitUpdate = now + seconds(1/limitUpdatesPerSecond)
	if g.latencyRatioCount > 0 || g.inFlight == 0 {
		n := max(g.latencyRatioCount, 1)
		g.latencyRatio += min(maxLatencyStepWeight, latencySampleWeight*n) * (g.latencyRatioSum/n - g.latencyRatio)
	}
	change := min(maxLimitIncrease, max(-maxLimitDecrease, maxLimitDecrease*(1-g.latencyRatio)))
	g.limitFactor = min(1, max(minLimitFactor, g.limitFactor*(1+change)))
	g.latencyRatioSum, g.latencyRatioCount = 0, 0
}

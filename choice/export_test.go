package choice

import (
	"fmt"
	"math"
	"slices"
)

// KnownBackends tells how many backends a gateway keeps.
func KnownBackends(g *Gateway) int { return len(g.backends) }

// KnownCustomers tells how many customers a gateway keeps.
func KnownCustomers(g *Gateway) int { return len(g.customers) }

// CheckBackendSets holds what a gateway counts and gathers against a walk over all backends.
func CheckBackendSets(g *Gateway) error {
	g.expireEjections()
	g.expireReusable()
	g.updateCold()
	ready, ejected, cold, kept, out, coldOut, sizes := 0, 0, 0, 0, 0, 0, 0.0
	for id, b := range g.backends {
		if b.ID != id {
			return fmt.Errorf("backend %d is kept as %d", b.ID, id)
		}
		if b.State == Removed && b.inFlight == 0 {
			return fmt.Errorf("backend %d was removed and is still kept", id)
		}
		if b.State != Ready {
			if b.positions != [setKindCount]int{} {
				return fmt.Errorf("backend %d in state %d is in sets: %v", id, b.State, b.positions)
			}
			continue
		}
		isCold, isKept := g.capacityFraction(b) < 1, g.cfg.HandshakeCost > 0 && g.hasReusableConn(b)
		if !g.ready.contains(b) || g.cold.contains(b) != isCold || g.reusable.contains(b) != isKept {
			return fmt.Errorf("backend %d, cold %t, kept %t, is in sets: %v", id, isCold, isKept, b.positions)
		}
		ready++
		out += b.inFlight
		sizes += g.capacityWeight(b)
		if g.now < b.ejectedUntil {
			ejected++
		}
		if isCold {
			cold++
			coldOut += b.inFlight
		}
		if isKept {
			kept++
		}
	}
	for _, s := range []*backendSet{&g.ready, &g.cold, &g.reusable} {
		for i, b := range s.members {
			if b.positions[s.kind] != i+1 {
				return fmt.Errorf("backend %d is at place %d of set %d, and knows %v", b.ID, i, s.kind, b.positions)
			}
		}
	}
	walked := []int{ready, cold, kept, ejected, out, coldOut}
	counted := []int{g.ready.size(), g.cold.size(), g.reusable.size(), g.ejectedCount, g.readyInFlight, g.coldInFlight}
	if !slices.Equal(walked, counted) || math.Abs(sizes-g.readyWeight) > 1e-6 {
		return fmt.Errorf("a walk finds %v of size %v, counted are %v of size %v", walked, sizes, counted, g.readyWeight)
	}
	return nil
}

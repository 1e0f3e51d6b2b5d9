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
	g.expireKept()
	g.warmUp()
	ready, ejected, cold, kept, out, coldOut, sizes := 0, 0, 0, 0, 0, 0, 0.0
	for id, b := range g.backends {
		if b.ID != id {
			return fmt.Errorf("backend %d is kept as %d", b.ID, id)
		}
		if b.State == Removed && b.out == 0 {
			return fmt.Errorf("backend %d was removed and is still kept", id)
		}
		if b.State != Ready {
			if b.places != [setKinds]int{} {
				return fmt.Errorf("backend %d in state %d is in sets: %v", id, b.State, b.places)
			}
			continue
		}
		isCold, isKept := g.warmth(b) < 1, g.cfg.HandshakeCost > 0 && g.reusable(b)
		if !g.fleet.has(b) || g.cold.has(b) != isCold || g.kept.has(b) != isKept {
			return fmt.Errorf("backend %d, cold %t, kept %t, is in sets: %v", id, isCold, isKept, b.places)
		}
		ready++
		out += b.out
		sizes += g.size(b)
		if g.now < b.until {
			ejected++
		}
		if isCold {
			cold++
			coldOut += b.out
		}
		if isKept {
			kept++
		}
	}
	for _, s := range []*backendSet{&g.fleet, &g.cold, &g.kept} {
		for i, b := range s.members {
			if b.places[s.kind] != i+1 {
				return fmt.Errorf("backend %d is at place %d of set %d, and knows %v", b.ID, i, s.kind, b.places)
			}
		}
	}
	walked := []int{ready, cold, kept, ejected, out, coldOut}
	counted := []int{g.fleet.size(), g.cold.size(), g.kept.size(), g.ejected, g.fleetOut, g.coldOut}
	if !slices.Equal(walked, counted) || math.Abs(sizes-g.sizes) > 1e-6 {
		return fmt.Errorf("a walk finds %v of size %v, counted are %v of size %v", walked, sizes, counted, g.sizes)
	}
	return nil
}

package choice

import (
	"fmt"
	"math"
	"slices"
)

// KnownBackends returns the number of backends of which a gateway has a record.
func KnownBackends(g *Gateway) int { return len(g.backends) }

// KnownCustomers returns the number of customers of which a gateway has a record.
func KnownCustomers(g *Gateway) int { return len(g.customers) }

// CheckBackendSets compares the sets of backends and the running totals of a gateway with a walk over all
// backends. Its error describes the first difference.
func CheckBackendSets(g *Gateway) error {
	g.expireEjections()
	g.expireReusable()
	g.updateCold()
	ready, ejected, cold, reusable, inFlight, coldInFlight, weight := 0, 0, 0, 0, 0, 0, 0.0
	for id, b := range g.backends {
		if b.ID != id {
			return fmt.Errorf("the record of backend %d is stored under id %d", b.ID, id)
		}
		if b.State == Removed && b.inFlight == 0 {
			return fmt.Errorf("backend %d was removed, and its record still exists", id)
		}
		if b.State != Ready {
			if b.positions != [setKindCount]int{} {
				return fmt.Errorf("backend %d in state %d is in sets: positions %v", id, b.State, b.positions)
			}
			continue
		}
		isCold, isReusable := g.capacityFraction(b) < 1, g.cfg.HandshakeCost > 0 && g.hasReusableConn(b)
		if !g.ready.contains(b) || g.cold.contains(b) != isCold || g.reusable.contains(b) != isReusable {
			return fmt.Errorf("backend %d, cold %t, reusable %t, is in the wrong sets: positions %v",
				id, isCold, isReusable, b.positions)
		}
		ready++
		inFlight += b.inFlight
		weight += g.capacityWeight(b)
		if g.now < b.ejectedUntil {
			ejected++
		}
		if isCold {
			cold++
			coldInFlight += b.inFlight
		}
		if isReusable {
			reusable++
		}
	}
	for _, s := range []*backendSet{&g.ready, &g.cold, &g.reusable} {
		for i, b := range s.members {
			if b.positions[s.kind] != i+1 {
				return fmt.Errorf("backend %d is member %d of set %d, but its positions are %v",
					b.ID, i, s.kind, b.positions)
			}
		}
	}
	walked := []int{ready, cold, reusable, ejected, inFlight, coldInFlight}
	counted := []int{g.ready.size(), g.cold.size(), g.reusable.size(), g.ejectedCount, g.readyInFlight, g.coldInFlight}
	if !slices.Equal(walked, counted) || math.Abs(weight-g.readyWeight) > 1e-6 {
		return fmt.Errorf("a walk finds the totals %v and weight %v, the gateway has %v and %v",
			walked, weight, counted, g.readyWeight)
	}
	return nil
}

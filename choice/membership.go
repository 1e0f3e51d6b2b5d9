package choice

import (
	"cmp"
	"slices"
	"time"
)

// The fleet: which backends there are, and which of them are cold, ejected, or reached by a kept connection.
// One change of the list, and one request, cost the same however large the fleet is: what they ask of it is
// counted, or stands in a set of its own.

// setKind names a set of backends.
type setKind int

// The sets. A backend knows its place in each.
const (
	readySet setKind = iota
	coldSet
	reusableSet
	setKindCount
)

// backendSet is a set whose order hangs on what happened alone, so that results do not hang on that of a map.
type backendSet struct {
	kind    setKind
	members []*backend
}

func (s *backendSet) size() int { return len(s.members) }

func (s *backendSet) contains(b *backend) bool { return b.positions[s.kind] > 0 }

func (s *backendSet) add(b *backend) {
	if !s.contains(b) {
		s.members = append(s.members, b)
		b.positions[s.kind] = len(s.members)
	}
}

// remove moves the last member to the place that gets free.
func (s *backendSet) remove(b *backend) {
	if !s.contains(b) {
		return
	}
	place, last := b.positions[s.kind]-1, len(s.members)-1
	s.members[place] = s.members[last]
	s.members[place].positions[s.kind] = place + 1
	s.members[last] = nil
	s.members = s.members[:last]
	b.positions[s.kind] = 0
}

// UpdateBackends applies a list of backends from discovery. A delta takes time in proportion to its entries;
// a complete list also takes time for the known backends that it does not name.
func (g *Gateway) UpdateBackends(now time.Duration, kind ListKind, list []Backend) {
	g.advance(now)
	if kind == Failed {
		return
	}
	g.listNumber++
	for _, m := range list {
		b := g.backends[m.ID]
		if b == nil {
			b = &backend{relativeLatency: 1}
			g.backends[m.ID] = b
		}
		b.listNumber = g.listNumber
		g.updateBackend(b, m)
	}
	if kind != Delta {
		g.removeUnlisted()
	}
}

// updateBackend gives a backend its new line.
func (g *Gateway) updateBackend(b *backend, m Backend) {
	if b.StartKnown != m.StartKnown || b.Started != m.Started {
		g.endEjection(b)
		g.reusable.remove(b)
		b.failureRate, b.relativeLatency, b.reusableConns = 0, 1, 0
	}
	switch {
	case !g.ready.contains(b):
	case m.State == Ready:
		g.readyWeight -= g.capacityWeight(b) // it joins with the new one
	default:
		g.removeReady(b)
	}
	if b.Backend = m; m.State == Ready {
		g.addReady(b)
	}
	g.dropIfRemoved(b)
}

// removeUnlisted removes what the last list did not name. It goes by the fleet's order, not the map's, since
// the order of the fleet that is left shows in the results.
func (g *Gateway) removeUnlisted() {
	for place := g.ready.size() - 1; place >= 0; place-- {
		if b := g.ready.members[place]; b.listNumber != g.listNumber {
			g.removeReady(b)
		}
	}
	for _, b := range g.backends {
		if b.listNumber != g.listNumber {
			b.State = Removed
			g.dropIfRemoved(b)
		}
	}
}

// dropIfRemoved drops a backend that was removed, once nothing is out at it.
func (g *Gateway) dropIfRemoved(b *backend) {
	if b.State == Removed && b.inFlight == 0 && g.backends[b.ID] == b {
		delete(g.backends, b.ID)
	}
}

// addReady takes a backend with a new line into the fleet, if it is not there.
func (g *Gateway) addReady(b *backend) {
	g.readyWeight += g.capacityWeight(b)
	if g.capacityFraction(b) < 1 {
		g.cold.add(b)
	} else {
		g.cold.remove(b)
	}
	if g.ready.contains(b) {
		return
	}
	g.expireEjections()
	g.ready.add(b)
	g.readyInFlight += b.inFlight
	if g.now < b.ejectedUntil {
		g.ejectedCount++
	}
	g.addReusable(b)
}

// removeReady takes a backend out of the fleet.
func (g *Gateway) removeReady(b *backend) {
	g.expireEjections()
	if g.now < b.ejectedUntil {
		g.ejectedCount--
	}
	g.readyWeight -= g.capacityWeight(b)
	g.readyInFlight -= b.inFlight
	g.ready.remove(b)
	g.cold.remove(b)
	g.reusable.remove(b)
}

// Cold backends.

// updateCold takes those out of the cold ones that are warm by now, and adds up the attempts out at the others.
// It walks the cold ones alone.
func (g *Gateway) updateCold() {
	g.coldInFlight = 0
	for place := g.cold.size() - 1; place >= 0; place-- {
		if b := g.cold.members[place]; g.capacityFraction(b) >= 1 {
			g.cold.remove(b)
		} else {
			g.coldInFlight += b.inFlight
		}
	}
}

// Kept connections.

// reusableEntry is a backend with a kept connection and when it was heard of.
type reusableEntry struct {
	lastOutcome time.Duration
	*backend
}

// addReusable takes a backend in which an own connection may be used again, as long as that is so.
func (g *Gateway) addReusable(b *backend) {
	if g.cfg.HandshakeCost <= 0 || !g.ready.contains(b) || !g.hasReusableConn(b) {
		return
	}
	g.reusable.add(b)
	if g.cfg.ConnIdleTimeout > 0 {
		g.expireReusable()
		g.reusableQueue = append(g.reusableQueue, reusableEntry{b.lastOutcome, b})
	}
}

// expireReusable takes those out whose connections have been idle for too long since they were last heard of.
func (g *Gateway) expireReusable() {
	for len(g.reusableQueue) > 0 && g.now-g.reusableQueue[0].lastOutcome > g.cfg.ConnIdleTimeout/2 {
		if first := g.reusableQueue[0]; first.backend.lastOutcome == first.lastOutcome {
			g.reusable.remove(first.backend)
		}
		g.reusableQueue = g.reusableQueue[1:]
	}
}

// Ejections.

// ejection is the end of one: of a backend's last, unless that was pardoned since.
type ejection struct {
	until time.Duration
	*backend
}

// eject keeps a backend from further requests until a time.
func (g *Gateway) eject(b *backend, until time.Duration) {
	b.ejectedUntil = until
	place, _ := slices.BinarySearchFunc(g.ejections, until, func(e ejection, until time.Duration) int {
		return cmp.Compare(e.until, until)
	})
	g.ejections = slices.Insert(g.ejections, place, ejection{until, b})
	if g.ready.contains(b) {
		g.ejectedCount++
	}
}

// endEjection ends a backend's ejection.
func (g *Gateway) endEjection(b *backend) {
	g.expireEjections()
	if g.ready.contains(b) && g.now < b.ejectedUntil {
		g.ejectedCount--
	}
	b.ejectedUntil = 0
}

// expireEjections counts no more the ejections that have ended.
func (g *Gateway) expireEjections() {
	for len(g.ejections) > 0 && g.ejections[0].until <= g.now {
		e := g.ejections[0]
		g.ejections = g.ejections[1:]
		if e.backend.ejectedUntil == e.until && g.ready.contains(e.backend) {
			g.ejectedCount--
		}
	}
}

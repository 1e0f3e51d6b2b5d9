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
	fleetSet setKind = iota
	coldSet
	keptSet
	setKinds
)

// backendSet is a set whose order hangs on what happened alone, so that results do not hang on that of a map.
type backendSet struct {
	kind    setKind
	members []*backend
}

func (s *backendSet) size() int { return len(s.members) }

func (s *backendSet) has(b *backend) bool { return b.places[s.kind] > 0 }

func (s *backendSet) add(b *backend) {
	if !s.has(b) {
		s.members = append(s.members, b)
		b.places[s.kind] = len(s.members)
	}
}

// remove moves the last member to the place that gets free.
func (s *backendSet) remove(b *backend) {
	if !s.has(b) {
		return
	}
	place, last := b.places[s.kind]-1, len(s.members)-1
	s.members[place] = s.members[last]
	s.members[place].places[s.kind] = place + 1
	s.members[last] = nil
	s.members = s.members[:last]
	b.places[s.kind] = 0
}

// UpdateBackends applies a list of backends from discovery. A delta takes time in proportion to its entries;
// a complete list also takes time for the known backends that it does not name.
func (g *Gateway) UpdateBackends(now time.Duration, kind ListKind, list []Backend) {
	g.step(now)
	if kind == Failed {
		return
	}
	g.listing++
	for _, m := range list {
		b := g.backends[m.ID]
		if b == nil {
			b = &backend{lat: 1}
			g.backends[m.ID] = b
		}
		b.listing = g.listing
		g.update(b, m)
	}
	if kind != Delta {
		g.removeUnnamed()
	}
}

// update gives a backend its new line.
func (g *Gateway) update(b *backend, m Backend) {
	if b.StartKnown != m.StartKnown || b.Started != m.Started {
		g.pardon(b)
		g.kept.remove(b)
		b.fails, b.lat, b.kept = 0, 1, 0
	}
	switch {
	case !g.fleet.has(b):
	case m.State == Ready:
		g.sizes -= g.size(b) // it joins with the new one
	default:
		g.leave(b)
	}
	if b.Backend = m; m.State == Ready {
		g.join(b)
	}
	g.forget(b)
}

// removeUnnamed removes what the last list did not name. It goes by the fleet's order, not the map's, since
// the order of the fleet that is left shows in the results.
func (g *Gateway) removeUnnamed() {
	for place := g.fleet.size() - 1; place >= 0; place-- {
		if b := g.fleet.members[place]; b.listing != g.listing {
			g.leave(b)
		}
	}
	for _, b := range g.backends {
		if b.listing != g.listing {
			b.State = Removed
			g.forget(b)
		}
	}
}

// forget drops a backend that was removed, once nothing is out at it.
func (g *Gateway) forget(b *backend) {
	if b.State == Removed && b.out == 0 && g.backends[b.ID] == b {
		delete(g.backends, b.ID)
	}
}

// join takes a backend with a new line into the fleet, if it is not there.
func (g *Gateway) join(b *backend) {
	g.sizes += g.size(b)
	if g.warmth(b) < 1 {
		g.cold.add(b)
	} else {
		g.cold.remove(b)
	}
	if g.fleet.has(b) {
		return
	}
	g.expireEjections()
	g.fleet.add(b)
	g.fleetOut += b.out
	if g.now < b.until {
		g.ejected++
	}
	g.keep(b)
}

// leave takes a backend out of the fleet.
func (g *Gateway) leave(b *backend) {
	g.expireEjections()
	if g.now < b.until {
		g.ejected--
	}
	g.sizes -= g.size(b)
	g.fleetOut -= b.out
	g.fleet.remove(b)
	g.cold.remove(b)
	g.kept.remove(b)
}

// Cold backends.

// warmUp takes those out of the cold ones that are warm by now, and adds up the attempts out at the others.
// It walks the cold ones alone.
func (g *Gateway) warmUp() {
	g.coldOut = 0
	for place := g.cold.size() - 1; place >= 0; place-- {
		if b := g.cold.members[place]; g.warmth(b) >= 1 {
			g.cold.remove(b)
		} else {
			g.coldOut += b.out
		}
	}
}

// Kept connections.

// keptEntry is a backend with a kept connection and when it was heard of.
type keptEntry struct {
	heard time.Duration
	*backend
}

// keep takes a backend in which an own connection may be used again, as long as that is so.
func (g *Gateway) keep(b *backend) {
	if g.cfg.HandshakeCost <= 0 || !g.fleet.has(b) || !g.reusable(b) {
		return
	}
	g.kept.add(b)
	if g.cfg.ConnIdleTimeout > 0 {
		g.expireKept()
		g.keptQueue = append(g.keptQueue, keptEntry{b.heard, b})
	}
}

// expireKept takes those out whose connections have been idle for too long since they were last heard of.
func (g *Gateway) expireKept() {
	for len(g.keptQueue) > 0 && g.now-g.keptQueue[0].heard > g.cfg.ConnIdleTimeout/2 {
		if first := g.keptQueue[0]; first.backend.heard == first.heard {
			g.kept.remove(first.backend)
		}
		g.keptQueue = g.keptQueue[1:]
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
	b.until = until
	place, _ := slices.BinarySearchFunc(g.ejections, until, func(e ejection, until time.Duration) int {
		return cmp.Compare(e.until, until)
	})
	g.ejections = slices.Insert(g.ejections, place, ejection{until, b})
	if g.fleet.has(b) {
		g.ejected++
	}
}

// pardon ends a backend's ejection.
func (g *Gateway) pardon(b *backend) {
	g.expireEjections()
	if g.fleet.has(b) && g.now < b.until {
		g.ejected--
	}
	b.until = 0
}

// expireEjections counts no more the ejections that have ended.
func (g *Gateway) expireEjections() {
	for len(g.ejections) > 0 && g.ejections[0].until <= g.now {
		e := g.ejections[0]
		g.ejections = g.ejections[1:]
		if e.backend.until == e.until && g.fleet.has(e.backend) {
			g.ejected--
		}
	}
}

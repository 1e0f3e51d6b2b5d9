package choice

import (
	"cmp"
	"slices"
	"time"
)

// Membership: the known backends, the sets of those that are ready, cold (still warming up) or reachable by a
// reusable connection, and the ejections. The cost of a change to one backend, and of a request, does not
// depend on the number of backends: what they need is kept in the sets, in a list of ejections ordered by
// their end, and in running totals, such as the number of ejected backends.

// setKind identifies a set of backends.
type setKind int

// The sets. Each backend stores its position in each of them.
const (
	readySet setKind = iota
	coldSet
	reusableSet
	setKindCount
)

// backendSet is a set whose order depends only on the order of its changes. Iteration over a map would make
// the decisions vary between runs.
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

// remove moves the last member to the position of the removed one.
func (s *backendSet) remove(b *backend) {
	if !s.contains(b) {
		return
	}
	i, last := b.positions[s.kind]-1, len(s.members)-1
	s.members[i] = s.members[last]
	s.members[i].positions[s.kind] = i + 1
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
	for _, entry := range list {
		b := g.backends[entry.ID]
		if b == nil {
			b = &backend{relativeLatency: 1}
			g.backends[entry.ID] = b
		}
		b.listNumber = g.listNumber
		g.updateBackend(b, entry)
	}
	if kind != Delta {
		g.removeUnlisted()
	}
}

// updateBackend replaces a backend's entry. After a restart of the backend its statistics are reset.
func (g *Gateway) updateBackend(b *backend, entry Backend) {
	if b.StartKnown != entry.StartKnown || b.Started != entry.Started {
		g.endEjection(b)
		g.reusable.remove(b)
		b.failureRate, b.relativeLatency, b.reusableConns = 0, 1, 0
	}
	switch {
	case !g.ready.contains(b):
	case entry.State == Ready:
		g.readyWeight -= g.capacityWeight(b) // addReady adds the new weight
	default:
		g.removeReady(b)
	}
	if b.Backend = entry; entry.State == Ready {
		g.addReady(b)
	}
	g.dropIfRemoved(b)
}

// removeUnlisted removes the backends that the last list did not contain. It walks the ready set and not the
// map, since the removals determine the order of the remaining members, and decisions depend on that order.
func (g *Gateway) removeUnlisted() {
	for i := g.ready.size() - 1; i >= 0; i-- {
		if b := g.ready.members[i]; b.listNumber != g.listNumber {
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

// dropIfRemoved deletes the record of a removed backend once it has no attempt in flight.
func (g *Gateway) dropIfRemoved(b *backend) {
	if b.State == Removed && b.inFlight == 0 && g.backends[b.ID] == b {
		delete(g.backends, b.ID)
	}
}

// addReady counts the weight of a ready backend's new entry, adds the backend to the cold set or removes it
// from there, and adds it to the ready set and to the other totals unless it is there.
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

// removeReady removes a backend from the ready set and from the totals.
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

// updateCold removes backends that have warmed up from the cold set, and counts the attempts in flight at the
// others. It takes time in proportion to the cold backends.
func (g *Gateway) updateCold() {
	g.coldInFlight = 0
	for i := g.cold.size() - 1; i >= 0; i-- {
		if b := g.cold.members[i]; g.capacityFraction(b) >= 1 {
			g.cold.remove(b)
		} else {
			g.coldInFlight += b.inFlight
		}
	}
}

// Reusable connections.

// reusableEntry is a backend with a reusable connection, and the time of its last outcome when the entry was
// queued.
type reusableEntry struct {
	lastOutcome time.Duration
	*backend
}

// addReusable adds a backend to the reusable set if it has a reusable connection.
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

// expireReusable removes backends from the reusable set whose connections have been idle for half of
// Config.ConnIdleTimeout. An entry of the queue is out of date if its backend had an outcome since then.
func (g *Gateway) expireReusable() {
	for len(g.reusableQueue) > 0 && g.now-g.reusableQueue[0].lastOutcome > g.cfg.ConnIdleTimeout/2 {
		if first := g.reusableQueue[0]; first.backend.lastOutcome == first.lastOutcome {
			g.reusable.remove(first.backend)
		}
		g.reusableQueue = g.reusableQueue[1:]
	}
}

// Ejections.

// ejection is the end of an ejection. It is out of date if the backend's ejectedUntil differs.
type ejection struct {
	until time.Duration
	*backend
}

// eject excludes a backend from selection until the given time, unless no healthy one is eligible.
func (g *Gateway) eject(b *backend, until time.Duration) {
	b.ejectedUntil = until
	i, _ := slices.BinarySearchFunc(g.ejections, until, func(e ejection, until time.Duration) int {
		return cmp.Compare(e.until, until)
	})
	g.ejections = slices.Insert(g.ejections, i, ejection{until, b})
	if g.ready.contains(b) {
		g.ejectedCount++
	}
}

// endEjection ends a backend's ejection early.
func (g *Gateway) endEjection(b *backend) {
	g.expireEjections()
	if g.ready.contains(b) && g.now < b.ejectedUntil {
		g.ejectedCount--
	}
	b.ejectedUntil = 0
}

// expireEjections removes ejections that are over from the list and from the count.
func (g *Gateway) expireEjections() {
	for len(g.ejections) > 0 && g.ejections[0].until <= g.now {
		e := g.ejections[0]
		g.ejections = g.ejections[1:]
		if e.backend.ejectedUntil == e.until && g.ready.contains(e.backend) {
			g.ejectedCount--
		}
	}
}

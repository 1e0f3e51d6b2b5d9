package ingress

import (
	"container/list"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

const (
	// A reused connection may be reset by the backend, and the request on it may have
	// run by then. While the share of such resets, an EWMA over the attempts on reused
	// connections, is above maxStaleRate, requests that must not run twice use new
	// connections. staleSmoothingFactor is the smoothing factor of the average.
	maxStaleRate         = 0.02
	staleSmoothingFactor = 0.05
	// reuseDelay is how long a connection stays idle after an answer before it is
	// reused. A duplicate of the answer, or stray bytes, may follow it, and answers
	// carry no request id: a request that is sent at once would be given the wrong
	// answer. The connection that has been idle for longest is reused first, and is
	// checked once more for unread bytes (nothingToRead).
	reuseDelay = 25 * time.Millisecond
)

// pool holds the backends and the idle connections to them. Only the goroutine of the
// loop calls its methods. Attempts and connections, which run on goroutines of their
// own, use the configuration, the memory budget, the dialer, openConns and the callbacks.
type pool struct {
	cfg          *Config
	memory       *memoryBudget
	onAttemptEnd func(a *attempt, r reply, elapsed time.Duration, c *conn) // c is nil unless it can be reused
	onIdleClose  func(*conn)                                               // an idle connection has closed
	dialer       net.Dialer
	byName       map[string]*backend
	byID         map[uint32]*backend
	lastID       uint32
	// The counters and the list of idle connections are maintained so that neither a
	// change of one backend nor an attempt has to iterate over all backends.
	availableBackends int          // number of backends that accept requests
	idleConns         *list.List   // of all backends, the longest idle first
	staleRate         float64      // share of reused connections that were reset, an EWMA
	openConns         atomic.Int64 // number of connections, including those being dialed
}

// backend is the record of one backend.
type backend struct {
	id          uint32
	name        string // the id in discovery
	addr        string
	upSince     int64         // Unix time of its last start in milliseconds, from discovery
	startedFrom int64         // the upSince value of which startedAt was computed; 0: unknown
	startedAt   time.Duration // on the gateway's clock; valid if startedFrom is not 0
	idleConns   []*conn       // the longest idle first; reused in this order
	unavailable atomic.Bool   // no new request may be sent to it
}

// newPool returns an empty pool. The callbacks are called by the goroutines of
// connections.
func newPool(
	cfg *Config, memory *memoryBudget, onAttemptEnd func(*attempt, reply, time.Duration, *conn),
	onIdleClose func(*conn),
) *pool {
	return &pool{
		cfg: cfg, memory: memory, onAttemptEnd: onAttemptEnd, onIdleClose: onIdleClose,
		dialer: net.Dialer{Timeout: cfg.connectTimeout},
		byName: map[string]*backend{}, byID: map[uint32]*backend{}, idleConns: list.New(),
	}
}

// updateMember applies what discovery reports about one backend and returns its record.
func (p *pool) updateMember(m *membership.Member, state choice.State) *backend {
	b := p.byName[m.ID]
	switch {
	case b == nil:
		p.lastID++
		b = p.addBackend(p.lastID, m)
	case b.addr != m.HostPort && m.HostPort != "", b.upSince != m.UpSince:
		// Another process, at another address or at the same one, needs a new record:
		// attempts that wait for a connection were meant for the previous process, and
		// connections to it, idle or in use, must not carry requests for the new one.
		b = p.replaceBackend(b, m)
	}
	b.upSince = m.UpSince
	if state == choice.Ready {
		p.markAvailable(b)
	} else {
		p.markUnavailable(b)
	}
	if state == choice.Removed {
		delete(p.byName, m.ID)
		delete(p.byID, b.id)
	}
	return b
}

// replaceBackend replaces the record of a backend by one of its new process, with the same id,
// unavailable at first. A member without an address keeps the previous one.
func (p *pool) replaceBackend(previous *backend, m *membership.Member) *backend {
	p.markUnavailable(previous)
	replacement := p.addBackend(previous.id, m)
	if m.HostPort == "" {
		replacement.addr = previous.addr
	}
	replacement.startedFrom, replacement.startedAt = previous.startedFrom, previous.startedAt
	return replacement
}

// addBackend adds the record of a backend, unavailable at first.
func (p *pool) addBackend(id uint32, m *membership.Member) *backend {
	b := &backend{id: id, name: m.ID, addr: m.HostPort}
	b.unavailable.Store(true)
	p.byName[m.ID], p.byID[id] = b, b
	return b
}

// markAvailable allows new requests to a backend.
func (p *pool) markAvailable(b *backend) {
	if b.unavailable.CompareAndSwap(true, false) {
		p.availableBackends++
	}
}

// markUnavailable stops new requests to a backend and closes its idle connections.
func (p *pool) markUnavailable(b *backend) {
	if b.unavailable.CompareAndSwap(false, true) {
		p.availableBackends--
	}
	p.closeIdle(b)
}

// closeIdle closes the idle connections to a backend.
func (p *pool) closeIdle(b *backend) {
	for _, c := range b.idleConns {
		p.idleConns.Remove(c.idleElement)
		c.closeAsync()
	}
	b.idleConns = nil
}

// startAttempt starts an attempt, on an idle connection if one may be reused. The
// outcome is reported to onAttemptEnd.
func (p *pool) startAttempt(a *attempt, id uint32) {
	a.pool, a.started, a.writeDone = p, time.Now(), make(chan struct{})
	a.backend = p.byID[id]
	if a.backend == nil { // removed from the list in the meantime: nothing is sent
		a.backend = &backend{id: id}
		a.backend.unavailable.Store(true)
	}
	var c *conn
	if a.dedicatedConn = !a.repeatable && p.staleRate > maxStaleRate; !a.dedicatedConn {
		c = p.takeIdle(a.backend)
	}
	a.reusedConn = c != nil
	if maxConns := p.cfg.Limits.maxBackendConns(); c == nil && p.openConns.Load() >= int64(maxConns-maxConns/headroomDivisor) {
		p.evictIdle()
	}
	go a.run(c)
}

// takeIdle removes and returns the connection to a backend that has been idle for
// longest. It returns nil if there is none that has been idle for reuseDelay.
func (p *pool) takeIdle(b *backend) *conn {
	if len(b.idleConns) == 0 || time.Since(b.idleConns[0].idleSince) < reuseDelay {
		return nil
	}
	c := b.idleConns[0]
	p.removeIdle(c)
	return c
}

// removeIdle removes a connection from the idle ones, if it is one of them.
func (p *pool) removeIdle(c *conn) {
	if i := slices.Index(c.backend.idleConns, c); i >= 0 {
		c.backend.idleConns = slices.Delete(c.backend.idleConns, i, i+1)
		p.idleConns.Remove(c.idleElement)
	}
}

// recordReuseOutcome updates the stale rate with the outcome of an attempt on a reused
// connection.
func (p *pool) recordReuseOutcome(a *attempt, status choice.Status) {
	if !a.reusedConn {
		return
	}
	reset := 0.0
	if status == choice.Reset {
		reset = 1
	}
	p.staleRate += staleSmoothingFactor * (reset - p.staleRate)
}

// evictIdle closes the connection that has been idle for longest, whatever its backend,
// to make room for a new one.
func (p *pool) evictIdle() {
	if element := p.idleConns.Front(); element != nil {
		c := element.Value.(*conn)
		p.removeIdle(c)
		c.closeAsync()
	}
}

// putIdle adds a connection that has received its answer to the idle ones, or closes it
// if its backend accepts no new requests.
func (p *pool) putIdle(c *conn) {
	if p.byID[c.backend.id] != c.backend || c.backend.unavailable.Load() {
		c.closeAsync()
		return
	}
	c.idleSince = time.Now()
	c.backend.idleConns = append(c.backend.idleConns, c)
	c.idleElement = p.idleConns.PushBack(c)
}

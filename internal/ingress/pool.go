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
	// Kept connections may be reset at their next request, which then may have
	// run. While more than maxStaleRate of them are, of late, what can't be repeated
	// goes on new ones; staleWeight is the weight of one attempt in that share.
	maxStaleRate         = 0.02
	staleSmoothingFactor = 0.05
	// reuseDelay is how long a connection rests after an answer. A second copy of
	// it, or noise, may come behind, and nothing in an answer tells whose it is:
	// given to the next request at once, that one would be served with it. The
	// longest rested is taken first, and looked at once more (quiet).
	reuseDelay = 25 * time.Millisecond
)

// pool holds the backends and the idle connections to them. Only the loop
// calls its methods, but for those of attempts and connections.
type pool struct {
	cfg          *Config
	onAttemptEnd func(a *attempt, r reply, elapsed time.Duration, c *conn) // c is nil unless it can be used again
	onIdleClose  func(*conn)                                               // an idle connection has closed
	dialer       net.Dialer
	byName       map[string]*backend
	byID         map[uint32]*backend
	lastID       uint32
	// What is counted or linked is so that no change of one backend, and no
	// attempt, walks all of them.
	availableBackends int          // backends to send to
	idleConns         *list.List   // idle connections to all backends, the longest idle first
	staleRate         float64      // share of kept connections that were reset at their next request
	openConns         atomic.Int64 // connections, those being dialled among them
}

type backend struct {
	id          uint32
	name        string // discovery's id
	addr        string
	upSince     int64         // when it last started, as discovery tells it
	startedFrom int64         // the date that started was worked out of
	startedAt   time.Duration // on the gateway's clock; of no meaning where dated is 0
	idleConns   []*conn       // the most recently used last, and taken last
	unavailable atomic.Bool   // nothing new may be sent to it
}

// newPool makes an empty pool. The calls come from the goroutines of connections.
func newPool(cfg *Config, onAttemptEnd func(*attempt, reply, time.Duration, *conn), onIdleClose func(*conn)) *pool {
	return &pool{
		cfg: cfg, onAttemptEnd: onAttemptEnd, onIdleClose: onIdleClose, dialer: net.Dialer{Timeout: cfg.connectTimeout},
		byName: map[string]*backend{}, byID: map[uint32]*backend{}, idleConns: list.New(),
	}
}

// updateMember takes what discovery says of one backend and returns its record.
func (p *pool) updateMember(m *membership.Member, state choice.State) *backend {
	b := p.byName[m.ID]
	switch {
	case b == nil:
		p.lastID++
		b = p.addBackend(p.lastID, m)
	case b.addr != m.HostPort && m.HostPort != "":
		// Attempts under way read the address: it moves to a new record.
		p.markUnavailable(b)
		replacement := p.addBackend(b.id, m)
		replacement.startedFrom, replacement.startedAt = b.startedFrom, b.startedAt
		b = replacement
	case b.upSince != m.UpSince:
		// It has started again. What is left of connections to the process
		// before may stay open and silent for good.
		p.closeIdle(b)
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

// addBackend makes the record of a backend, to which nothing may be sent yet.
func (p *pool) addBackend(id uint32, m *membership.Member) *backend {
	b := &backend{id: id, name: m.ID, addr: m.HostPort}
	b.unavailable.Store(true)
	p.byName[m.ID], p.byID[id] = b, b
	return b
}

// markAvailable lets new requests go to a backend.
func (p *pool) markAvailable(b *backend) {
	if b.unavailable.CompareAndSwap(true, false) {
		p.availableBackends++
	}
}

// markUnavailable lets nothing new go to a backend.
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

// startAttempt sets an attempt going, on an idle connection if there is one. Its end
// comes as an event.
func (p *pool) startAttempt(a *attempt, id uint32) {
	a.pool, a.started, a.writeDone = p, time.Now(), make(chan struct{})
	a.backend = p.byID[id]
	if a.backend == nil { // taken off the list since: nothing is sent
		a.backend = &backend{id: id}
		a.backend.unavailable.Store(true)
	}
	var c *conn
	if a.dedicatedConn = !a.repeatable && p.staleRate > maxStaleRate; !a.dedicatedConn {
		c = p.takeIdle(a.backend)
	}
	a.reusedConn = c != nil
	if maxConns := p.cfg.Limits.maxBackendConns(); c == nil && p.openConns.Load() >= int64(maxConns-maxConns/spareShare) {
		p.evictIdle()
	}
	go a.run(c)
}

// takeIdle takes the connection that has been idle for longest, if it has takeIdle.
func (p *pool) takeIdle(b *backend) *conn {
	if len(b.idleConns) == 0 || time.Since(b.idleConns[0].idleSince) < reuseDelay {
		return nil
	}
	c := b.idleConns[0]
	p.removeIdle(c)
	return c
}

// removeIdle takes a connection out of the idle ones, if it is there.
func (p *pool) removeIdle(c *conn) {
	if i := slices.Index(c.backend.idleConns, c); i >= 0 {
		c.backend.idleConns = slices.Delete(c.backend.idleConns, i, i+1)
		p.idleConns.Remove(c.idleElement)
	}
}

// recordReuseOutcome takes how an attempt on a kept connection ended.
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

// evictIdle closes the connection that has been idle for longest, to make room for
// another backend's.
func (p *pool) evictIdle() {
	if element := p.idleConns.Front(); element != nil {
		c := element.Value.(*conn)
		p.removeIdle(c)
		c.closeAsync()
	}
}

// putIdle takes back a connection that has carried its answer.
func (p *pool) putIdle(c *conn) {
	if p.byID[c.backend.id] != c.backend || c.backend.unavailable.Load() {
		c.closeAsync()
		return
	}
	c.idleSince = time.Now()
	c.backend.idleConns = append(c.backend.idleConns, c)
	c.idleElement = p.idleConns.PushBack(c)
}

package ingress

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"
)

// The connections of clients: which are accepted, and which are evicted for others.

const (
	// acceptRetryInterval is the pause after a failed accept, or while the limit of
	// connections is reached.
	acceptRetryInterval = 5 * time.Millisecond
	// headroomDivisor sets the headroom: evictions keep 1/headroomDivisor of a connection
	// limit free, because an evicted connection takes a moment to close.
	headroomDivisor = 16
	// minIdleUsed is how long a connection that has sent a valid request must have been
	// idle before it may be evicted.
	minIdleUsed = 2 * time.Second
	// minIdleUnused is the same for a connection that has never sent one.
	minIdleUnused = 250 * time.Millisecond
	// minIdleUnusedIfFull is the same while no further connection fits: whoever connects to
	// send a request sends it at once, and those that wait in the backlog have sent theirs.
	minIdleUnusedIfFull = 50 * time.Millisecond
)

// accept accepts connections until the listener is closed or, during a shutdown, until
// its backlog is empty.
func (s *Server) accept() error {
	for {
		s.mu.Lock()
		if s.drainingBacklog {
			s.ln.SetDeadline(time.Now().Add(backlogIdleTimeout))
		}
		s.mu.Unlock()
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil { // out of file descriptors, or the connection broke at once
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.admit(nc)
	}
}

// admit adds an accepted connection as soon as there is room. At the limit, further
// connections wait in the listener's backlog: rejecting them would also hit well-behaved
// clients. If idle connections that may not be evicted yet have filled the table, a client
// that has already sent a command is served above the limit.
func (s *Server) admit(nc net.Conn) {
	for !s.makeRoom() {
		if s.hasExtraRoom() && hasUnreadBytes(nc) {
			s.addClient(nc, true)
			return
		}
		select {
		case <-s.roomFreed:
		case <-time.After(acceptRetryInterval):
		}
	}
	s.addClient(nc, false)
}

// hasExtraRoom reports whether a connection above the limit may be opened.
func (s *Server) hasExtraRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) < s.cfg.Limits.maxClients()+s.cfg.Limits.maxExtraClients()
}

// makeRoom reports whether there is room for a further connection. Near the limit it evicts
// connections to keep the headroom: first those that have never sent a valid request, then
// those that have been idle for longest. Connections with an open request are never evicted.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainingBacklog {
		return true
	}
	maxClients := s.cfg.Limits.maxClients()
	full := len(s.clients) >= maxClients
	excess := len(s.clients) - s.evicting - (maxClients - maxClients/headroomDivisor) + 1
	if excess > 0 {
		s.evictIdle(excess, full)
	}
	return !full
}

// evictIdle evicts up to n idle connections. full means that no further connection fits. The
// caller holds s.mu.
func (s *Server) evictIdle(n int, full bool) {
	type candidate struct {
		client *client
		rank   evictionRank
	}
	var candidates []candidate
	now := time.Now()
	for c := range s.clients {
		if rank, evictable := c.evictionRank(now, full); evictable {
			candidates = append(candidates, candidate{c, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.rank.compare(b.rank) })
	for _, victim := range candidates[:min(n, len(candidates))] {
		victim.client.evict()
		s.evicting++
	}
}

// addClient registers a new connection and starts to serve it. aboveLimit means that it is
// closed after its first answer.
func (s *Server) addClient(nc net.Conn, aboveLimit bool) {
	c := newClient(s, nc)
	c.aboveLimit = aboveLimit
	s.mu.Lock()
	defer s.mu.Unlock()
	// During a shutdown, the connection closes after its first answer.
	c.draining, c.readingStopped = s.draining, s.readingStopped
	s.clients[c] = struct{}{}
	go c.serve()
}

// cancelEviction records that a connection that was to be evicted is in use again.
func (s *Server) cancelEviction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicting--
}

// removeClient removes a connection that has been closed.
func (s *Server) removeClient(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.evicted {
		s.evicting--
	}
	notify(s.roomFreed)
	s.checkAllClientsClosed()
}

package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarseam/internal/shutdown"
)

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

// Server is one ingress: it accepts the connections of clients and serves them.
type Server struct {
	*core
	ln *net.TCPListener
	// newSchedule plans a shutdown; a variable for tests, like phaseEnd.
	newSchedule func(requestedAt time.Time, longestDeadline time.Duration) shutdown.Schedule
	// phaseEnd returns a channel that is closed at the end of a phase of the shutdown.
	phaseEnd func(phase, shutdown.Schedule) <-chan struct{}

	discoveryAddrs chan string // new addresses of discovery, from Reload

	lastClientID atomic.Uint64 // id of the newest connection
	roomFreed    chan struct{} // signals that a connection has been removed

	mu               sync.Mutex
	clients          map[*client]struct{}
	evicting         int           // clients that are being evicted and not yet removed
	draining         bool          // connections close when they have no open request
	drainingBacklog  bool          // the listener closes once its backlog is empty
	readingStopped   bool          // no connection reads any further command
	acceptingStopped bool          // no further connection is accepted
	allClientsClosed chan struct{} // closed when accepting has stopped and no client is left
}

// Listen returns an ingress that listens on its configured address. Serve then runs it.
func Listen(cfg Config) (*Server, error) {
	core, err := newCore(cfg)
	if err != nil {
		return nil, err
	}
	ln, err := listen(net.ListenConfig{}, cfg.Listen, listenTimeout)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return &Server{core: core, ln: ln.(*net.TCPListener), clients: map[*client]struct{}{},
		allClientsClosed: make(chan struct{}), newSchedule: shutdown.NewSchedule, phaseEnd: phaseEnd,
		roomFreed: make(chan struct{}, 1), discoveryAddrs: make(chan string)}, nil
}

// Reload applies the part of a configuration that may change while the ingress runs: the
// address of discovery. Connections and the state of the gateway are kept.
func (s *Server) Reload(cfg Config) {
	select {
	case s.discoveryAddrs <- cfg.Discovery:
	case <-s.loop.done:
	}
}

// Addr returns the address on which clients are served.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve runs the ingress until ctx ends, then shuts it down and returns before the
// process may be killed; see package shutdown. The time at which the shutdown was requested
// is taken from the cause of ctx, if that is a shutdown.RequestedError.
func (s *Server) Serve(ctx context.Context) error {
	defer s.start()()
	if s.cfg.Log.Detailed() {
		go s.loop.memory.report(s.cfg.Log, s.loop.done)
	}
	go func() {
		for {
			select {
			case addr := <-s.discoveryAddrs:
				s.sources.switchTo(addr, nil, nil)
			case <-s.loop.done:
				return
			}
		}
	}()
	acceptDone := make(chan error, 1)
	go func() { acceptDone <- s.accept() }()
	select {
	case err := <-acceptDone:
		return err
	case <-ctx.Done():
	}
	s.shutDown(s.newSchedule(shutdown.RequestedAt(ctx), s.longestDeadline()), acceptDone)
	return nil
}

// longestDeadline returns the longest deadline of all request classes.
func (s *Server) longestDeadline() (longest time.Duration) {
	for _, c := range s.cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

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

// busyReply returns the answer to a command that is refused before it reaches the
// gateway.
func (s *Server) busyReply() []byte { return busyReply(s.cfg.Choice.RetryAfterHint()) }

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

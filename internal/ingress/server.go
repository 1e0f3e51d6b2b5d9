package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cedarseam/internal/shutdown"
)

const (
	acceptRetryInterval = 5 * time.Millisecond
	headroomDivisor     = 16                     // of the places for clients, so many are kept free
	minIdleUsed         = 2 * time.Second        // a connection that has asked may be closed when idle for so long
	minIdleUnused       = 250 * time.Millisecond // and one that has not when it is so old
)

// Server is one running ingress.
type Server struct {
	*core
	ln          *net.TCPListener
	newSchedule func(begun time.Time, longestDeadline time.Duration) shutdown.Schedule
	phaseEnd    func(phase, shutdown.Schedule) <-chan struct{} // closed at the end of a phase of the stop

	discoveryAddrs chan string // addresses of discovery to move to

	lastClientID atomic.Uint64 // the number of the newest connection

	mu               sync.Mutex
	clients          map[*client]struct{}
	evicting         int           // clients that were closed to make room and are not gone yet
	draining         bool          // connections close between requests
	drainingBacklog  bool          // the listener closes as soon as nobody waits in its queue
	readingStopped   bool          // nothing more is read
	acceptingStopped bool          // no further connection is taken
	allClientsClosed chan struct{} // closed when stopping and no client is left
}

// Listen makes an ingress and opens its address.
func Listen(cfg Config) (*Server, error) {
	core, err := newCore(cfg)
	if err != nil {
		return nil, err
	}
	ln, err := listen(net.ListenConfig{}, cfg.Listen, listenTimeout)
	if err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	return &Server{core: core, ln: ln.(*net.TCPListener), clients: map[*client]struct{}{}, allClientsClosed: make(chan struct{}),
		newSchedule: shutdown.NewSchedule, phaseEnd: phaseEnd, discoveryAddrs: make(chan string)}, nil
}

// Reload takes what may change while the ingress runs: the address of
// discovery. All connections and all that is known stay.
func (s *Server) Reload(cfg Config) {
	select {
	case s.discoveryAddrs <- cfg.Discovery:
	case <-s.loop.done:
	}
}

// Addr is the address on which clients are served.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve runs the ingress until ctx ends. It then shuts down and returns, before
// the process may be killed: see package shutdown. A cause of ctx tells when the
// end was asked for.
func (s *Server) Serve(ctx context.Context) error {
	defer s.start()()
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

// longestDeadline is the longest that a request of the settings may take.
func (s *Server) longestDeadline() (longest time.Duration) {
	for _, c := range s.cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

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
		if err != nil { // out of descriptors, or a connection that broke at once
			time.Sleep(acceptRetryInterval)
			continue
		}
		// With no room even so, the next ones wait in the listener's queue: to
		// turn them away would hit usual clients as well.
		for !s.makeRoom() {
			time.Sleep(acceptRetryInterval)
		}
		s.addClient(nc)
	}
}

// makeRoom makes makeRoom for a further connection. Near the limit it closes the one
// that matters least: first those that have never asked for anything, then the
// one that has been idle for longest. One with a request open stays.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxClients := s.cfg.Limits.maxClients()
	if s.drainingBacklog || len(s.clients) < maxClients && len(s.clients)-s.evicting < maxClients-maxClients/headroomDivisor {
		return true
	}
	var victim *client
	var victimRank evictionRank
	now := time.Now()
	for c := range s.clients {
		if rank, evictable := c.evictionRank(now); evictable && (victim == nil || rank.before(victimRank)) {
			victim, victimRank = c, rank
		}
	}
	if victim != nil {
		victim.evict()
		s.evicting++
	}
	return len(s.clients) < maxClients
}

// busyReply is the answer to what is refused before it reaches the gateway.
func (s *Server) busyReply() []byte { return busyReply(s.cfg.Choice.RetryAfterHint()) }

// addClient serves a new connection.
func (s *Server) addClient(nc net.Conn) {
	c := newClient(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.draining, c.readingStopped = s.draining, s.readingStopped // closes after its first answer
	s.clients[c] = struct{}{}
	go c.serve()
}

// cancelEviction tells that a connection that was to make room is in use after all.
func (s *Server) cancelEviction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicting--
}

func (s *Server) removeClient(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.evicted {
		s.evicting--
	}
	s.checkAllClientsClosed()
}

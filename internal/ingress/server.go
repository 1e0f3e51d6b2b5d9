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
	acceptRetry = 5 * time.Millisecond
	spareShare  = 16                     // of the places for clients, so many are kept free
	idleLeast   = 2 * time.Second        // a connection that has asked may be closed when idle for so long
	silentLeast = 250 * time.Millisecond // and one that has not when it is so old
)

// Server is one running ingress.
type Server struct {
	*core
	ln    *net.TCPListener
	plan  func(begun time.Time, longestDeadline time.Duration) shutdown.Schedule
	endOf func(phase, shutdown.Schedule) <-chan struct{} // closed at the end of a phase of the stop

	moves chan string // addresses of discovery to move to

	lastClient atomic.Uint64 // the number of the newest connection

	mu       sync.Mutex
	clients  map[*client]struct{}
	leaving  int           // clients that were closed to make room and are not gone yet
	draining bool          // connections close between requests
	ending   bool          // the listener closes as soon as nobody waits in its queue
	final    bool          // nothing more is read
	stopping bool          // no further connection is taken
	empty    chan struct{} // closed when stopping and no client is left
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
	return &Server{core: core, ln: ln.(*net.TCPListener), clients: map[*client]struct{}{}, empty: make(chan struct{}),
		plan: shutdown.NewSchedule, endOf: endOf, moves: make(chan string)}, nil
}

// Reload takes what may change while the ingress runs: the address of
// discovery. All connections and all that is known stay.
func (s *Server) Reload(cfg Config) {
	select {
	case s.moves <- cfg.Discovery:
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
			case addr := <-s.moves:
				s.sources.switchTo(addr, nil, nil)
			case <-s.loop.done:
				return
			}
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- s.accept() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	s.shutDown(s.plan(shutdown.RequestedAt(ctx), s.longestDeadline()), failed)
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
		if s.ending {
			s.ln.SetDeadline(time.Now().Add(lastCall))
		}
		s.mu.Unlock()
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil { // out of descriptors, or a connection that broke at once
			time.Sleep(acceptRetry)
			continue
		}
		// With no room even so, the next ones wait in the listener's queue: to
		// turn them away would hit usual clients as well.
		for !s.room() {
			time.Sleep(acceptRetry)
		}
		s.add(nc)
	}
}

// room makes room for a further connection. Near the limit it closes the one
// that matters least: first those that have never asked for anything, then the
// one that has been idle for longest. One with a request open stays.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.cfg.Limits.maxClients()
	if s.ending || len(s.clients) < most && len(s.clients)-s.leaving < most-most/spareShare {
		return true
	}
	var least *client
	var rank evictionRank
	now := time.Now()
	for c := range s.clients {
		if r, closable := c.evictionRank(now); closable && (least == nil || r.before(rank)) {
			least, rank = c, r
		}
	}
	if least != nil {
		least.evict()
		s.leaving++
	}
	return len(s.clients) < most
}

// busy is the answer to what is refused before it reaches the gateway.
func (s *Server) busy() []byte { return busy(s.cfg.Choice.RetryAfterHint()) }

// add serves a new connection.
func (s *Server) add(nc net.Conn) {
	c := newClient(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.draining, c.readingStopped = s.draining, s.final // closes after its first answer
	s.clients[c] = struct{}{}
	go c.serve()
}

// stays tells that a connection that was to make room is in use after all.
func (s *Server) stays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving--
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.evicted {
		s.leaving--
	}
	s.checkEmpty()
}

package ingress

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cedarseam/internal/shutdown"
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
	inputPacer   *inputPacer   // of the readers of all connections

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
		roomFreed: make(chan struct{}, 1), inputPacer: newInputPacer(), discoveryAddrs: make(chan string)}, nil
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

// busyReply returns the answer to a command that is refused before it reaches the
// gateway.
func (s *Server) busyReply() []byte { return busyReply(s.cfg.Choice.RetryAfterHint()) }

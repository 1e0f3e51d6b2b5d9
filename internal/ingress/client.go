package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// client is the connection of a client. A reader goroutine parses pipelined
// commands and starts them at once; a writer goroutine sends the answers in the
// order of the commands.
//
// Only the reader decides to close the connection. Every command that has been read
// is answered. Bytes that arrive after that decision stay unread, so that the
// client can tell that its command was not accepted and send it to another ingress.
type client struct {
	server          *Server
	id              uint64 // identifies the connection in the log
	nc              net.Conn
	opened          time.Time
	aboveLimit      bool          // to be closed when no request is open, after the first command
	writerWake      chan struct{} // signals that the writer has something to do
	slotFreed       chan struct{} // signals that the writer has removed slots from pending
	writerDone      chan struct{} // closed when the writer has returned
	invalidCommands atomic.Int32  // number of invalid commands so far
	lastSeen        atomic.Int64  // when the client was last known to be connected, in ns since opened

	mu               sync.Mutex
	pending          []*slot   // commands not answered yet, in order
	answers          int       // number of commands that were given a slot so far
	lastActive       time.Time // when an answer was last written, at first when opened
	writerStarted    bool      // the writer runs or has run
	sentRequest      bool      // the client has sent a valid request
	sentCommand      bool      // the client has sent a complete command
	sending          bool      // the writer holds answers that it has not written yet
	pipelineFull     bool      // the reader waits for a free slot
	partialCommand   bool      // a part of a command has been read
	evicted          bool      // to be closed to make room, if still idle
	draining         bool      // to be closed when no request is open
	firstCommandOnly bool      // accepts a command only if it is the first
	readingStopped   bool      // reads nothing more from the connection
	closing          bool      // closes once all pending commands are answered
	closed           bool      // answers can no longer be written
	closeErr         error     // result of the last write, or why closeNow closed it
}

// newClient returns the client of an accepted connection, which serve then runs.
func newClient(s *Server, nc net.Conn) *client {
	now := time.Now()
	c := &client{server: s, id: s.lastClientID.Add(1), nc: nc, opened: now, lastActive: now,
		writerWake: make(chan struct{}, 1), slotFreed: make(chan struct{}, 1), writerDone: make(chan struct{})}
	c.markSeen(now.Add(-maxUnseenTime)) // it may have waited in the listener's backlog
	return c
}

// notify sends a signal on a channel of capacity 1, unless one is already queued.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// evictionRank orders connections for eviction: those that have never sent a valid
// request come first, then those that have been idle for longer.
type evictionRank struct {
	sentRequest bool
	lastActive  time.Time
}

// compare orders the rank that is evicted first before the other one.
func (rank evictionRank) compare(other evictionRank) int {
	switch {
	case rank.sentRequest == other.sentRequest:
		return rank.lastActive.Compare(other.lastActive)
	case other.sentRequest:
		return -1
	}
	return 1
}

// evictionRank returns the rank of the connection, and whether it may be evicted now. full
// means that no further connection fits.
func (c *client) evictionRank(now time.Time, full bool) (rank evictionRank, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	minIdle := minIdleUnused
	switch {
	case c.sentRequest:
		minIdle = minIdleUsed
	case full:
		minIdle = minIdleUnusedIfFull
	}
	return evictionRank{c.sentRequest, c.lastActive},
		len(c.pending) == 0 && !c.sending && !c.closing && !c.draining && !c.evicted && !c.partialCommand &&
			now.Sub(c.lastActive) >= minIdle
}

// interruptRead makes a blocked read of the connection return, so that the reader
// checks the state of the client again. The caller holds c.mu.
func (c *client) interruptRead() {
	c.nc.SetReadDeadline(expiredDeadline)
}

// serve reads commands until the connection is to be closed, sends the answers that
// are still due, and closes it. It is the reader goroutine of the connection.
func (c *client) serve() {
	c.server.cfg.Log.ClientOpened(c.id)
	err := c.readCommands()
	switch {
	case errors.Is(err, errClientDisconnected):
	case errors.Is(err, errIncompleteCommand):
		c.reply(c.server.busyReply())
		c.flushAndLinger(false)
	case errors.Is(err, errServerClose):
		c.flushAndLinger(false)
	default:
		c.replyError(err)
		c.flushAndLinger(true)
	}
	c.logClose(err)
	c.nc.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	notify(c.writerWake)
	c.server.loop.post(func(l *loop) { l.handleDisconnect(c) })
	c.server.removeClient(c)
}

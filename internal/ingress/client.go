package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

const (
	writeTimeout          = 5 * time.Second         // a client that does not read its answers
	lingerTimeout         = 200 * time.Millisecond  // for the last answers to arrive before the connection closes
	finalReadTimeout      = 50 * time.Millisecond   // for what has come to be read: the reader may be held up meanwhile
	maxPipelinedCommands  = 128                     // open requests on one connection
	firstCommandTimeout   = 2200 * time.Millisecond // for the first command on a connection
	partialCommandTimeout = 2 * time.Second         // for the rest of one that has begun
	maxInvalidCommands    = 8                       // wrong commands after which a connection ends
	invalidCommandDelay   = 50 * time.Millisecond   // behind the second one and each further one, without a further command
	// leaveCheck is how often a client is looked after whose end is hidden by
	// bytes that stay unread. A client that has gone is worth no attempt 0.1 s later.
	peerCloseCheckInterval = 40 * time.Millisecond
)

var (
	errFirstCommandTimeout    = errors.New("no command came in time")
	errPartialCommandTimeout  = errors.New("the command did not become whole in time")
	errTooManyInvalidCommands = errors.New("too many wrong commands")
	errNoMemory               = errors.New("no memory is left for the command")
	errServerClose            = errors.New("the connection takes no further command")
	errEvicted                = fmt.Errorf("%w: it was idle and makes room", errServerClose)
	errDraining               = fmt.Errorf("%w: the ingress stops, and it is between requests", errServerClose)
	errFirstCommandOnly       = fmt.Errorf("%w: the ingress stops, and it has sent a command", errServerClose)
	errReadingStopped         = fmt.Errorf("%w: the process ends", errServerClose)
	errIncompleteCommand      = errors.New("the process ends before the command is whole")
	errClientDisconnected     = errors.New("the client is gone")
)

// slot is the place of one answer in the order of its connection.
type slot struct {
	request *request // nil for what needs no backend
	data    []byte
	filled  bool
}

// client is a client's connection. A reader takes commands off it and starts
// them at once; a writer sends the answers in the order of the commands.
//
// The reader alone decides that the connection ends. Whatever it has read it
// answers, and what comes after that decision stays unread: the client then
// knows that nobody has taken it, and sends it elsewhere.
type client struct {
	server          *Server
	id              uint64 // in the log
	nc              net.Conn
	opened          time.Time
	writerWake      chan struct{} // the writer has something to do
	slotFreed       chan struct{} // a place for an answer has become free
	writerDone      chan struct{} // closed when the writer has ended
	invalidCommands atomic.Int32  // wrong commands so far

	mu               sync.Mutex
	pending          []*slot
	answers          int // answers so far
	lastActive       time.Time
	writerStarted    bool // the writer runs, or has run
	sentRequest      bool // has sent a request that could be taken
	sentCommand      bool // has sent a whole command
	sending          bool // the writer has answers that it has not written yet
	pipelineFull     bool // the reader waits for a place
	evicted          bool // to be closed to make room, if it is still idle
	draining         bool // closes between requests
	firstCommandOnly bool // takes no further command if it has sent one
	readingStopped   bool // reads nothing more
	closing          bool // takes no further command, and ends when all is answered
	closed           bool
	closeErr         error // of the last write
}

func newClient(s *Server, nc net.Conn) *client {
	now := time.Now()
	return &client{server: s, id: s.lastClient.Add(1), nc: nc, opened: now, lastActive: now, writerWake: make(chan struct{}, 1),
		slotFreed: make(chan struct{}, 1), writerDone: make(chan struct{})}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// standing tells how much a connection matters.
type evictionRank struct {
	sentRequest bool
	lastActive  time.Time
}

func (rank evictionRank) before(other evictionRank) bool {
	if rank.sentRequest != other.sentRequest {
		return other.sentRequest
	}
	return rank.lastActive.Before(other.lastActive)
}

// standing tells too whether the connection may be closed now.
func (c *client) evictionRank(now time.Time) (rank evictionRank, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	minIdle := silentLeast
	if c.sentRequest {
		minIdle = idleLeast
	}
	return evictionRank{c.sentRequest, c.lastActive},
		len(c.pending) == 0 && !c.sending && !c.closing && !c.draining && !c.evicted && now.Sub(c.lastActive) >= minIdle
}

// nudge makes the reader look up from what it waits for. c.mu is held.
func (c *client) interruptRead() {
	c.nc.SetReadDeadline(longAgo)
}

// startWriter starts the writer with the first that it has to do: most
// connections of bad clients never give it anything.
func (c *client) startWriter() {
	if !c.writerStarted {
		c.writerStarted = true
		go c.writeLoop()
	}
}

// fill gives a slot its answer. It does not block.
func (c *client) fill(s *slot, data []byte) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.server.loop.memory.forceReserve(len(data)) // until it is written
	s.data, s.filled = data, true
	first := len(c.pending) > 0 && c.pending[0] == s
	c.mu.Unlock()
	if first {
		notify(c.writerWake)
	}
}

// push appends a slot. The reader has seen to it that there is a place.
func (c *client) push(s *slot) {
	c.mu.Lock()
	c.pending = append(c.pending, s)
	c.answers++
	c.sentRequest, c.sentCommand = c.sentRequest || s.request != nil, true
	c.startWriter()
	evictionCancelled := c.evicted
	c.evicted = false
	c.mu.Unlock()
	if evictionCancelled {
		c.server.stays()
	}
}

// abandoned returns the requests that still waited for an answer.
func (c *client) dropPending() (unanswered []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending {
		if s.request != nil && !s.filled {
			unanswered = append(unanswered, s.request)
		}
		c.server.loop.memory.release(len(s.data))
	}
	c.pending = nil
	return unanswered
}

// read takes commands until the client leaves, or sends what can't be read.
func (c *client) serve() {
	c.server.cfg.Log.ClientOpened(c.id)
	err := c.readCommands()
	switch {
	case errors.Is(err, errClientDisconnected):
	case errors.Is(err, errIncompleteCommand):
		c.reply(c.server.busy())
		c.flushAndLinger()
	case errors.Is(err, errServerClose):
		c.flushAndLinger()
	default:
		c.replyError(err)
		c.flushAndLinger()
	}
	c.logClose(err)
	c.nc.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	notify(c.writerWake)
	c.server.loop.post(func(l *loop) { l.gone(c) })
	c.server.remove(c)
}

// input is what the reader has read and not started yet.
type input struct {
	buf          []byte
	arrivals     arrivals  // when its bytes did
	completeBy   time.Time // by when what has begun has to be whole; zero: nothing has
	blockedUntil time.Time // no command is started before
	pipelineFull bool      // none is started until the writer has made a place
}

// take starts the commands as they come. While none may be started it reads on,
// as far as there is room: a client that leaves meanwhile must be noticed.
func (c *client) readCommands() error {
	// A client that says nothing, or half a command and no more, would keep
	// its descriptor for good.
	in := input{buf: make([]byte, 0, readBuffer), completeBy: c.opened.Add(firstCommandTimeout)}
	defer func() { c.server.loop.memory.release(cap(in.buf) - readBuffer) }()
	for {
		blocked, err := c.startCommands(&in)
		if err != nil {
			return err
		}
		if err := c.prepareRead(&in, blocked); err != nil {
			return err
		}
		if len(in.buf) == cap(in.buf) || blocked && c.isReadingStopped() {
			if !c.waitUnblocked(&in) {
				return errClientDisconnected
			}
			continue
		}
		n, err := c.nc.Read(in.buf[len(in.buf):cap(in.buf)])
		now := time.Now()
		switch {
		case n > 0:
			in.buf = in.buf[:len(in.buf)+n]
			in.arrivals.add(n, now)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errClientDisconnected, err)
		case in.completeBy.IsZero() || now.Before(in.completeBy):
		case len(in.buf) > 0:
			return errPartialCommandTimeout
		default:
			return errFirstCommandTimeout
		}
	}
}

// ends tells why the connection is over for the reader, and otherwise sets how
// long it may wait for more. held tells that no command may be started now.
func (c *client) prepareRead(in *input, blocked bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.pending) == 0 && !c.sending
	switch {
	case blocked:
	case idle && c.evicted && len(in.buf) == 0: // a command that has begun is use
		return errEvicted
	case c.readingStopped && !c.sentCommand && waiting(c.nc): // its first command is here already
		c.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
		return nil
	case c.readingStopped && len(in.buf) > 0:
		return errIncompleteCommand
	case c.readingStopped:
		return errReadingStopped
	case !c.sentCommand || len(in.buf) > 0: // what a new connection is opened for is still to come
	case c.firstCommandOnly:
		return errFirstCommandOnly
	case idle && c.draining:
		return errDraining
	}
	deadline := in.completeBy
	switch {
	case !blocked:
	case !in.pipelineFull:
		deadline = in.blockedUntil
	case !c.pipelineFull: // the writer has made a place meanwhile
		deadline = longAgo
	}
	c.nc.SetReadDeadline(deadline)
	return nil
}

// readsNoMore tells that nothing is read but what has been read already.
func (c *client) isReadingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readingStopped
}

// stand waits without reading on, until a command may be started again. It
// returns false if the client leaves before.
func (c *client) waitUnblocked(in *input) bool {
	if in.pipelineFull {
		return !peerClosedBefore(c, c.slotFreed)
	}
	time.Sleep(time.Until(in.blockedUntil))
	return true
}

// refit makes a buffer of what is left of buf, with room to read on, unless
// what is left may not be started yet and there is no memory for more.
func (c *client) resizeBuffer(buf, remaining []byte, blocked bool) ([]byte, error) {
	budget := c.server.loop.memory
	switch {
	case len(remaining) == 0 && cap(buf) > readBuffer:
		budget.release(cap(buf) - readBuffer)
		return make([]byte, 0, readBuffer), nil
	case len(remaining) == cap(buf):
		size := min(2*cap(buf), maxMessageBytes+readBuffer)
		switch {
		case size > cap(buf) && budget.reserve(size-cap(buf)):
			return append(make([]byte, 0, size), remaining...), nil
		case blocked:
			return buf, nil
		}
		return buf, errNoMemory
	}
	return buf[:copy(buf[:cap(buf)], remaining)], nil
}

// commands starts all whole commands that may be started, keeps what is left
// of the input, and makes room to read on. held tells that more may be whole.
func (c *client) startCommands(in *input) (blocked bool, err error) {
	buf := in.buf
	for len(buf) > 0 {
		var closed bool
		if blocked, closed = c.commandsBlocked(in); closed {
			return false, errClientDisconnected
		}
		if blocked {
			break
		}
		args, n, err := nextCommand(buf)
		if err != nil {
			return false, err
		}
		if n == 0 {
			break
		}
		buf = buf[n:]
		arrivedAt := in.arrivals.consume(n)
		if len(args) == 0 { // an empty array asks for nothing
			continue
		}
		invalid := c.startCommand(args, n, arrivedAt)
		if invalid == nil {
			continue
		}
		// Bounded for each connection, so that who sends nonsense as fast as
		// it is turned away leaves the CPU to the others.
		count := c.invalidCommands.Add(1)
		if count >= maxInvalidCommands {
			return false, errTooManyInvalidCommands
		}
		c.replyError(invalid)
		if count > 1 {
			in.blockedUntil = time.Now().Add(invalidCommandDelay)
		}
	}
	switch partial := len(buf) > 0 && !blocked; {
	case partial && (in.completeBy.IsZero() || len(buf) < len(in.buf)):
		in.completeBy = time.Now().Add(partialCommandTimeout)
	case !partial && c.hasSentCommand():
		in.completeBy = time.Time{}
	}
	in.buf, err = c.resizeBuffer(in.buf, buf, blocked)
	return blocked, err
}

// barred tells that no command may be started now: wrong ones have come before,
// or there is no place for one more answer. Then the writer wakes the reader
// when there is.
func (c *client) commandsBlocked(in *input) (blocked, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelineFull = len(c.pending) >= maxPipelinedCommands
	in.pipelineFull = c.pipelineFull
	return c.pipelineFull || !c.readingStopped && !in.blockedUntil.IsZero() && time.Now().Before(in.blockedUntil), c.closed
}

// known tells whether the client has sent a whole command.
func (c *client) hasSentCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentCommand
}

// command starts a command, or tells what is wrong with it.
func (c *client) startCommand(args [][]byte, size int, arrivedAt time.Time) (invalid error) {
	if equalFold(args[0], "PING") {
		if !c.server.loop.ready.Load() {
			c.reply(redcon.AppendError(nil, "ERR no backend is known"))
		} else {
			c.reply(redcon.AppendString(nil, "PONG"))
		}
		return nil
	}
	cmd, err := c.server.cfg.parseCommand(args)
	if err != nil {
		return err
	}
	budget := c.server.loop.memory
	if !budget.reserve(size) {
		// Nothing has run; holding more would end the whole process.
		c.reply(c.server.busy())
		return nil
	}
	cmd.args = copyArgs(args, size)
	timeLimit := min(cmd.timeLimit, c.server.cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, from: c, deadline: arrivedAt.Add(timeLimit - min(answerMargin, timeLimit/marginPart))}
	r.slot = &slot{request: r}
	c.push(r.slot)
	c.server.loop.post(func(l *loop) { l.request(r) })
	return nil
}

// own copies the parts out of the read buffer.
func copyArgs(args [][]byte, size int) [][]byte {
	block := make([]byte, 0, size)
	for i, a := range args {
		at := len(block)
		block = append(block, a...)
		args[i] = block[at:len(block):len(block)]
	}
	return args
}

func (c *client) reply(data []byte) {
	c.push(&slot{data: data, filled: true})
	c.server.loop.memory.forceReserve(len(data))
	notify(c.writerWake)
}

// refuse answers what is no valid request.
func (c *client) replyError(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// write sends the answers in order.
func (c *client) writeLoop() {
	defer close(c.writerDone)
	var out []byte
	for range c.writerWake {
		c.mu.Lock()
		out = out[:0]
		n := 0
		for n < len(c.pending) && c.pending[n].filled {
			out = append(out, c.pending[n].data...)
			n++
		}
		c.pending = c.pending[n:]
		if c.sending = n > 0; c.sending {
			c.lastActive = time.Now()
		}
		empty := len(c.pending) == 0
		if empty {
			c.pending = nil
		}
		if c.sending && c.pipelineFull {
			c.pipelineFull = false
			c.interruptRead()
		}
		finished, closed := empty && c.closing, c.closed
		c.mu.Unlock()
		notify(c.slotFreed)
		if closed {
			c.server.loop.memory.release(len(out))
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.nc.Write(out)
			c.server.loop.memory.release(len(out))
			c.mu.Lock()
			c.sending, c.closed, c.closeErr = false, c.closed || err != nil, err
			if (c.draining || c.evicted) && len(c.pending) == 0 && !c.closing {
				c.interruptRead() // the connection may be between requests
			}
			c.mu.Unlock()
			if err != nil {
				c.nc.Close() // the reader notices
				notify(c.slotFreed)
				return
			}
			if cap(out) > maxMessageBytes {
				out = nil
			}
		}
		if finished {
			c.nc.(*net.TCPConn).CloseWrite()
			c.nc.SetReadDeadline(longAgo) // wakes the reader
			return
		}
	}
}

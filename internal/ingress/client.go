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
	writeTimeout  = 5 * time.Second         // a client that does not read its answers
	lingerTime    = 200 * time.Millisecond  // for the last answers to arrive before the connection closes
	lastLook      = 50 * time.Millisecond   // for what has come to be read: the reader may be held up meanwhile
	mostPending   = 128                     // open requests on one connection
	firstPatience = 2200 * time.Millisecond // for the first command on a connection
	halfPatience  = 2 * time.Second         // for the rest of one that has begun
	mostWrong     = 8                       // wrong commands after which a connection ends
	wrongPause    = 50 * time.Millisecond   // behind the second one and each further one, without a further command
	// leaveCheck is how often a client is looked after whose end is hidden by
	// bytes that stay unread. A client that has gone is worth no attempt 0.1 s later.
	leaveCheck = 40 * time.Millisecond
)

var (
	errSilent   = errors.New("no command came in time")
	errHalf     = errors.New("the command did not become whole in time")
	errWrong    = errors.New("too many wrong commands")
	errNoMemory = errors.New("no memory is left for the command")
	errEnds     = errors.New("the connection takes no further command")
	errEvicted  = fmt.Errorf("%w: it was idle and makes room", errEnds)
	errDrained  = fmt.Errorf("%w: the ingress stops, and it is between requests", errEnds)
	errHalted   = fmt.Errorf("%w: the ingress stops, and it has sent a command", errEnds)
	errFinal    = fmt.Errorf("%w: the process ends", errEnds)
	errCut      = errors.New("the process ends before the command is whole")
	errLeft     = errors.New("the client is gone")
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
	server  *Server
	number  uint64 // in the log
	nc      net.Conn
	opened  time.Time
	wake    chan struct{} // the writer has something to do
	space   chan struct{} // a place for an answer has become free
	written chan struct{} // closed when the writer has ended
	wrong   atomic.Int32  // wrong commands so far

	mu      sync.Mutex
	pending []*slot
	owed    int // answers so far
	used    time.Time
	writing bool // the writer runs, or has run
	asked   bool // has sent a request that could be taken
	heard   bool // has sent a whole command
	sending bool // the writer has answers that it has not written yet
	full    bool // the reader waits for a place
	evicted bool // to be closed to make room, if it is still idle
	drained bool // closes between requests
	halted  bool // takes no further command if it has sent one
	final   bool // reads nothing more
	closing bool // takes no further command, and ends when all is answered
	gone    bool
	failed  error // of the last write
}

func newClient(s *Server, nc net.Conn) *client {
	now := time.Now()
	return &client{server: s, number: s.lastClient.Add(1), nc: nc, opened: now, used: now, wake: make(chan struct{}, 1),
		space: make(chan struct{}, 1), written: make(chan struct{})}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// standing tells how much a connection matters.
type standing struct {
	asked bool
	used  time.Time
}

func (s standing) before(o standing) bool {
	if s.asked != o.asked {
		return o.asked
	}
	return s.used.Before(o.used)
}

// standing tells too whether the connection may be closed now.
func (c *client) standing(now time.Time) (s standing, closable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := silentLeast
	if c.asked {
		least = idleLeast
	}
	return standing{c.asked, c.used},
		len(c.pending) == 0 && !c.sending && !c.closing && !c.drained && !c.evicted && now.Sub(c.used) >= least
}

// nudge makes the reader look up from what it waits for. c.mu is held.
func (c *client) nudge() {
	c.nc.SetReadDeadline(longAgo)
}

// startWriter starts the writer with the first that it has to do: most
// connections of bad clients never give it anything.
func (c *client) startWriter() {
	if !c.writing {
		c.writing = true
		go c.write()
	}
}

// fill gives a slot its answer. It does not block.
func (c *client) fill(s *slot, data []byte) {
	c.mu.Lock()
	if c.gone {
		c.mu.Unlock()
		return
	}
	c.server.loop.memory.force(len(data)) // until it is written
	s.data, s.filled = data, true
	first := len(c.pending) > 0 && c.pending[0] == s
	c.mu.Unlock()
	if first {
		notify(c.wake)
	}
}

// push appends a slot. The reader has seen to it that there is a place.
func (c *client) push(s *slot) {
	c.mu.Lock()
	c.pending = append(c.pending, s)
	c.owed++
	c.asked, c.heard = c.asked || s.request != nil, true
	c.startWriter()
	stays := c.evicted
	c.evicted = false
	c.mu.Unlock()
	if stays {
		c.server.stays()
	}
}

// abandoned returns the requests that still waited for an answer.
func (c *client) abandoned() (open []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending {
		if s.request != nil && !s.filled {
			open = append(open, s.request)
		}
		c.server.loop.memory.give(len(s.data))
	}
	c.pending = nil
	return open
}

// read takes commands until the client leaves, or sends what can't be read.
func (c *client) read() {
	c.server.cfg.Log.ClientOpened(c.number)
	err := c.take()
	switch {
	case errors.Is(err, errLeft):
	case errors.Is(err, errCut):
		c.reply(c.server.busy())
		c.finish()
	case errors.Is(err, errEnds):
		c.finish()
	default:
		c.refuse(err)
		c.finish()
	}
	c.logClose(err)
	c.nc.Close()
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	notify(c.wake)
	c.server.loop.post(func(l *loop) { l.gone(c) })
	c.server.remove(c)
}

// input is what the reader has read and not started yet.
type input struct {
	buf  []byte
	came arrivals  // when its bytes did
	rest time.Time // by when what has begun has to be whole; zero: nothing has
	hold time.Time // no command is started before
	full bool      // none is started until the writer has made a place
}

// take starts the commands as they come. While none may be started it reads on,
// as far as there is room: a client that leaves meanwhile must be noticed.
func (c *client) take() error {
	// A client that says nothing, or half a command and no more, would keep
	// its descriptor for good.
	in := input{buf: make([]byte, 0, readBuffer), rest: c.opened.Add(firstPatience)}
	defer func() { c.server.loop.memory.give(cap(in.buf) - readBuffer) }()
	for {
		held, err := c.commands(&in)
		if err != nil {
			return err
		}
		if err := c.ends(&in, held); err != nil {
			return err
		}
		if len(in.buf) == cap(in.buf) || held && c.readsNoMore() {
			if !c.stand(&in) {
				return errLeft
			}
			continue
		}
		n, err := c.nc.Read(in.buf[len(in.buf):cap(in.buf)])
		now := time.Now()
		switch {
		case n > 0:
			in.buf = in.buf[:len(in.buf)+n]
			in.came.add(n, now)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errLeft, err)
		case in.rest.IsZero() || now.Before(in.rest):
		case len(in.buf) > 0:
			return errHalf
		default:
			return errSilent
		}
	}
}

// ends tells why the connection is over for the reader, and otherwise sets how
// long it may wait for more. held tells that no command may be started now.
func (c *client) ends(in *input, held bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.pending) == 0 && !c.sending
	switch {
	case held:
	case idle && c.evicted && len(in.buf) == 0: // a command that has begun is use
		return errEvicted
	case c.final && !c.heard && waiting(c.nc): // its first command is here already
		c.nc.SetReadDeadline(time.Now().Add(lastLook))
		return nil
	case c.final && len(in.buf) > 0:
		return errCut
	case c.final:
		return errFinal
	case !c.heard || len(in.buf) > 0: // what a new connection is opened for is still to come
	case c.halted:
		return errHalted
	case idle && c.drained:
		return errDrained
	}
	until := in.rest
	switch {
	case !held:
	case !in.full:
		until = in.hold
	case !c.full: // the writer has made a place meanwhile
		until = longAgo
	}
	c.nc.SetReadDeadline(until)
	return nil
}

// readsNoMore tells that nothing is read but what has been read already.
func (c *client) readsNoMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final
}

// stand waits without reading on, until a command may be started again. It
// returns false if the client leaves before.
func (c *client) stand(in *input) bool {
	if in.full {
		return !leaves(c, c.space)
	}
	time.Sleep(time.Until(in.hold))
	return true
}

// refit makes a buffer of what is left of buf, with room to read on, unless
// what is left may not be started yet and there is no memory for more.
func (c *client) refit(buf, rest []byte, held bool) ([]byte, error) {
	memory := c.server.loop.memory
	switch {
	case len(rest) == 0 && cap(buf) > readBuffer:
		memory.give(cap(buf) - readBuffer)
		return make([]byte, 0, readBuffer), nil
	case len(rest) == cap(buf):
		size := min(2*cap(buf), maxMessage+readBuffer)
		switch {
		case size > cap(buf) && memory.take(size-cap(buf)):
			return append(make([]byte, 0, size), rest...), nil
		case held:
			return buf, nil
		}
		return buf, errNoMemory
	}
	return buf[:copy(buf[:cap(buf)], rest)], nil
}

// commands starts all whole commands that may be started, keeps what is left
// of the input, and makes room to read on. held tells that more may be whole.
func (c *client) commands(in *input) (held bool, err error) {
	buf := in.buf
	for len(buf) > 0 {
		var gone bool
		if held, gone = c.barred(in); gone {
			return false, errLeft
		}
		if held {
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
		at := in.came.take(n)
		if len(args) == 0 { // an empty array asks for nothing
			continue
		}
		wrong := c.command(args, n, at)
		if wrong == nil {
			continue
		}
		// Bounded for each connection, so that who sends nonsense as fast as
		// it is turned away leaves the CPU to the others.
		times := c.wrong.Add(1)
		if times >= mostWrong {
			return false, errWrong
		}
		c.refuse(wrong)
		if times > 1 {
			in.hold = time.Now().Add(wrongPause)
		}
	}
	switch begun := len(buf) > 0 && !held; {
	case begun && (in.rest.IsZero() || len(buf) < len(in.buf)):
		in.rest = time.Now().Add(halfPatience)
	case !begun && c.known():
		in.rest = time.Time{}
	}
	in.buf, err = c.refit(in.buf, buf, held)
	return held, err
}

// barred tells that no command may be started now: wrong ones have come before,
// or there is no place for one more answer. Then the writer wakes the reader
// when there is.
func (c *client) barred(in *input) (held, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = len(c.pending) >= mostPending
	in.full = c.full
	return c.full || !c.final && !in.hold.IsZero() && time.Now().Before(in.hold), c.gone
}

// known tells whether the client has sent a whole command.
func (c *client) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// command starts a command, or tells what is wrong with it.
func (c *client) command(args [][]byte, size int, at time.Time) (wrong error) {
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
	memory := c.server.loop.memory
	if !memory.take(size) {
		// Nothing has run; holding more would end the whole process.
		c.reply(c.server.busy())
		return nil
	}
	cmd.args = own(args, size)
	limit := min(cmd.limit, c.server.cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, from: c, deadline: at.Add(limit - min(answerMargin, limit/marginPart))}
	r.slot = &slot{request: r}
	c.push(r.slot)
	c.server.loop.post(func(l *loop) { l.request(r) })
	return nil
}

// own copies the parts out of the read buffer.
func own(args [][]byte, size int) [][]byte {
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
	c.server.loop.memory.force(len(data))
	notify(c.wake)
}

// refuse answers what is no valid request.
func (c *client) refuse(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// write sends the answers in order.
func (c *client) write() {
	defer close(c.written)
	var out []byte
	for range c.wake {
		c.mu.Lock()
		out = out[:0]
		n := 0
		for n < len(c.pending) && c.pending[n].filled {
			out = append(out, c.pending[n].data...)
			n++
		}
		c.pending = c.pending[n:]
		if c.sending = n > 0; c.sending {
			c.used = time.Now()
		}
		empty := len(c.pending) == 0
		if empty {
			c.pending = nil
		}
		if c.sending && c.full {
			c.full = false
			c.nudge()
		}
		last, gone := empty && c.closing, c.gone
		c.mu.Unlock()
		notify(c.space)
		if gone {
			c.server.loop.memory.give(len(out))
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.nc.Write(out)
			c.server.loop.memory.give(len(out))
			c.mu.Lock()
			c.sending, c.gone, c.failed = false, c.gone || err != nil, err
			if (c.drained || c.evicted) && len(c.pending) == 0 && !c.closing {
				c.nudge() // the connection may be between requests
			}
			c.mu.Unlock()
			if err != nil {
				c.nc.Close() // the reader notices
				notify(c.space)
				return
			}
			if cap(out) > maxMessage {
				out = nil
			}
		}
		if last {
			c.nc.(*net.TCPConn).CloseWrite()
			c.nc.SetReadDeadline(longAgo) // wakes the reader
			return
		}
	}
}

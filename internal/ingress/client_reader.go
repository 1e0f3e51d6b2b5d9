package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"cedarseam/internal/eventlog"
)

// The reader of a client's connection: it parses commands, starts them, and notices when the
// client disconnects.

const (
	// finalReadTimeout bounds the read of a first command that is already in the
	// socket's receive buffer at the end of a shutdown. The goroutine that reads
	// may be scheduled late, so the deadline leaves it some time.
	finalReadTimeout = 50 * time.Millisecond
	// maxPipelinedCommands is how many commands of a connection may be open at a time.
	// Further ones wait in the read buffer.
	maxPipelinedCommands = 128
	// minReadWait is how long a read takes at least if it had to wait for its bytes.
	minReadWait = time.Millisecond
	// maxFullTime is how long the read buffer may be full, with commands that may not be
	// started, before they are refused. Until then a client that sends faster than it is
	// answered is slowed down.
	maxFullTime = 40 * time.Millisecond
	// maxMemoryWait is how long a command waits for memory for the rest of it.
	maxMemoryWait = 500 * time.Millisecond
	// maxFruitlessWaits is how many waits of a part of maxFullTime without a free slot close a
	// connection with many answers due. One may be long only because the process was held up.
	maxFruitlessWaits = 2
	// maxPendingAnswers is how many answers of a connection may be due, with those to commands
	// that were refused for a full read buffer.
	maxPendingAnswers = 1024
	// firstCommandTimeout is how long a new connection may take to send its first
	// command.
	firstCommandTimeout = 2200 * time.Millisecond
	// partialCommandTimeout is how long the rest of a command may take to arrive.
	partialCommandTimeout = 2 * time.Second
	// maxInvalidCommands is how many invalid commands close a connection.
	maxInvalidCommands = 8
	// invalidCommandDelay is how long no command is started after the second and
	// each further invalid command of a connection.
	invalidCommandDelay = 50 * time.Millisecond
)

// The reasons for which the reader stops. errClientDisconnected and those that wrap
// errServerClose close the connection without an error reply, errIncompleteCommand
// is answered with BUSY, and the text of any other one is sent to the client.
var (
	errFirstCommandTimeout    = errors.New("no command came in time")
	errPartialCommandTimeout  = errors.New("the command did not become whole in time")
	errTooManyInvalidCommands = errors.New("too many wrong commands")
	errTooManyCommands        = errors.New("too many commands without an answer")
	errNoMemory               = errors.New("no memory is left for the command")
	errNoInputMemory          = fmt.Errorf("%w: its read buffer can't grow", errNoMemory)
	errServerClose            = errors.New("the connection accepts no further commands")
	errEvicted                = fmt.Errorf("%w: evicted while idle to make room for a new connection", errServerClose)
	errDraining               = fmt.Errorf("%w: the ingress is draining and no request is open", errServerClose)
	errAboveLimit             = fmt.Errorf("%w: opened above the limit of connections, and no request is open", errServerClose)
	errFirstCommandOnly       = fmt.Errorf("%w: the ingress is draining and the connection has already sent a command", errServerClose)
	errReadingStopped         = fmt.Errorf("%w: the ingress has stopped reading", errServerClose)
	errIncompleteCommand      = errors.New("the ingress stopped reading before the command was complete")
	errClientDisconnected     = errors.New("client disconnected")
)

// input holds the bytes that the reader has read and not yet parsed into commands.
type input struct {
	buf          []byte
	arrivals     arrivals    // when the bytes of buf arrived
	completeBy   time.Time   // when the next command has to be complete; zero: no limit
	blockedUntil time.Time   // no command is started before this time
	pipelineFull bool        // no command is started until the writer has freed a slot
	checkedAt    time.Time   // when the client was last seen to be connected
	fullSince    time.Time   // since when the buffer is full or more bytes wait; zero: neither
	slices       inputSlices // of the reader's work
	// fruitlessWaits is how many waits in a row, while the buffer was full, freed no slot.
	fruitlessWaits int
}

// readCommands reads and starts commands as they arrive, and returns the reason why
// it stops. While no command may be started it goes on reading, in order to detect a client
// that disconnects. Commands for which the buffer has no room are refused.
func (c *client) readCommands() error {
	// Without a limit, a client that sends nothing, or only part of a command,
	// would hold its file descriptor forever.
	in := input{buf: make([]byte, 0, readBufferBytes), completeBy: c.opened.Add(firstCommandTimeout),
		slices: newInputSlices(c.server.inputPacer)}
	defer func() { c.server.loop.memory.release(inputMemory, cap(in.buf)-readBufferBytes) }()
	c.expectReceived(&in)
	for {
		blocked, err := c.startCommands(&in)
		if err != nil {
			return err
		}
		in.slices.pause()
		if err := c.prepareRead(&in, blocked); err != nil {
			return err
		}
		if blocked && c.isReadingStopped() {
			if !c.waitUnblocked(&in) {
				return errClientDisconnected
			}
			continue
		}
		if len(in.buf) == cap(in.buf) {
			if err := c.handleFullBuffer(&in); err != nil {
				return err
			}
			continue
		}
		room := in.buf[len(in.buf):cap(in.buf)]
		begin := time.Now()
		n, waited, err := readOrWait(c.nc, room)
		now := time.Now()
		if waited {
			in.slices.waited(now)
			if n > 0 {
				c.markSeen(now) // its bytes have just begun to come
			}
		}
		in.slices.read(n)
		if n > 0 && now.Sub(begin) >= minReadWait {
			in.checkedAt = now // the bytes have come just now, so the client is connected
		}
		if n < len(room) {
			in.fullSince = time.Time{} // all that had arrived is read
		}
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

// readOrWait reads from a connection, and reports whether it had to wait for bytes.
func readOrWait(nc net.Conn, buf []byte) (n int, waited bool, err error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = readNonblocking(int(fd), buf)
		if errors.Is(readErr, syscall.EAGAIN) {
			waited = true
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, waited, err
	case readErr != nil:
		return 0, waited, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, waited, io.EOF
	}
	return n, waited, nil
}

// prepareRead returns the reason to stop reading. If there is none, it sets the read
// deadline for the next read. blocked means that no command may be started now.
func (c *client) prepareRead(in *input, blocked bool) error {
	c.notePartialCommand(len(in.buf) > 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.pending) == 0 && !c.sending
	switch {
	case blocked:
	case idle && c.evicted && !c.partialCommand:
		return errEvicted
	case c.readingStopped && !c.sentCommand && hasUnreadBytes(c.nc): // the first command has already arrived
		c.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
		return nil
	case c.readingStopped && len(in.buf) > 0:
		return errIncompleteCommand
	case c.readingStopped:
		return errReadingStopped
	case !c.sentCommand || len(in.buf) > 0: // the first or a partial command is still to come
	case c.firstCommandOnly:
		return errFirstCommandOnly
	case idle && c.draining:
		return errDraining
	case idle && c.aboveLimit:
		return errAboveLimit
	}
	deadline := in.completeBy
	switch {
	case !blocked:
	case !in.pipelineFull:
		deadline = in.blockedUntil
	case !c.pipelineFull: // the writer has freed a slot since
		deadline = expiredDeadline
	}
	c.nc.SetReadDeadline(deadline)
	return nil
}

// notePartialCommand records whether a part of a command has been read, which keeps the
// connection in use: it cancels an eviction, so that another connection is evicted in its place.
func (c *client) notePartialCommand(partial bool) {
	c.mu.Lock()
	c.partialCommand = partial
	evictionCancelled := partial && c.evicted
	c.evicted = c.evicted && !partial
	c.mu.Unlock()
	if evictionCancelled {
		c.server.cancelEviction()
	}
}

// isReadingStopped reports whether nothing more is read from the connection. Commands
// that are already in the buffer are still started.
func (c *client) isReadingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readingStopped
}

// waitUnblocked waits, without reading, until a command may be started again. It
// returns false if the client disconnects first.
func (c *client) waitUnblocked(in *input) bool {
	begin, reason := time.Now(), "delay after an invalid command"
	var disconnected bool
	if in.pipelineFull {
		reason = "full pipeline"
		disconnected = peerClosedBefore(c, c.slotFreed)
	} else {
		disconnected = peerClosedBefore(c, time.After(time.Until(in.blockedUntil)))
	}
	if log := c.server.cfg.Log; log.Detailed() {
		log.CommandsBlocked(eventlog.CommandsBlocked{Client: c.id, Reason: reason, Waited: time.Since(begin),
			Buffered: len(in.buf), Disconnected: disconnected || peerClosed(c.nc)})
	}
	return !disconnected
}

// handleFullBuffer waits until a command may be started again, while the read buffer is full.
// If that takes too long, it refuses the commands in the buffer, as far as the connection may
// have more answers due. A client that fills that too, and is not answered, is an error.
func (c *client) handleFullBuffer(in *input) error {
	now := time.Now()
	if in.fullSince.IsZero() {
		in.fullSince, in.fruitlessWaits = now, 0
	}
	if now.Sub(in.fullSince) >= maxFullTime && c.pendingAnswers() < maxPendingAnswers/2 {
		in.fruitlessWaits = 0
		err := c.refuseBuffered(in)
		if !errors.Is(err, errNoInputMemory) || now.Sub(in.fullSince) >= maxMemoryWait {
			return err
		}
	}
	if in.fruitlessWaits >= maxFruitlessWaits {
		return errTooManyCommands
	}
	select {
	case <-c.slotFreed:
		in.fruitlessWaits = 0
	case <-time.After(maxFullTime / maxFruitlessWaits):
		in.fruitlessWaits++
	}
	if c.hasDisconnected(in) {
		return errClientDisconnected
	}
	return nil
}

// refuseBuffered refuses the complete commands in a full read buffer while no command may be
// started. If they stayed there, the bytes behind them would stay unread: the time of their
// requests would not be counted, and a close behind more bytes than the system holds would
// not arrive.
func (c *client) refuseBuffered(in *input) error {
	remaining, err := c.refuseCommands(in)
	if err != nil {
		return err
	}
	if len(remaining) == len(in.buf) {
		return errNoInputMemory // for the rest of the first command
	}
	in.buf = c.resizeBuffer(in.buf, remaining)
	return nil
}

// refuseCommands refuses the complete commands in the read buffer, as far as the connection
// may have more answers due, and returns the bytes behind them.
func (c *client) refuseCommands(in *input) (remaining []byte, err error) {
	remaining = in.buf
	for len(remaining) > 0 && c.pendingAnswers() < maxPendingAnswers {
		args, n, err := nextCommand(remaining)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		remaining = remaining[n:]
		in.arrivals.consume(n)
		if len(args) == 0 { // an empty array is no command
			continue
		}
		if err := c.refuseCommand(args); err != nil {
			return nil, err
		}
	}
	return remaining, nil
}

// refuseCommand answers a command without starting it. It returns an error if the connection
// is to be closed.
func (c *client) refuseCommand(args [][]byte) error {
	if equalFold(args[0], "PING") {
		return c.replyWithinLimit(c.pingReply())
	}
	if _, err := c.server.cfg.parseCommand(args); err != nil {
		_, err = c.rejectInvalid(err)
		return err
	}
	return c.replyWithinLimit(c.server.busyReply())
}

// pendingAnswers returns the number of commands that have not been answered.
func (c *client) pendingAnswers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// rejectInvalid answers an invalid command with the reason why it is invalid, and counts it.
// Invalid commands are limited for each connection: a client that sends them as fast as they
// are rejected would take the CPU from the others.
func (c *client) rejectInvalid(invalid error) (count int32, err error) {
	count = c.invalidCommands.Add(1)
	if count >= maxInvalidCommands {
		return count, errTooManyInvalidCommands
	}
	c.replyError(invalid)
	return count, nil
}

// pingReply returns the answer to a PING.
func (c *client) pingReply() []byte {
	if c.server.loop.ready.Load() {
		return redcon.AppendString(nil, "PONG")
	}
	return redcon.AppendError(nil, "ERR no backend is known")
}

// resizeBuffer returns a buffer that holds the remaining bytes of buf and has room
// for the next read. A full buffer that cannot grow, because it has its maximum size or
// there is no memory, stays full.
func (c *client) resizeBuffer(buf, remaining []byte) []byte {
	budget := c.server.loop.memory
	switch {
	case len(remaining) == 0 && cap(buf) > readBufferBytes:
		budget.release(inputMemory, cap(buf)-readBufferBytes)
		return make([]byte, 0, readBufferBytes)
	case len(remaining) == cap(buf):
		size := min(2*cap(buf), maxMessageBytes+readBufferBytes)
		if size > cap(buf) && budget.reserve(inputMemory, size-cap(buf)) {
			return append(make([]byte, 0, size), remaining...)
		}
		return buf
	}
	return buf[:copy(buf[:cap(buf)], remaining)]
}

// startCommands starts all complete commands that may be started, keeps the rest of
// the input, and makes room for the next read. blocked means that the rest may hold
// complete commands that may not be started yet.
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
		if c.hasDisconnected(in) {
			return false, errClientDisconnected
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
		if len(args) == 0 { // an empty array is no command
			continue
		}
		if now := time.Now(); in.slices.overrun(now) || !c.isPresent(now) {
			if err := c.refuseCommand(args); err != nil {
				return false, err
			}
			continue
		}
		invalid := c.startCommand(args, n, arrivedAt)
		if invalid == nil {
			continue
		}
		count, err := c.rejectInvalid(invalid)
		if err != nil {
			return false, err
		}
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
	in.buf = c.resizeBuffer(in.buf, buf)
	return blocked, nil
}

// commandsBlocked reports whether no command may be started now, either because of
// the delay after an invalid command or because the pipeline is full, and whether the
// connection is closed. When the pipeline is full, the writer wakes the reader as soon
// as it has freed a slot.
func (c *client) commandsBlocked(in *input) (blocked, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelineFull = len(c.pending) >= maxPipelinedCommands
	in.pipelineFull = c.pipelineFull
	return c.pipelineFull ||
		!c.readingStopped && !in.blockedUntil.IsZero() && time.Now().Before(in.blockedUntil), c.closed
}

// hasSentCommand reports whether the client has sent a complete command.
func (c *client) hasSentCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentCommand
}

// startCommand answers a PING, or hands a request to the loop. It returns an error,
// worded for the client, if the command is invalid. size is the command's length in
// bytes, and arrivedAt is when its last byte arrived.
func (c *client) startCommand(args [][]byte, size int, arrivedAt time.Time) (invalid error) {
	if equalFold(args[0], "PING") {
		c.reply(c.pingReply())
		return nil
	}
	cmd, err := c.server.cfg.parseCommand(args)
	if err != nil {
		return err
	}
	if !c.server.loop.memory.reserveRequest(size) {
		// The request has not been started, so the client may retry it. Holding
		// more requests could run the process out of memory.
		c.reply(c.server.busyReply())
		return nil
	}
	cmd.args = copyArgs(args, size)
	timeLimit := min(cmd.timeLimit, c.server.cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, client: c, arrived: arrivedAt, started: time.Now(),
		deadline: arrivedAt.Add(timeLimit - min(maxDeadlineMargin, timeLimit/deadlineMarginDivisor))}
	r.slot = &slot{request: r, reserved: slotOverheadBytes + shortAnswerBytes}
	c.push(r.slot)
	c.server.loop.post(func(l *loop) { l.startRequest(r) })
	return nil
}

// copyArgs copies the arguments out of the read buffer into one allocation.
func copyArgs(args [][]byte, size int) [][]byte {
	block := make([]byte, 0, size)
	for i, a := range args {
		at := len(block)
		block = append(block, a...)
		args[i] = block[at:len(block):len(block)]
	}
	return args
}

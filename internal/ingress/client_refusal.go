package ingress

import (
	"errors"
	"os"
	"slices"
	"time"
)

// The refusal of commands that arrive on a connection after the decision to close it. As long
// as they stay unread, the client can tell that they were not accepted. But a close behind
// more unread bytes than the system holds does not arrive, and the requests of a client that
// has gone would go on.

// maxUnreadBytes is how many bytes may stay unread while requests are open. It is well below
// the size of a receive buffer, so that a close behind fewer bytes arrives.
const maxUnreadBytes = 16 << 10

// disconnectsBehindUnread waits until the answers that are due are written, and reports
// whether the client disconnected first. What the client sends stays unread, unless a close
// behind it might not arrive.
func (c *client) disconnectsBehindUnread() bool {
	if c.waitReadable() {
		return true
	}
	check := time.NewTicker(peerCloseCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-c.writerDone:
			return false
		case <-check.C:
		}
		if peerClosed(c.nc) {
			return true
		}
		if !c.hidesClose() || !c.postponeClosing() {
			continue
		}
		err := c.refuseReceived()
		c.resumeClosing()
		switch {
		case errors.Is(err, errClientDisconnected):
			return true
		case err != nil:
			return c.discardUntilWritten()
		}
	}
}

// postponeClosing keeps the writer from closing the sending direction after the answers that
// are due now: commands that are read must be answered. It returns false if no command may be
// read, since no request is open or reading has stopped.
func (c *client) postponeClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusalOver() {
		return false
	}
	c.closing = false
	return true
}

// resumeClosing makes the writer close the sending direction after the last answer.
func (c *client) resumeClosing() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	notify(c.writerWake)
}

// refusalOver reports whether nothing more has to be read in order to notice a close. The
// caller holds c.mu.
func (c *client) refusalOver() bool {
	return c.readingStopped || !slices.ContainsFunc(c.pending, func(s *slot) bool { return !s.filled })
}

// refuseReceived reads what has arrived, and refuses the commands in it. After an error that
// has been answered, what follows can't be understood as commands.
func (c *client) refuseReceived() error {
	in := input{buf: make([]byte, 0, readBufferBytes)}
	defer func() { c.server.loop.memory.release(inputMemory, cap(in.buf)-readBufferBytes) }()
	err := c.refuseUntilDrained(&in)
	switch {
	case err == nil, errors.Is(err, errClientDisconnected):
	case errors.Is(err, errIncompleteCommand):
		c.reply(c.server.busyReply())
	default:
		c.replyError(err)
	}
	return err
}

// refuseUntilDrained reads and refuses commands until all that has arrived is read and no
// command is incomplete.
func (c *client) refuseUntilDrained(in *input) error {
	slices := newInputSlices(c.server.inputPacer)
	for {
		slices.pause()
		if over := c.setRefusalDeadline(in); over && len(in.buf) > 0 {
			return errIncompleteCommand
		} else if over {
			return nil
		}
		room := in.buf[len(in.buf):cap(in.buf)]
		n, err := c.nc.Read(room)
		switch {
		case n > 0:
			slices.read(n)
			in.buf = in.buf[:len(in.buf)+n]
			in.arrivals.add(n, time.Now())
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue // setRefusalDeadline finds the reason
		default:
			return errClientDisconnected
		}
		remaining, err := c.refuseCommands(in)
		if err != nil {
			return err
		}
		if c.pendingAnswers() >= maxPendingAnswers {
			return errTooManyCommands
		}
		if in.buf = c.resizeBuffer(in.buf, remaining); len(in.buf) == cap(in.buf) {
			return errNoInputMemory
		}
		if len(in.buf) == 0 && n < len(room) {
			return nil
		}
	}
}

// setRefusalDeadline sets the deadline of the next read. It returns true if nothing more is
// to be read: the refusal is over, or the rest of a command has not arrived in time.
func (c *client) setRefusalDeadline(in *input) (over bool) {
	now := time.Now()
	switch {
	case len(in.buf) == 0:
		in.completeBy = time.Time{}
	case in.completeBy.IsZero():
		in.completeBy = now.Add(partialCommandTimeout)
	case !now.Before(in.completeBy):
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusalOver() {
		return true
	}
	c.nc.SetReadDeadline(now.Add(peerCloseCheckInterval))
	return false
}

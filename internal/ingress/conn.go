package ingress

import (
	"cmp"
	"container/list"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"cedarseam/choice"
)

const (
	readBufferBytes     = 4 << 10
	idleTimeoutFraction = 0.6 // of the time after which a backend closes an idle connection
	// partialAnswerTimeout is how long an answer that has begun may stay without its
	// end, twice: a read that was late itself must not count.
	partialAnswerTimeout = 150 * time.Millisecond
)

// expiredDeadline is a deadline that wakes whatever waits on a connection.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection to a backend. It carries one attempt at a time: answers
// come in order, and giving one up closes the connection.
type conn struct {
	nc      net.Conn
	backend *backend
	pool    *pool

	idleSince       time.Time     // when it carried its last answer; the loop's
	idleElement     *list.Element // among the idle connections of the pool; the loop's
	partialTimeouts int           // deadlines that the answer now coming has passed; only the reader's

	mu       sync.Mutex
	current  *attempt
	unusable bool
}

// closeAsync closes an idle connection, by way of its reader.
func (c *conn) closeAsync() { c.nc.SetReadDeadline(expiredDeadline) }

// send writes the attempt. It returns false if the connection had closed
// before the first byte; else the reader ends the attempt.
func (c *conn) send(a *attempt) bool {
	c.mu.Lock()
	if c.unusable || !c.nothingToRead() {
		c.mu.Unlock()
		c.closeAsync()
		return false
	}
	c.current = a
	c.mu.Unlock()
	defer close(a.writeDone)
	a.mu.Lock()
	// The last look before the first byte: a backend that was told to drain
	// while the attempt waited for its connection must get nothing new, and
	// none gets what is for nobody any more.
	if a.aborted || a.requestFinished || a.backend.unavailable.Load() {
		a.mu.Unlock()
		c.closeAsync()
		return true
	}
	a.conn = c
	c.nc.SetDeadline(a.deadline)
	a.mu.Unlock()
	message := a.encodeCommand()
	n, _ := c.nc.Write(message)
	a.fullyWritten = n == len(message)
	if !a.fullyWritten {
		c.closeAsync()
	}
	return true
}

// nothingToRead tells that nothing waits to be read. The reader of an idle connection
// may not have seen yet what came a moment ago, an end or a second copy of the
// last answer; written to such a connection, a payment would be lost.
func (c *conn) nothingToRead() bool { return !readReturnsAtOnce(c.nc) }

// hasUnreadBytes tells whether bytes wait to be read.
func hasUnreadBytes(nc net.Conn) bool {
	n, err := peek(nc)
	return n > 0 && err == nil
}

// readReturnsAtOnce tells whether a read would return at once: bytes wait, or the
// connection has ended or failed.
func readReturnsAtOnce(nc net.Conn) bool {
	_, err := peek(nc)
	return !errors.Is(err, syscall.EAGAIN)
}

// peek looks at the next byte without taking it, and does not wait for it.
func peek(nc net.Conn) (n int, err error) {
	syscallConn, ok := nc.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, cmp.Or(err, recvErr)
}

// setPartialAnswerDeadline limits the wait for the rest of an answer that has begun.
func (c *conn) setPartialAnswerDeadline(a *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return
	}
	deadline := time.Now().Add(partialAnswerTimeout)
	if deadline.After(a.deadline) {
		deadline = a.deadline
	}
	c.nc.SetReadDeadline(deadline)
}

// readAnswers takes the answers until the connection ends, and ends each attempt. It
// also notices when an idle connection closes or has been idle for too long.
func (c *conn) readAnswers() {
	buf := make([]byte, 0, readBufferBytes)
	for {
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		c.mu.Lock()
		a := c.current
		c.unusable = a == nil // closed, idle for too long, or speaking out of turn
		c.mu.Unlock()
		if a == nil {
			c.close(idleCloseReason(n, err))
			c.pool.onIdleClose(c)
			return
		}
		<-a.writeDone // an answer may be here before the writer has gone on
		if n > 0 {
			answer, parsed, parseErr := c.pool.cfg.nextReply(buf)
			if parseErr == nil && parsed > 0 {
				if err == nil && a.fullyWritten && parsed == len(buf) && c.makeIdle(a) {
					buf = buf[:0]
					if cap(buf) > readBufferBytes {
						buf = make([]byte, 0, readBufferBytes)
					}
					a.finish(answer, c)
					continue
				}
				c.close("its answer was not the last that came, or it was given up")
				a.finish(answer, nil)
				return
			}
			if parseErr != nil {
				err = parseErr
			} else if len(buf) == cap(buf) {
				buf = slices.Grow(buf, len(buf))
			}
		}
		if err == nil {
			if c.partialTimeouts == 0 {
				c.partialTimeouts = 1
				c.setPartialAnswerDeadline(a)
			}
			continue
		}
		status := a.unsentStatus()
		if a.fullyWritten {
			status = a.statusAfterError(err)
		}
		if status == choice.OK {
			if c.partialTimeouts == 0 {
				continue
			}
			if c.partialTimeouts == 1 {
				c.partialTimeouts = 2
				c.setPartialAnswerDeadline(a)
				continue
			}
			// It has the request and will not say more of it: the client's time
			// is worth more than the hope for the rest.
			status = choice.Error
		}
		// Closed before the outcome is told: a second attempt must not overlap.
		c.close(status.String())
		a.finish(reply{status: status}, nil)
		return
	}
}

// idleCloseReason tells why a connection ends on which no attempt is out.
func idleCloseReason(n int, err error) string {
	switch {
	case n > 0:
		return "it spoke out of turn"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "idle for too long, or not to be kept"
	}
	return err.Error()
}

// statusAfterError tells what the end of its connection makes of an attempt that was
// written whole. OK means that it goes on: the deadline of the idle connection
// passed just before.
func (a *attempt) statusAfterError(err error) choice.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.aborted:
		return choice.Cancelled
	case errors.Is(err, errMalformed), errors.Is(err, errTooLong):
		return choice.Error // the backend lives and has run it
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return choice.Reset
	case time.Now().Before(a.deadline):
		return choice.OK
	}
	return choice.Timeout
}

// makeIdle makes the connection idle again. It returns false if the attempt has
// been aborted, which closes the connection.
func (c *conn) makeIdle(a *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	if a.aborted {
		return false
	}
	c.partialTimeouts = 0
	// Well before the backend closes it: a request written to a connection
	// that the backend has closed ends as a reset, which an unsafe request
	// cannot repeat.
	c.nc.SetReadDeadline(time.Now().Add(time.Duration(idleTimeoutFraction * float64(c.pool.cfg.backendIdleTimeout))))
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	return true
}

// close ends the connection. The reason is for the log.
func (c *conn) close(reason string) {
	c.pool.cfg.Log.BackendClosed(c.backend.name, reason)
	c.nc.Close()
	c.pool.openConns.Add(-1)
}

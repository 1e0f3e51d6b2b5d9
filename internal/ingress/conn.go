package ingress

import (
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cedarseam/choice"
)

const (
	readBufferBytes     = 4 << 10
	idleTimeoutFraction = 0.6 // of the time after which a backend closes an idle connection
	// partialAnswerTimeout limits the wait for the rest of an answer that has begun. The
	// attempt fails after two such timeouts, as the first may have expired only because
	// the reader was scheduled late.
	partialAnswerTimeout = 150 * time.Millisecond
)

// errNoReplyMemory means that an answer is given up because it is long and the memory budget
// has no room for it.
var errNoReplyMemory = errors.New("no memory is left for the answer")

// expiredDeadline is a deadline in the past. It ends pending I/O on a connection at once.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection to a backend. It carries one attempt at a time: answers arrive in
// the order of the requests, so an attempt is aborted by closing its connection.
type conn struct {
	nc      net.Conn
	backend *backend
	pool    *pool

	idleSince        time.Time       // time of its last answer; only used by the loop
	idleElement      *list.Element   // its element in pool.idleConns; only used by the loop
	partialDeadlines int             // number set for the current answer; only used by the reader
	raw              syscall.RawConn // of nc; only used by the reader

	mu       sync.Mutex
	current  *attempt // nil while the connection is idle
	unusable bool     // the reader is about to close the connection
}

// closeAsync makes the reader close the connection. It does not block.
func (c *conn) closeAsync() { c.nc.SetReadDeadline(expiredDeadline) }

// send writes the command of the attempt. It returns false if the connection could not be
// used and nothing was written; otherwise the reader finishes the attempt.
func (c *conn) send(a *attempt) bool {
	if !a.awaitClient() {
		a.cancelUnsent()
	}
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
	// The last check before the first byte: a backend may have started to drain while
	// the attempt waited for its connection, and must not get new requests then. Nor
	// may a request be sent that has ended, or whose client may have gone.
	a.requestFinished = a.requestFinished || !a.hasClient()
	if a.aborted || a.requestFinished || a.backend.unavailable.Load() {
		a.mu.Unlock()
		c.closeAsync()
		return true
	}
	a.conn = c
	c.nc.SetDeadline(a.deadline)
	a.mu.Unlock()
	a.fullyWritten = c.writeParts(a.message())
	if !a.fullyWritten {
		c.closeAsync()
	}
	return true
}

// writeParts writes the parts of a message, and reports whether it has written all of them.
func (c *conn) writeParts(parts [][]byte) bool {
	for _, part := range parts {
		if n, _ := c.nc.Write(part); n < len(part) {
			return false
		}
	}
	return true
}

// nothingToRead reports whether a read would wait. The reader of an idle connection may
// not have seen yet what has just arrived, such as the end of the connection or a
// duplicate of the last answer. A request written to such a connection would be lost if
// it must not run twice.
func (c *conn) nothingToRead() bool { return !readReturnsAtOnce(c.nc) }

// hasUnreadBytes reports whether received bytes wait to be read.
func hasUnreadBytes(nc net.Conn) bool {
	n, err := peek(nc)
	return n > 0 && err == nil
}

// readReturnsAtOnce reports whether a read would return at once: bytes have been
// received, or the connection has ended or failed.
func readReturnsAtOnce(nc net.Conn) bool {
	_, err := peek(nc)
	return !errors.Is(err, syscall.EAGAIN)
}

// peek reads the next byte without consuming it. It does not wait, and returns EAGAIN if
// there is none.
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

// read waits for the next bytes, and returns the attempt that was in flight when they were
// taken from the socket. If there was none, the connection has been closed, has been idle
// for too long, or sends unexpected bytes, and becomes unusable.
//
// The lock is held while the bytes are taken: otherwise send could start an attempt between
// that and the look at the current attempt, and bytes that came before its request would
// count as its answer.
func (c *conn) read(buf []byte) (n int, a *attempt, err error) {
	if c.raw == nil {
		if c.raw, err = c.nc.(syscall.Conn).SyscallConn(); err != nil {
			return 0, c.attemptForRead(), err
		}
	}
	taken := false
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, readErr = readNonblocking(int(fd), buf)
		if errors.Is(readErr, syscall.EAGAIN) {
			return false
		}
		taken, a = true, c.current
		c.unusable = a == nil
		return true
	})
	switch {
	case !taken: // the deadline has passed, or the connection is closed
		return 0, c.attemptForRead(), err
	case readErr != nil:
		return 0, a, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, a, io.EOF
	}
	return n, a, nil
}

// attemptForRead returns the attempt in flight for a read that has taken no bytes.
func (c *conn) attemptForRead() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unusable = c.current == nil
	return c.current
}

// readNonblocking reads from a file descriptor without waiting. It returns EAGAIN if there
// is nothing to read.
func readNonblocking(fd int, buf []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, buf)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// readAnswers reads answers until the connection ends, and finishes each attempt. It also
// detects that an idle connection was closed or has been idle for too long.
func (c *conn) readAnswers() {
	buf := make([]byte, 0, readBufferBytes)
	defer func() { c.pool.memory.release(replyMemory, cap(buf)-readBufferBytes) }()
	for {
		n, a, err := c.read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if a == nil {
			c.close(idleCloseReason(n, err))
			c.pool.onIdleClose(c)
			return
		}
		<-a.writeDone // an answer may arrive before the writing goroutine continues
		if n > 0 {
			answer, parsed, parseErr := a.parseAnswer(buf)
			answer.form = replyFormOf(buf[0])
			if parsed > 0 && !a.fullyWritten {
				// A backend begins a request when its last byte has come, so these bytes
				// answer something else.
				answer = reply{status: a.unsentStatus(), form: answer.form}
			}
			if parseErr == nil && parsed > 0 {
				c.reserveValue(&answer)
				if err == nil && a.fullyWritten && parsed == len(buf) && c.makeIdle(a) {
					buf = c.resetBuffer(buf)
					a.finish(answer, c)
					continue
				}
				c.close("not reusable: attempt aborted, request incomplete, or bytes or an error after the answer")
				a.finish(answer, nil)
				return
			}
			if parseErr != nil {
				err = parseErr
			} else if len(buf) == cap(buf) && err == nil {
				buf, err = c.growBuffer(buf)
			}
		}
		if err == nil {
			if c.partialDeadlines == 0 {
				c.partialDeadlines = 1
				c.setPartialAnswerDeadline(a)
			}
			continue
		}
		status := a.unsentStatus()
		if a.fullyWritten {
			status = a.statusAfterError(err)
		}
		if status == choice.OK {
			if c.partialDeadlines == 0 {
				continue
			}
			if c.partialDeadlines == 1 {
				c.partialDeadlines = 2
				c.setPartialAnswerDeadline(a)
				continue
			}
			// The backend has the request and has stopped in the middle of its
			// answer. Waiting longer would only use up the client's time.
			status = choice.Error
		}
		// Closed before the outcome is reported: a second attempt must not overlap.
		c.close(cmp.Or(closeReason(err), status.String()))
		form := formNone
		if errors.Is(err, errMalformed) || errors.Is(err, errTooLong) {
			form = formMalformed
		}
		a.finish(reply{status: status, form: form}, nil)
		return
	}
}

// reserveValue reserves memory for the value of an answer. If there is none, the attempt
// counts as given up by the ingress: the backend is not at fault.
func (c *conn) reserveValue(answer *reply) {
	size := max(0, len(answer.value)-shortAnswerBytes)
	if !c.pool.memory.reserve(answerMemory, size) {
		*answer = reply{status: choice.Cancelled, form: answer.form}
		return
	}
	answer.reserved = size
}

// growBuffer returns a larger buffer with the same content, or an error if the answer is
// too long or there is no memory for it.
func (c *conn) growBuffer(buf []byte) ([]byte, error) {
	size := min(2*cap(buf), maxMessageBytes+readBufferBytes)
	switch {
	case size == cap(buf):
		return buf, errTooLong
	case !c.pool.memory.reserve(replyMemory, size-cap(buf)):
		return buf, errNoReplyMemory
	}
	return append(make([]byte, 0, size), buf...), nil
}

// resetBuffer returns an empty buffer of the initial size.
func (c *conn) resetBuffer(buf []byte) []byte {
	if cap(buf) == readBufferBytes {
		return buf[:0]
	}
	c.pool.memory.release(replyMemory, cap(buf)-readBufferBytes)
	return make([]byte, 0, readBufferBytes)
}

// closeReason returns the logged reason for which a connection is closed after a failure of
// its own, and "" for any other error.
func closeReason(err error) string {
	if errors.Is(err, errNoReplyMemory) {
		return err.Error()
	}
	return ""
}

// idleCloseReason returns the logged reason for which an idle connection is closed.
func idleCloseReason(n int, err error) string {
	switch {
	case n > 0:
		return "unexpected bytes while idle"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "idle timeout, or closed by the ingress"
	}
	return err.Error()
}

// statusAfterError returns the status of a fully written attempt whose connection failed
// with err. choice.OK means that the attempt goes on: the error is a deadline earlier than
// the attempt's, that of the idle connection or of a partial answer.
func (a *attempt) statusAfterError(err error) choice.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.aborted, errors.Is(err, errNoReplyMemory):
		return choice.Cancelled
	case errors.Is(err, errMalformed), errors.Is(err, errTooLong):
		return choice.Error // the backend is up and has executed the request
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return choice.Reset
	case time.Now().Before(a.deadline):
		return choice.OK
	}
	return choice.Timeout
}

// makeIdle makes the connection idle after the answer to its attempt. It returns false if
// the attempt has been aborted, and the caller then closes the connection.
func (c *conn) makeIdle(a *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	if a.aborted {
		return false
	}
	c.partialDeadlines = 0
	// The deadline is well before the backend closes the connection: a request written
	// to a closed connection ends in a reset, after which a request that must not run
	// twice cannot be retried.
	c.nc.SetReadDeadline(time.Now().Add(
		time.Duration(idleTimeoutFraction * float64(c.pool.cfg.backendIdleTimeout))))
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	return true
}

// close closes the connection and logs the reason.
func (c *conn) close(reason string) {
	c.pool.cfg.Log.BackendClosed(c.backend.name, reason)
	c.nc.Close()
	c.pool.openConns.Add(-1)
}

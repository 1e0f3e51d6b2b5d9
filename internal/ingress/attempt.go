package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"cedarseam/choice"
)

// attempt is one attempt of a request, or a probe if request is nil.
type attempt struct {
	pool     *pool
	request  *request
	number   int
	backend  *backend
	started  time.Time
	deadline time.Time

	repeatable    bool // may be executed more than once
	dedicatedConn bool // uses a new connection, which is closed afterwards
	reusedConn    bool // uses a connection that was idle

	writeDone    chan struct{} // closed when the write has ended
	fullyWritten bool          // all bytes are written; valid once writeDone is closed

	mu              sync.Mutex
	aborted         bool
	requestFinished bool               // the request has ended or its client may have gone: nothing is sent
	cancelDial      context.CancelFunc // cancels the dial
	conn            *conn              // the connection on which the attempt is in flight
}

// abort stops waiting for the answer. It does not block and does not finish the attempt:
// the goroutine of the connection closes the connection first and then reports the
// outcome, so that no second attempt overlaps this one.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.nc.SetDeadline(expiredDeadline)
	}
}

// cancelUnsent is called when the request has ended, or its client may have gone. It cancels
// the attempt if the attempt still waits for its connection, as no client waits for its answer. Whether an
// attempt in flight is canceled is decided by the gateway.
func (a *attempt) cancelUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestFinished = true
	if a.conn == nil && a.cancelDial != nil {
		a.cancelDial()
	}
}

// awaitClient reports whether a client waits for the answer. It waits for a moment if that is not
// certain. A probe needs no client.
func (a *attempt) awaitClient() bool { return a.request == nil || a.request.client.awaitPresence() }

// hasClient does the same without a wait.
func (a *attempt) hasClient() bool { return a.request == nil || a.request.client.isPresent(time.Now()) }

// unsentStatus returns the status of an attempt that was not fully written.
func (a *attempt) unsentStatus() choice.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requestFinished {
		return choice.CancelledBeforeSend // says nothing about the backend's health
	}
	return choice.ConnectFailed
}

// run executes the attempt on c, or on a new connection if c is nil or unusable.
func (a *attempt) run(c *conn) {
	if c != nil && c.send(a) {
		return // the reader of c finishes the attempt
	}
	nc, err := a.dial()
	if err != nil {
		a.finish(reply{status: a.unsentStatus(), form: formNone}, nil)
		return
	}
	a.runOnConn(&conn{nc: nc, backend: a.backend, pool: a.pool})
}

// runOnConn executes the attempt on a new connection. A backend that accepts no further
// connections may close it, or send an error, before the first byte is written.
func (a *attempt) runOnConn(c *conn) {
	if !c.send(a) {
		c.close("closed, or unexpected bytes received, before the first byte was sent")
		a.finish(reply{status: a.unsentStatus(), form: formNone}, nil)
		return
	}
	c.readAnswers()
}

// errDialNotAllowed is returned by dial if no connection may be opened.
var errDialNotAllowed = errors.New("too many connections to backends, or the backend is unavailable")

// dial opens a connection to the backend, within the limit of connections to backends.
func (a *attempt) dial() (net.Conn, error) {
	if a.backend.unavailable.Load() {
		return nil, errDialNotAllowed
	}
	if a.pool.openConns.Add(1) > int64(a.pool.cfg.Limits.maxBackendConns()) {
		a.pool.openConns.Add(-1)
		return nil, errDialNotAllowed
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	a.mu.Lock()
	a.cancelDial = cancel
	if a.aborted || a.requestFinished {
		cancel()
	}
	a.mu.Unlock()
	nc, err := a.pool.dialer.DialContext(ctx, "tcp", a.backend.addr)
	if err != nil {
		a.pool.openConns.Add(-1)
	}
	return nc, err
}

// finish reports the outcome to the pool. c is the connection if it can be reused, else
// nil.
func (a *attempt) finish(r reply, c *conn) {
	a.pool.onAttemptEnd(a, r, time.Since(a.started), c)
}

// message returns the parts of the command of the request, or of the probe.
func (a *attempt) message() [][]byte {
	if a.request == nil {
		return [][]byte{redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")}
	}
	return a.request.message(time.Until(a.deadline))
}

// parseAnswer parses the first answer in buf as an answer to the request, or to the probe.
func (a *attempt) parseAnswer(buf []byte) (answer reply, n int, err error) {
	if a.request == nil {
		return a.pool.cfg.nextProbeReply(buf)
	}
	return a.pool.cfg.nextReply(buf)
}

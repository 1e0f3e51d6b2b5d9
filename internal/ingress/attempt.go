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

// attempt is one attempt of a request, or a probe where request is nil.
type attempt struct {
	pool     *pool
	request  *request
	number   int
	backend  *backend
	started  time.Time
	deadline time.Time

	repeatable    bool // may run twice
	dedicatedConn bool // on a connection of its own, which is not kept
	reusedConn    bool // on one that was kept

	writeDone    chan struct{} // closed when the write is over
	fullyWritten bool          // the last byte is written; valid once wrote is closed

	mu              sync.Mutex
	aborted         bool
	requestFinished bool               // its request is over: what is not written must not go out
	cancelDial      context.CancelFunc // ends its dial
	conn            *conn              // on which it is out
}

// abort stops the wait. It does not block and does not end the attempt: the
// goroutine of the connection closes that first and then tells the outcome, so
// that no second attempt overlaps this one.
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

// cancelUnsent tells that the attempt's request is over. What is out stays out, for
// that is the gateway's to decide; but what still waits for its connection
// would be work that nobody waits for.
func (a *attempt) cancelUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestFinished = true
	if a.conn == nil && a.cancelDial != nil {
		a.cancelDial()
	}
}

// unsentStatus is the outcome of an attempt that was not written whole.
func (a *attempt) unsentStatus() choice.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requestFinished {
		return choice.CancelledBeforeSend // it says nothing of the backend
	}
	return choice.ConnectFailed
}

// run carries the attempt out on c, or on a new connection.
func (a *attempt) run(c *conn) {
	if c != nil && c.send(a) {
		return // the reader of c ends it
	}
	nc, err := a.dial()
	if err != nil {
		a.finish(reply{status: a.unsentStatus()}, nil)
		return
	}
	a.runOnConn(&conn{nc: nc, backend: a.backend, pool: a.pool})
}

// runOnConn carries the attempt out on a new connection. A backend that takes no
// more connections may end it, or say so, before the first byte is written.
func (a *attempt) runOnConn(c *conn) {
	if !c.send(a) {
		c.close("it ended before the first byte")
		a.finish(reply{status: a.unsentStatus()}, nil)
		return
	}
	c.readAnswers()
}

var errDialNotAllowed = errors.New("no descriptor is left, or the backend wants nothing new")

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

// finish tells the outcome. c is nil unless it can be used again.
func (a *attempt) finish(r reply, c *conn) {
	a.pool.onAttemptEnd(a, r, time.Since(a.started), c)
}

func (a *attempt) encodeCommand() []byte {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.request.appendTo(make([]byte, 0, a.request.size+64), time.Until(a.deadline))
}

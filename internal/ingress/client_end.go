package ingress

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cedarseam/internal/eventlog"
)

// The close of a client's connection: the requests to close it, and the steps between
// the reader's decision and the close.

const (
	// lingerTimeout is how long a connection stays open after its last answer, so
	// that the answer arrives before the connection closes.
	lingerTimeout = 200 * time.Millisecond
	// peerCloseCheckInterval is how often the state of a connection is polled while
	// unread bytes hide a close by the client. An attempt for a client that
	// disconnected more than 0.1 s ago is wasted.
	peerCloseCheckInterval = 40 * time.Millisecond
)

// evict makes the reader close the connection if it is still idle. A command that
// arrives first cancels the eviction.
func (c *client) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.interruptRead()
}

// drain makes the reader close the connection when no request is open. With
// firstCommandOnly set, a connection that has sent a command accepts no further one,
// even while requests are open; a new one still accepts its first.
func (c *client) drain(firstCommandOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining, c.firstCommandOnly = true, c.firstCommandOnly || firstCommandOnly
	c.interruptRead()
}

// stopReading closes the connection once all commands that were read are answered.
func (c *client) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	c.interruptRead()
}

// closeNow closes the connection without waiting for pending answers.
func (c *client) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeErr = fmt.Errorf("the ingress stopped with %d answers not sent", len(c.pending))
	c.nc.Close()
}

// logClose logs why the connection is closed. It runs before the close, because it
// also checks for unread bytes.
func (c *client) logClose(reason error) {
	log := c.server.cfg.Log
	if !log.Detailed() {
		return
	}
	c.mu.Lock()
	answers, closeErr := c.answers, c.closeErr
	c.mu.Unlock()
	log.ClientClosed(eventlog.ClientClosed{Client: c.id, Reason: cmp.Or(closeErr, reason).Error(), Age: time.Since(c.opened),
		Answers: answers, Unread: hasUnreadBytes(c.nc)})
}

// flushAndLinger lets the writer send the answers that are still due, and waits until
// the client has received them: closing the connection earlier would lose answers. It
// returns early if the client disconnects. An evicted connection owes no answers. With
// discardInput set, what the client sends while requests are open is dropped; otherwise it
// stays unread, or is refused if it is much.
func (c *client) flushAndLinger(discardInput bool) {
	c.mu.Lock()
	c.closing = true
	answersDue := c.writerStarted && !c.evicted
	c.nc.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if !answersDue {
		return
	}
	notify(c.writerWake)
	if c.disconnectsBeforeWritten(discardInput) {
		return
	}
	c.linger()
}

// disconnectsBeforeWritten waits until the answers that are due are written, and reports
// whether the client disconnected first.
func (c *client) disconnectsBeforeWritten(discardInput bool) bool {
	if discardInput && c.hasOpenRequests() {
		return c.discardUntilWritten()
	}
	return c.disconnectsBehindUnread()
}

// discardUntilWritten waits until the answers that are due are written, and reads and drops
// what the client still sends. It reports whether the client disconnected first. Behind
// input that can't be understood no command can be read; but if it stayed unread, a close
// behind more bytes than the system holds would not arrive, and the requests of a client
// that has gone would go on.
func (c *client) discardUntilWritten() (closed bool) {
	buf := make([]byte, readBufferBytes)
	slices := newInputSlices(c.server.inputPacer)
	for {
		slices.pause()
		select {
		case <-c.writerDone:
			return false
		default:
		}
		c.nc.SetReadDeadline(time.Now().Add(peerCloseCheckInterval))
		n, waited, err := readOrWait(c.nc, buf)
		if waited {
			slices.waited(time.Now())
		}
		slices.read(n)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
}

// linger waits until the last answers have been delivered, or the client has
// disconnected. If the client sends more bytes around the close, the close becomes a
// TCP reset, which discards data that the client's host has not acknowledged yet.
func (c *client) linger() {
	deadline := time.Now().Add(lingerTimeout)
	c.nc.SetReadDeadline(deadline)
	if closed := c.waitReadable(); closed || peerClosedBefore(c, time.After(time.Until(deadline))) {
		return
	}
	timedOut := make(chan struct{})
	defer time.AfterFunc(writeTimeout, func() { close(timedOut) }).Stop()
	for hasUndeliveredData(c.nc) {
		select {
		case <-timedOut:
			return
		case <-time.After(peerCloseCheckInterval):
		}
	}
}

// waitReadable waits until the client sends bytes or disconnects, or until the read
// deadline has passed. It consumes nothing, and reports whether the client has
// disconnected.
func (c *client) waitReadable() (closed bool) {
	raw, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var first [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 || n < 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		return n > 0 || closed
	})
	return closed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// peerClosedBefore waits for done, and reports whether the client disconnected first.
// Unread bytes hide the end of the stream from a read, so the state of the TCP
// connection is polled instead.
func peerClosedBefore[T any](c *client, done <-chan T) bool {
	check := time.NewTicker(peerCloseCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-done:
			return false
		case <-check.C:
			if peerClosed(c.nc) {
				return true
			}
		}
	}
}

// hasDisconnected reports whether the client has disconnected. It looks at most once in
// peerCloseCheckInterval, and is called before commands are started: they may have waited,
// in the socket or in the listener's backlog, for longer than their client did.
func (c *client) hasDisconnected(in *input) bool {
	now := time.Now()
	if now.Sub(in.checkedAt) < peerCloseCheckInterval {
		return false
	}
	in.checkedAt = now
	return peerClosed(c.nc)
}

// peerClosed reports whether the peer has closed the connection, even if unread bytes
// precede the end of the stream.
func peerClosed(nc net.Conn) bool {
	info, err := tcpInfo(nc)
	switch {
	case errors.Is(err, errStateUnknown):
		return false
	case err != nil:
		return true
	}
	return isPeerClosedState(info.State)
}

// isPeerClosedState reports whether the peer has closed a TCP connection in this state.
func isPeerClosedState(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT,
		unix.BPF_TCP_CLOSING, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_TIME_WAIT: // this side closed first
		return true
	}
	return false
}

// expectReceived records when the bytes arrived that are already in the socket of a new
// connection: they may have waited in the listener's backlog, and the deadlines of their
// requests count from their arrival.
func (c *client) expectReceived(in *input) {
	info, err := tcpInfo(c.nc)
	if err != nil {
		return
	}
	now := time.Now()
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if !isPeerClosedState(info.State) {
		in.checkedAt = now
		c.markSeen(now.Add(-age)) // when its last bytes came
	}
	if age >= arrivalResolution {
		in.arrivals.expect(unreadBytes(c.nc), now.Add(-age))
	}
}

// unreadBytes returns the number of received bytes that wait to be read, or 0 if that is
// unknown.
func unreadBytes(nc net.Conn) (n int) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return 0
	}
	return n
}

// hasUndeliveredData reports whether the peer's host has not yet acknowledged all that
// was written.
func hasUndeliveredData(nc net.Conn) bool {
	info, err := tcpInfo(nc)
	if err != nil || info.State == unix.BPF_TCP_CLOSE {
		return false
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0
}

// errStateUnknown means that the operating system does not provide the state of a
// connection.
var errStateUnknown = errors.New("the state of the connection is unknown")

// tcpInfo returns the operating system's TCP_INFO of a connection. An error other than
// errStateUnknown means that the connection is closed on this side.
func tcpInfo(nc net.Conn) (info *unix.TCPInfo, err error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return nil, err
	}
	if optionErr != nil {
		return nil, errStateUnknown
	}
	return info, nil
}

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

// The end of a client's connection: who asks for it, and what happens between the
// reader's decision and the close.

// evict closes the connection at once, unless a command has come just now.
func (c *client) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.interruptRead()
}

// drain closes the connection between requests. Once halted it takes no further
// one, but for the first on a new connection.
func (c *client) drain(firstCommandOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining, c.firstCommandOnly = true, c.firstCommandOnly || firstCommandOnly
	c.interruptRead()
}

// stopReading ends the connection once all that was read is started and answered.
func (c *client) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	c.interruptRead()
}

// closeNow closes the connection, whatever is due.
func (c *client) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeErr = fmt.Errorf("the process ends with %d answers not taken", len(c.pending))
	c.nc.Close()
}

// logClose writes why the connection ends, before it does.
func (c *client) logClose(reason error) {
	log := c.server.cfg.Log
	if !log.Detailed() {
		return
	}
	c.mu.Lock()
	answers, closeErr := c.answers, c.closeErr
	c.mu.Unlock()
	log.ClientClosed(eventlog.ClientClosed{Client: c.id, Reason: cmp.Or(closeErr, reason).Error(), Age: time.Since(c.opened),
		Answers: answers, Unread: waiting(c.nc)})
}

// finish lets the writer send the answers still due: a connection that closes
// under them loses requests. It returns sooner if the client leaves.
func (c *client) flushAndLinger() {
	c.mu.Lock()
	c.closing = true
	answersDue := c.writerStarted && !c.evicted
	c.nc.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if !answersDue {
		return
	}
	notify(c.writerWake)
	if closed := c.waitReadable(); closed || peerClosedBefore(c, c.writerDone) {
		return
	}
	c.linger()
}

// linger waits until the last answers have arrived, or the client has left: what
// crosses the end turns it into a reset, which must not overtake them, and which
// throws away what the client's machine has not taken yet.
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

// watch waits until the client leaves, or sends something, or the deadline has
// passed. It takes nothing off the connection.
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

// leaves waits for done, and tells whether the client has left before. What it
// has sent and nobody reads hides its end, so the connection itself is asked.
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

// left tells whether the other side has closed the connection, read or not.
func peerClosed(nc net.Conn) bool {
	info, err := tcpInfo(nc)
	switch {
	case errors.Is(err, errStateUnknown):
		return false
	case err != nil:
		return true
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT,
		unix.BPF_TCP_CLOSING, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_TIME_WAIT: // and this side before
		return true
	}
	return false
}

// undelivered tells whether the other side's machine has not taken all that was
// written yet.
func hasUndeliveredData(nc net.Conn) bool {
	info, err := tcpInfo(nc)
	if err != nil || info.State == unix.BPF_TCP_CLOSE {
		return false
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0
}

// errUnknown means that the system does not tell the state of a connection.
var errStateUnknown = errors.New("the state of the connection is not known")

// tcpInfo asks the system for the state of a connection. An error other than
// errUnknown means that it is closed on this side.
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

package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

func TestNextReply(t *testing.T) {
	cfg, err := ParseConfig([]byte(`{"settings":` + strings.Replace(settingsFormat, "%d", "1", 1) + `}`))
	if err != nil {
		t.Fatal(err)
	}
	load := choice.Load{Count: 2, Values: [4]float64{7, 12.5}}
	parsers := map[string]func([]byte) (reply, int, error){"request": cfg.nextReply, "probe": cfg.nextProbeReply}
	const (
		toRequest = 1 << iota // the answer is valid for a request
		toProbe               // the answer is valid for a probe
	)
	for _, c := range []struct {
		text    string
		validTo int // for any other kind of attempt the answer is malformed
		want    reply
	}{
		{"*3\r\n$1\r\nv\r\n$7\r\nused=37\r\n$-1\r\n", toRequest,
			reply{status: choice.OK, value: []byte("$1\r\nv\r\n"), metered: true, used: 0.37}},
		{"*3\r\n$0\r\n\r\n$-1\r\n$26\r\nlatency_ms=12.5,inflight=7\r\n", toRequest,
			reply{status: choice.OK, value: []byte("$0\r\n\r\n"), load: load}},
		{"*3\r\n$-1\r\n$6\r\nused=0\r\n$-1\r\n", toRequest, reply{status: choice.Error, metered: true}},
		{"*3\r\n$1\r\nv\r\n:5\r\n+x\r\n", toRequest, reply{status: choice.OK, value: []byte("$1\r\nv\r\n")}},
		// invalid or implausible figures are ignored, and the value is kept
		{"*3\r\n$1\r\nv\r\n$8\r\nused=-37\r\n$-1\r\n", toRequest, reply{status: choice.OK, value: []byte("$1\r\nv\r\n")}},
		{"*3\r\n$1\r\nv\r\n$8\r\nused=1e9\r\n$-1\r\n", toRequest, reply{status: choice.OK, value: []byte("$1\r\nv\r\n")}},
		{"*3\r\n$1\r\nv\r\n$11\r\nused=999999\r\n$-1\r\n", toRequest, reply{status: choice.OK, value: []byte("$1\r\nv\r\n")}},
		{"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=x\r\n$-1\r\n", toRequest, reply{status: choice.OK, value: []byte("$1\r\nv\r\n")}},
		{"$26\r\ninflight=7,latency_ms=-1.5\r\n", toProbe, reply{status: choice.OK}},
		{"$25\r\ninflight=7,inflight=77.00\r\n", toProbe, reply{status: choice.OK}},
		{"$10\r\ninflight=7\r\n", toProbe, reply{status: choice.OK}},
		{"$31\r\ninflight=7000000,latency_ms=1.5\r\n", toProbe, reply{status: choice.OK}},
		{"$-1\r\n", toProbe, reply{status: choice.Error}},
		{"$26\r\ninflight=7,latency_ms=12.5\r\n", toProbe, reply{status: choice.OK, load: load}},
		{"-BUSYx\r\n", toRequest | toProbe, reply{status: choice.Error}},
		{"-ERR failed\r\n", toRequest | toProbe, reply{status: choice.Error}},
		{"-ERR failed used=120 inflight=7,latency_ms=12.5\r\n", toRequest | toProbe,
			reply{status: choice.Error, metered: true, used: 1.2, load: load}},
		{"-BUSY\r\n", toRequest | toProbe, reply{status: choice.Refused}},
		{"-BUSY used=5,cost=4\r\n", toRequest | toProbe, reply{status: choice.Refused, metered: true, used: 0.05}},
		{"-BUSY used=x\r\n", toRequest | toProbe, reply{status: choice.Refused}},
		// an invalid line does not count as a rejection
		{"-BUSY \x01\xff\r\n", 0, reply{}},
		{"-\r\n", 0, reply{}},
		{"+OK\r\n", 0, reply{}},
		{":1\r\n", 0, reply{}},
	} {
		for kind, parse := range parsers {
			if kind == "request" && c.validTo&toRequest == 0 || kind == "probe" && c.validTo&toProbe == 0 {
				if got, n, err := parse([]byte(c.text)); n != 0 || err == nil || got.status != choice.Error {
					t.Errorf("%q to a %s is parsed as %+v (%d bytes), want an error", c.text, kind, got, n)
				}
				continue
			}
			for cut := range c.text {
				if _, n, err := parse([]byte(c.text[:cut])); n != 0 || err != nil {
					t.Errorf("incomplete %q to a %s: %d bytes consumed, error %v, want neither", c.text[:cut], kind, n, err)
				}
			}
			got, n, err := parse([]byte(c.text))
			if err != nil || n != len(c.text) || !reflect.DeepEqual(got, c.want) {
				t.Errorf("%q to a %s is parsed as %+v (%d bytes, error %v), want %+v", c.text, kind, got, n, err, c.want)
			}
		}
	}
	for _, text := range []string{"$9223372036854775807\r\nxx\r\n", "*1\r\n", "*3\r\n$x", "*3\r\n$3000000000", "*3\r\n$70000\r\n",
		"*3\r\n$1\r\nvv\r\n", "*3\r\n*1\r\n", "*-1\r\n", "*3\r\n$-2", "*3\r\n$1\r\nv\r\n$9999\r\n", "*3\r\n$1\r\nv\r\nx", "\x00", "noise",
		"+OK\n", "-" + strings.Repeat("x", maxLineBytes)} {
		for kind, parse := range parsers {
			if _, _, err := parse([]byte(text)); err == nil {
				t.Errorf("%.40q to a %s: no error, want one", text, kind)
			}
		}
	}
}

// Guards against a client that is never answered, or is given the value of its next
// request: an answer in a form that carries no value for the client must fail its own
// request alone, and its connection must not be used again.
func TestAnswerWithoutValueFailsOnlyItsOwnRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"bulk string":             "$4\r\nmine\r\n",
		"array without its start": "$4\r\nmine\r\n$7\r\nused=20\r\n$-1\r\n",
		"empty bulk string":       "$0\r\n\r\n",
		"null":                    "$-1\r\n",
		"load report":             "$26\r\ninflight=7,latency_ms=12.5\r\n",
		"simple string":           "+OK\r\n",
		"integer":                 ":1\r\n",
		"short array":             "*1\r\n$4\r\nmine\r\n",
		"long array":              "*4\r\n$4\r\nmine\r\n$-1\r\n$-1\r\n$-1\r\n",
		"null array":              "*-1\r\n",
		"empty array":             "*0\r\n",
		"nested array":            "*3\r\n*1\r\n$4\r\nmine\r\n$-1\r\n$-1\r\n",
		"empty error line":        "-\r\n",
		"corrupted error line":    "-BUSY \x01\xff\r\n",
		"noise":                   "\x00\x9c%?\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
			c := r.dial()
			first, second := newRequestID(), newRequestID()
			c.write(encode("Q.DO", testCustomer, first, paymentOptions, "BODY") +
				encode("Q.DO", testCustomer, second, paymentOptions, "BODY"))
			spoilt, good := wait(t, "a request", b.commands), wait(t, "another", b.commands)
			if spoilt.args[2] != first {
				spoilt, good = good, spoilt
			}
			good.replyValue("other")
			fmt.Fprint(spoilt.nc, answer)
			c.wantLine("-ERR failed")
			c.wantLine("$5\r\nother")
			if nc := wait(t, "the end of the spoilt connection", b.closed); nc != spoilt.nc {
				t.Error("a different connection was closed")
			}
		})
	}
}

// A request that must not run twice, and that may have run, gets no second attempt. It
// fails rather than being refused, as a refusal would say that it has not run.
func TestNonRepeatableRequestThatMayHaveRunFails(t *testing.T) {
	one, two := newFakeBackend(t), newFakeBackend(t)
	r := newRig(t, nil, one.member("1"), two.member("2"))
	for _, end := range []func(receivedCommand){
		receivedCommand.reset,
		func(got receivedCommand) { got.nc.Close() },
		func(got receivedCommand) { got.replyLine("-ERR failed") },
		// An invalid answer ends the attempt at once, though the connection stays open.
		func(got receivedCommand) { got.replyLine("$x") },
		func(got receivedCommand) { got.replyLine("*3\r\n$3000000000") },
		func(got receivedCommand) { got.replyLine("-BUSY \x01") },
		func(got receivedCommand) { got.nc.Write([]byte("*3\r\n$9\r\nhalf")) },
		func(got receivedCommand) { got.nc.Write([]byte("*3\r\n$9\r\nhal")); got.nc.Close() },
	} {
		c := r.dial()
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		select {
		case got := <-one.commands:
			end(got)
		case got := <-two.commands:
			end(got)
		}
		c.wantLine("-ERR failed")
	}
	wantNone(t, "a second attempt", one.commands)
	wantNone(t, "a second attempt", two.commands)
}

// A request that a backend rejects has not run, and is retried on the other backend.
func TestRejectedNonRepeatableRequestIsRetried(t *testing.T) {
	one, two := newFakeBackend(t), newFakeBackend(t)
	r := newRig(t, nil, one.member("1"), two.member("2"))
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	var first, second receivedCommand
	select {
	case first = <-one.commands:
		first.replyLine("-BUSY")
		second = wait(t, "a second attempt", two.commands)
	case first = <-two.commands:
		first.replyLine("-BUSY")
		second = wait(t, "a second attempt", one.commands)
	}
	second.replyValue("v")
	c.wantLine("$1\r\nv")
}

// A request whose connection is refused has not run, and is retried.
func TestNonRepeatableRequestIsRetriedAfterRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	b := newFakeBackend(t)
	unreachable := b.member("unreachable")
	unreachable.HostPort = addr
	r := newRig(t, nil, b.member("b"), unreachable)
	c := r.dial()
	for range 10 { // some of the requests try the unreachable backend first
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		wait(t, "the request", b.commands).replyValue("v")
		c.wantLine("$1\r\nv")
	}
}

// ageIdleConns waits until the given number of connections is idle, and makes them old
// enough to be reused.
func (r *rig) ageIdleConns(connections int) {
	r.Helper()
	r.eventually("the connections to be idle", func(l *loop) bool {
		n := 0
		for _, b := range l.pool.byID {
			for _, c := range b.idleConns {
				c.idleSince = c.idleSince.Add(-reuseDelay)
				n++
			}
		}
		return n == connections
	})
}

// Answers arrive in order, so a second request on a busy connection would have to wait:
// it uses another connection. Idle connections are reused.
func TestConnectionsAreReusedWithoutPipelining(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.write(encode("Q.ASK", testCustomer, newRequestID(), lookupOptions) + encode("Q.ASK", testCustomer, newRequestID(), lookupOptions))
	one, two := wait(t, "a request", b.commands), wait(t, "another", b.commands)
	if one.nc == two.nc {
		t.Error("two requests are in flight on one connection")
	}
	one.replyValue("v")
	two.replyValue("v")
	c.wantLine("$1\r\nv")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(2)
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	if three := wait(t, "a third", b.commands); three.nc != one.nc && three.nc != two.nc {
		t.Error("a new connection is used though two are idle")
	} else {
		three.replyValue("v")
	}
	c.wantLine("$1\r\nv")
}

// A request on a connection that the backend has closed ends in a reset, and is lost if it
// must not run twice. So the end of an idle connection is detected.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	for range 3 {
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		got := wait(t, "the request", b.commands)
		got.replyValue("v")
		c.wantLine("$1\r\nv")
		got.nc.Close()
		r.eventually("the connection to be closed", func(l *loop) bool { return l.pool.openConns.Load() == 0 })
	}
}

// Guards against requests at a process that has gone: once discovery tells that another one
// has started at its address, a connection that was in use carries no further request.
func TestConnectionToPreviousProcessIsNotReused(t *testing.T) {
	b := newFakeBackend(t)
	member := b.member("b")
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, member)
	c := r.dial()
	sendLookup(c)
	previous := wait(t, "the request", b.commands)
	restarted := *member
	restarted.UpSince = time.Now().UnixMilli()
	r.applyList(membership.List{Revision: 8, Complete: true, Members: []*membership.Member{&restarted}})
	previous.replyValue("v")
	c.wantLine("$1\r\nv")
	if nc := wait(t, "the end of the connection to the previous process", b.closed); nc != previous.nc {
		t.Error("another connection is closed")
	}
	sendLookup(c)
	next := wait(t, "the next request", b.commands)
	if next.nc == previous.nc {
		t.Error("the next request is sent to the previous process")
	}
	next.replyValue("w")
	c.wantLine("$1\r\nw")
}

// Guards against requests at the wrong process: an attempt that still waits for its connection
// when another process is told at the address is not sent there.
func TestAttemptForPreviousProcessIsNotSent(t *testing.T) {
	f := newConnFixture(t)
	member := &membership.Member{ID: "b", HostPort: f.backend.addr}
	previous := f.pool.updateMember(member, choice.Ready)
	f.conn.backend = previous
	a := f.newAttempt(t)
	restarted := *member
	restarted.UpSince = 1
	current := f.pool.updateMember(&restarted, choice.Ready)
	f.send(a)
	go f.readAnswers()
	f.wantStatus(t, choice.ConnectFailed)
	f.wantNoBytes(t)
	if current.id != previous.id || current.addr != previous.addr || current.unavailable.Load() {
		t.Error("the restarted backend has another id or address, or is unavailable")
	}
}

// The ingress closes idle connections itself, well before the backend does.
func TestIdleConnectionIsClosedBeforeBackendTimeout(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.backendIdleTimeout, cfg.Choice.Probing = 100*time.Millisecond, false }, b.member("b"))
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	got := wait(t, "the request", b.commands)
	got.replyValue("v")
	c.wantLine("$1\r\nv")
	if nc := wait(t, "the end of the idle connection", b.closed); nc != got.nc {
		t.Error("a different connection was closed")
	}
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	wait(t, "the next request", b.commands).replyValue("w")
	c.wantLine("$1\r\nw")
}

// At the limit of file descriptors an idle connection to another backend is evicted.
func TestEvictIdleClosesConnectionOfAnotherBackend(t *testing.T) {
	one, two := newFakeBackend(t), newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets, cfg.Choice.Probing = 5, false }, one.member("1")) // one connection to backends
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	wait(t, "the request", one.commands).replyValue("v")
	c.wantLine("$1\r\nv")
	r.runOnLoop(func(l *loop) {
		l.pool.updateMember(two.member("2"), choice.Ready)
		l.pool.evictIdle()
	})
	wait(t, "the end of the idle connection", one.closed)
}

// connFixture is one connection to a backend in a pool without a loop, with the backend's
// end of it and the outcomes of attempts.
type connFixture struct {
	*conn
	peer     net.Conn
	outcomes chan choice.Status
}

func newConnFixture(t *testing.T) *connFixture {
	t.Helper()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, fmt.Sprintf(settingsFormat, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	nc, peer := newConnPair(t)
	f := &connFixture{peer: peer, outcomes: make(chan choice.Status, 1)}
	p := newPool(&cfg, &memoryBudget{limit: 1 << 30}, func(_ *attempt, r reply, _ time.Duration, _ *conn) { f.outcomes <- r.status }, func(*conn) {})
	f.conn = &conn{nc: nc, backend: &backend{id: 1, addr: nc.RemoteAddr().String()}, pool: p}
	return f
}

// newConnPair returns both ends of a connection. Its listener stays open during the test.
func newConnPair(t *testing.T) (nc, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if nc, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if peer, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); peer.Close() })
	peer.SetDeadline(time.Now().Add(testTimeout))
	return nc, peer
}

// newAttempt returns an attempt of a payment, by a client that is connected, to the backend of
// the connection.
func (f *connFixture) newAttempt(t *testing.T) *attempt {
	t.Helper()
	cmd, err := f.pool.cfg.parseCommand([][]byte{
		[]byte("Q.DO"), []byte(testCustomer), []byte(testRequestID), []byte(paymentOptions), []byte("BODY")})
	if err != nil {
		t.Fatal(err)
	}
	clientConn, _ := newConnPair(t)
	c := &client{nc: clientConn, opened: time.Now()}
	return &attempt{pool: f.pool, request: &request{command: cmd, client: c}, backend: f.backend, started: time.Now(),
		deadline: time.Now().Add(testTimeout), writeDone: make(chan struct{})}
}

// wantNoBytes checks that the backend saw the connection end without a byte.
func (f *connFixture) wantNoBytes(t *testing.T) {
	t.Helper()
	if got, err := io.ReadAll(f.peer); err != nil || len(got) > 0 {
		t.Errorf("the backend received %q, error %v; want nothing", got, err)
	}
}

func (f *connFixture) wantStatus(t *testing.T, status choice.Status) {
	t.Helper()
	if got := wait(t, "the outcome", f.outcomes); got != status {
		t.Errorf("status %d, want %d", got, status)
	}
}

// If a backend starts to drain while an attempt waits for its connection, the attempt is
// not sent and counts as not run.
func TestDrainingBackendGetsNoNewAttempt(t *testing.T) {
	f := newConnFixture(t)
	f.backend.unavailable.Store(true)
	a := f.newAttempt(t)
	f.send(a)
	go f.readAnswers()
	f.wantStatus(t, choice.ConnectFailed)
	f.wantNoBytes(t)

	a = f.newAttempt(t) // nor is a new connection opened
	f.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		t.Error("a new connection to a draining backend is opened")
		return nil
	}
	a.run(nil)
	f.wantStatus(t, choice.ConnectFailed)
}

func TestAbortCancelsDial(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	f.pool.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		a.abort()
		<-ctx.Done()
		return ctx.Err()
	}
	a.deadline = time.Now().Add(2 * testTimeout)
	f.pool.dialer.Timeout = 2 * testTimeout
	go a.run(nil)
	f.wantStatus(t, choice.ConnectFailed)
}

// The loop may pick a connection that has just been closed. Nothing is written to it, so
// the attempt can use a new one.
func TestSendFailsOnClosedConnection(t *testing.T) {
	f := newConnFixture(t)
	f.peer.Close()
	f.readAnswers()
	if f.send(f.newAttempt(t)) {
		t.Error("an attempt is sent on a closed connection")
	}
}

func TestAbortBeforeFirstByteCountsAsUnsent(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	a.abort()
	f.send(a)
	go f.readAnswers()
	f.wantStatus(t, choice.ConnectFailed)
	f.wantNoBytes(t)

	a = f.newAttempt(t)
	a.abort()
	a.run(nil)
	f.wantStatus(t, choice.ConnectFailed)
}

// If the client disconnects while the connection to the backend is being dialed, the
// request is not sent, even with settings that do not allow canceling attempts.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Cancelling, cfg.Choice.Probing = false, false }, b.member("b"))
	dials, allowDial := make(chan struct{}, 10), make(chan struct{})
	r.runOnLoop(func(l *loop) {
		l.pool.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
			dials <- struct{}{}
			select {
			case <-allowDial:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	wait(t, "a dial", dials)
	c.nc.Close()
	r.eventually("the request to end", func(l *loop) bool {
		for _, q := range l.requests {
			return q.finished
		}
		return true
	})
	close(allowDial) // the connection is opened only now
	r.eventually("the request to be removed", func(l *loop) bool { return len(l.requests) == 0 })
	wantNone(t, "a request at the backend", b.commands)
}

func TestFinishedRequestCancelsOnlyUnsentAttempts(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	a.cancelUnsent() // while the attempt waits for its connection
	f.send(a)
	go f.readAnswers()
	f.wantStatus(t, choice.CancelledBeforeSend)
	f.wantNoBytes(t)

	a = f.newAttempt(t)
	a.cancelUnsent()
	a.run(nil)
	f.wantStatus(t, choice.CancelledBeforeSend)

	f = newConnFixture(t)
	a = f.newAttempt(t)
	f.send(a)
	a.cancelUnsent() // an attempt in flight continues
	go f.readAnswers()
	fmt.Fprint(f.peer, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	f.wantStatus(t, choice.OK)
}

// shortWriteConn fails to write the last byte.
type shortWriteConn struct{ *net.TCPConn }

func (c shortWriteConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	return n, io.ErrShortWrite
}

func TestIncompleteWriteCountsAsUnsent(t *testing.T) {
	f := newConnFixture(t)
	f.nc = shortWriteConn{f.nc.(*net.TCPConn)}
	f.send(f.newAttempt(t))
	go f.readAnswers()
	f.wantStatus(t, choice.ConnectFailed)
}

// interruptedWriteConn calls a function in the middle of a write, which then fails.
type interruptedWriteConn struct {
	*net.TCPConn
	interrupt func()
}

func (c interruptedWriteConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	c.interrupt()
	return n, io.ErrShortWrite
}

// Guards against a value that was made for something else: what arrives before the last
// byte of a request is written can't be its answer. The request has not run.
func TestAnswerBeforeWholeRequestDoesNotAnswerIt(t *testing.T) {
	for _, answer := range []string{"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n", "-BUSY\r\n", "$1\r\nv\r\n"} {
		f := newConnFixture(t)
		f.nc = interruptedWriteConn{f.nc.(*net.TCPConn), func() {
			fmt.Fprint(f.peer, answer)
			for f.nothingToRead() { // until the answer has arrived
				runtime.Gosched()
			}
			go f.readAnswers()
			for !f.nothingToRead() { // until the reader has taken it
				runtime.Gosched()
			}
		}}
		f.send(f.newAttempt(t))
		f.wantStatus(t, choice.ConnectFailed)
	}
}

// afterReadConn calls a function between a read and its return.
type afterReadConn struct {
	*net.TCPConn
	afterRead func()
}

func (c afterReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.afterRead()
	return n, err
}

// Guards against a value that was made for something else: bytes that were taken from an
// idle connection are not the answer to an attempt that starts while the reader is about to
// look at them.
func TestBytesTakenBeforeTheAttemptDoNotAnswerIt(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	f.nc = afterReadConn{f.nc.(*net.TCPConn), func() { f.send(a) }}
	fmt.Fprint(f.peer, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	readerDone := make(chan struct{})
	go func() {
		f.readAnswers()
		close(readerDone)
	}()
	select {
	case status := <-f.outcomes:
		t.Fatalf("the attempt ends with status %d, by bytes that came before it", status)
	case <-readerDone:
	case <-time.After(testTimeout):
		t.Fatal("the reader neither ends nor reports an outcome")
	}
	if f.send(a) {
		t.Error("an attempt is sent on a connection with unexpected bytes")
	}
}

// If the idle timeout of a connection expires just as an attempt starts, the attempt
// continues.
func TestIdleDeadlineDoesNotEndAttempt(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	f.send(a)
	f.closeAsync() // as if the idle deadline had passed
	go f.readAnswers()
	if got := a.statusAfterError(os.ErrDeadlineExceeded); got != choice.OK {
		t.Errorf("the attempt ends with status %d, want it to continue", got)
	}
	f.nc.SetDeadline(a.deadline)
	fmt.Fprint(f.peer, "-BUSY\r\n")
	f.wantStatus(t, choice.Refused)
}

// The connection is closed before the outcome is reported, so that a second attempt does
// not overlap with the first.
func TestConnectionIsClosedBeforeOutcomeIsReported(t *testing.T) {
	for _, c := range []struct {
		end  func(*attempt)
		want choice.Status
	}{
		{func(a *attempt) { a.abort() }, choice.Cancelled},
		{func(a *attempt) {
			a.deadline = time.Now()
			a.conn.nc.SetDeadline(a.deadline)
		}, choice.Timeout},
	} {
		f := newConnFixture(t)
		closed := false
		f.pool.onAttemptEnd = func(_ *attempt, r reply, _ time.Duration, _ *conn) {
			_, err := f.nc.Write([]byte("x"))
			closed = errors.Is(err, net.ErrClosed)
			f.outcomes <- r.status
		}
		a := f.newAttempt(t)
		f.send(a)
		c.end(a)
		go f.readAnswers()
		f.wantStatus(t, c.want)
		if !closed {
			t.Errorf("status %d was reported while the connection was open", c.want)
		}
	}
}

// A duplicate of an answer, or stray bytes, may follow it. Answers carry no request id, so
// the next request must not be sent on that connection yet.
func TestReuseDelay(t *testing.T) {
	f := newConnFixture(t)
	p := f.pool
	p.byID[f.backend.id] = f.backend
	other := &conn{nc: f.nc, backend: f.backend, pool: p}
	p.putIdle(f.conn)
	p.putIdle(other)
	if c := p.takeIdle(f.backend); c != nil {
		t.Error("a connection is reused at once")
	}
	for _, c := range f.backend.idleConns {
		c.idleSince = c.idleSince.Add(-reuseDelay)
	}
	if c := p.takeIdle(f.backend); c != f.conn {
		t.Error("the connection that has been idle for longest is not reused first")
	}
	if len(f.backend.idleConns) != 1 || f.backend.idleConns[0] != other {
		t.Errorf("%d connections are idle, want the other one", len(f.backend.idleConns))
	}
}

// Unread bytes are detected before the first byte of the next request, which can then use
// another connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	f := newConnFixture(t)
	fmt.Fprint(f.peer, "noise")
	for f.nothingToRead() { // until the bytes have arrived
		time.Sleep(time.Millisecond)
	}
	if f.send(f.newAttempt(t)) {
		t.Error("an attempt is sent on a connection with unread bytes")
	}
	f.readAnswers()
	if err := f.nc.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection is still open: %v", err)
	}
}

// A backend with too many connections may close a new one at once. The attempt on it has
// not run, and must end.
func TestAttemptOnImmediatelyClosedConnectionCountsAsUnsent(t *testing.T) {
	f := newConnFixture(t)
	f.peer.Close()
	for f.nothingToRead() { // until the end has arrived
		time.Sleep(time.Millisecond)
	}
	go f.newAttempt(t).runOnConn(f.conn)
	f.wantStatus(t, choice.ConnectFailed)
}

// While reused connections are being reset, a payment on one of them could be lost. It
// uses a new connection.
func TestNonRepeatableRequestAvoidsReuseAfterResets(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	first := wait(t, "the request", b.commands)
	first.replyValue("v")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(1)
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	wait(t, "a request on the idle connection", b.commands).reset()
	again := wait(t, "its second attempt", b.commands)
	again.replyValue("v")
	c.wantLine("$1\r\nv")
	r.ageIdleConns(1)
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	got := wait(t, "a payment", b.commands)
	if got.nc == again.nc {
		t.Error("the payment is sent on a reused connection")
	}
	got.replyValue("w")
	c.wantLine("$1\r\nw")
	c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
	if last := wait(t, "a lookup", b.commands); last.nc != again.nc {
		t.Error("the lookup does not reuse the idle connection")
	} else {
		last.replyValue("x")
	}
	c.wantLine("$1\r\nx")
}

// An answer that arrives in two parts is complete.
func TestAnswerInTwoParts(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	f.send(a)
	go f.readAnswers()
	fmt.Fprint(f.peer, "*3\r\n$1\r\n")
	fmt.Fprint(f.peer, "v\r\n$-1\r\n$-1\r\n")
	f.wantStatus(t, choice.OK)
}

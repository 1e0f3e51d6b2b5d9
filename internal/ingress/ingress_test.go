package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"cedarseam/internal/membership"
)

// testTimeout bounds every wait of the tests. A test fails, and never passes, by reaching
// it.
const testTimeout = 30 * time.Second

// Arguments of requests. A lookup may run twice, a payment must not.
const (
	lookupOptions  = "c=lookup,t=basic,d=20000,units=1,spread=1,first=0"
	paymentOptions = "c=payment,t=basic,d=20000,units=1,spread=1,first=0"
	testCustomer   = "00000000b4d65521"
	testRequestID  = "9b1f03aa5c7e2d41"
)

// newRequestID returns a random request id.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// settingsFormat is the format of valid settings with both request classes. Its argument
// is conn_idle_ms.
const settingsFormat = `{"balancers":1,"self_index":0,"zone":0,"zones":["a"],"kinds":["std"],"tick_ms":2,"discovery":"push",
 "bounds":{"cancelling":true,"conn_idle_ms":%d,"connect_timeout_ms":5000,"max_retry_after_ms":1000,"probing":true,
  "retry_after":true,"second_copies":false,"try_limit":4},
 "invariants":{"cold_from":0.2,"cold_ms":1000,"drain_grace_ms":500,"fall_ms":1500,"tip_multiple":3},
 "report":{"fields":["rif","lat_ms"],"how":"pull"},
 "request_classes":[
  {"name":"lookup","aim_ms":600,"give_up_ms":20000,"effect":"free","dedup_scope":"all","worth":2,"window_ms":5000},
  {"name":"payment","aim_ms":600,"give_up_ms":20000,"effect":"single_shot","dedup_scope":"all","worth":6,"window_ms":5000}],
 "specifics":{"max_units":1,"use_period_ms":500},
 "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}],"weights":"nominal"}`

// receivedCommand is a command that a fake backend has received.
type receivedCommand struct {
	nc   net.Conn // the connection on which it arrived
	args []string
}

// replyValue answers with a value, and without a usage report and a load report.
func (r receivedCommand) replyValue(value string) {
	fmt.Fprintf(r.nc, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// replyLine answers with a line of text as it is.
func (r receivedCommand) replyLine(text string) { fmt.Fprintf(r.nc, "%s\r\n", text) }

// reset closes the connection with a TCP reset.
func (r receivedCommand) reset() {
	r.nc.(*net.TCPConn).SetLinger(0)
	r.nc.Close()
}

// fakeBackend is a backend that passes each command to the test, which answers it. It
// answers probes itself.
type fakeBackend struct {
	addr     string
	commands chan receivedCommand
	closed   chan net.Conn // connections that the ingress has closed
	opened   chan net.Conn // connections that the backend has accepted
}

// newFakeBackend returns a backend that serves on a local port.
func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{addr: ln.Addr().String(), commands: make(chan receivedCommand, 100),
		closed: make(chan net.Conn, 100), opened: make(chan net.Conn, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			b.opened <- nc
			go b.serve(nc)
		}
	}()
	return b
}

// serve reads commands from a connection until it is closed.
func (b *fakeBackend) serve(nc net.Conn) {
	reader := redcon.NewReader(nc)
	for {
		cmd, err := reader.ReadCommand()
		if err != nil {
			b.closed <- nc
			return
		}
		r := receivedCommand{nc: nc}
		for _, a := range cmd.Args {
			r.args = append(r.args, string(a))
		}
		if r.args[0] == "INFO" {
			text := "inflight=0,latency_ms=1"
			fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(text), text)
			continue
		}
		b.commands <- r
	}
}

// member returns the entry of the backend in a list of discovery.
func (b *fakeBackend) member(id string) *membership.Member {
	return &membership.Member{ID: id, HostPort: b.addr, Locality: "a", Flavor: "std",
		Phase: membership.PhaseServing, Size: 1}
}

// fakeDiscovery is a discovery service with one list. The test writes the lines of its
// watches.
type fakeDiscovery struct {
	*httptest.Server
	watchLines     chan string   // lines to send on the open watch; "end" closes it
	watchIndexes   chan string   // the index of each watch that was opened
	listGate       chan struct{} // requests for the list wait until it is closed
	done           chan struct{} // closed at the end of the test
	sendKeepAlives atomic.Bool   // watches send an empty line at once and periodically
	mu             sync.Mutex
	list           membership.List
}

// newFakeDiscovery returns a discovery service that lists these members.
func newFakeDiscovery(t *testing.T, members ...*membership.Member) *fakeDiscovery {
	d := &fakeDiscovery{watchLines: make(chan string), watchIndexes: make(chan string, 100),
		listGate: make(chan struct{}), done: make(chan struct{}),
		list: membership.List{Revision: 7, Complete: true, Members: members}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			select {
			case <-d.listGate:
			case <-r.Context().Done():
				return
			case <-d.done:
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			json.NewEncoder(w).Encode(d.list)
			return
		}
		var keepAlives <-chan time.Time
		if d.sendKeepAlives.Load() {
			ticker := time.NewTicker(watchKeepAlive / 2)
			defer ticker.Stop()
			keepAlives = ticker.C
			io.WriteString(w, "\n")
		}
		w.(http.Flusher).Flush()
		d.watchIndexes <- r.URL.Query().Get("index")
		for {
			select {
			case <-keepAlives:
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			case line := <-d.watchLines:
				if line == "end" {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-d.done:
				return
			}
		}
	}))
	t.Cleanup(func() { close(d.done); d.CloseClientConnections(); d.Close() })
	return d
}

// rig is an ingress with a fake discovery service, and with helpers for its clients.
type rig struct {
	*testing.T
	server    *Server
	discovery *fakeDiscovery
	stop      context.CancelFunc // requests the shutdown
	serveDone chan error         // receives the result of Serve
}

// newRig returns a running ingress that is ready. configure, unless nil, changes the
// configuration first.
func newRig(t *testing.T, configure func(*Config), members ...*membership.Member) *rig {
	t.Helper()
	d := newFakeDiscovery(t, members...)
	close(d.listGate)
	r := startRig(t, d, configure)
	c := r.dial()
	for line := ""; line != "+PONG"; {
		c.send("PING")
		line = c.readLine()
	}
	c.nc.Close()
	return r
}

// startRig starts an ingress with a discovery service, and does not wait until it is ready.
func startRig(t *testing.T, d *fakeDiscovery, configure func(*Config)) *rig {
	t.Helper()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","settings":%s}`,
		fmt.Sprintf(settingsFormat, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	d.sendKeepAlives.Store(true)
	cfg.Discovery = d.Listener.Addr().String()
	if configure != nil {
		configure(&cfg)
	}
	s, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{T: t, server: s, discovery: d, stop: cancel, serveDone: make(chan error, 1)}
	go func() { r.serveDone <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		s.ln.Close()
		s.mu.Lock()
		for c := range s.clients {
			c.nc.Close()
		}
		s.mu.Unlock()
	})
	return r
}

// runOnLoop runs f on the loop's goroutine and waits until it returns.
func (r *rig) runOnLoop(f func(l *loop)) {
	done := make(chan struct{})
	r.server.loop.post(func(l *loop) { f(l); close(done) })
	<-done
}

// applyList handles a list as if it came from discovery, and returns once it is applied.
func (r *rig) applyList(list membership.List) {
	s := r.server.sources
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	s.handleList(current, list)
}

// fakeClient is a connection to the ingress on which the test plays the client.
type fakeClient struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

// dial opens a connection to the ingress.
func (r *rig) dial() *fakeClient {
	r.Helper()
	nc, err := net.Dial("tcp", r.server.Addr().String())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return &fakeClient{r.T, nc, bufio.NewReader(nc)}
}

// encode encodes a command.
func encode(words ...string) string {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return string(b)
}

// send sends a command.
func (c *fakeClient) send(words ...string) { c.write(encode(words...)) }

// write sends bytes as they are.
func (c *fakeClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.nc, text); err != nil {
		c.t.Fatal(err)
	}
}

// readLine reads one answer: its line, followed by the value of a bulk string.
func (c *fakeClient) readLine() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("reading an answer: %v", err)
	}
	if strings.HasPrefix(s, "$") {
		v, err := c.in.ReadString('\n')
		if err != nil {
			c.t.Fatalf("reading the value of an answer: %v", err)
		}
		s += v
	}
	return strings.TrimSpace(s)
}

// wantLine reads one answer and compares it.
func (c *fakeClient) wantLine(text string) {
	c.t.Helper()
	if got := c.readLine(); got != text {
		c.t.Fatalf("answer %q, want %q", got, text)
	}
}

// wantClosed waits until the ingress closes the connection without sending another byte.
func (c *fakeClient) wantClosed() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Fatalf("read %q, %v; want the end of the connection", rest, err)
	}
}

// wait receives a value. what describes the value in the message of a time-out.
func wait[T any](t *testing.T, what string, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// wantNone checks that no value is queued on the channel. what describes such a value.
func wantNone[T any](t *testing.T, what string, ch <-chan T) {
	t.Helper()
	select {
	case <-ch:
		t.Fatalf("got %s, want none", what)
	default:
	}
}

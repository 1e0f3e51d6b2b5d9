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

// testTimeout bounds every wait of the tests; none of them passes by waiting.
const testTimeout = 30 * time.Second

const (
	lookupOptions  = "c=lookup,t=basic,d=20000,units=1,spread=1,first=0"
	paymentOptions = "c=payment,t=basic,d=20000,units=1,spread=1,first=0"
	testCustomer   = "00000000b4d65521"
	testRequestID  = "9b1f03aa5c7e2d41"
)

// newRequestID is the id of a new try.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

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

// receivedCommand is one command that came to a backend.
type receivedCommand struct {
	nc   net.Conn
	args []string
}

func (r receivedCommand) replyValue(value string) {
	fmt.Fprintf(r.nc, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
func (r receivedCommand) replyLine(text string) { fmt.Fprintf(r.nc, "%s\r\n", text) }
func (r receivedCommand) reset() {
	r.nc.(*net.TCPConn).SetLinger(0)
	r.nc.Close()
}

// fakeBackend hands each command to the test, which answers it. Probes it
// answers itself.
type fakeBackend struct {
	addr     string
	commands chan receivedCommand
	closed   chan net.Conn // connections that the ingress has ended
	opened   chan net.Conn
}

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

func (b *fakeBackend) member(id string) *membership.Member {
	return &membership.Member{ID: id, HostPort: b.addr, Locality: "a", Flavor: "std", Phase: membership.PhaseServing, Size: 1}
}

// fakeDiscovery serves one list, and watches fed by the test.
type fakeDiscovery struct {
	*httptest.Server
	watchLines     chan string   // the next lines of the watch now open
	watchIndexes   chan string   // the index from which each watch began
	listGate       chan struct{} // closed when the list may be told
	done           chan struct{} // closed at the end of the test
	sendKeepAlives atomic.Bool   // a watch says at once, and again and again, that nothing has changed
	mu             sync.Mutex
	list           membership.List
}

func newFakeDiscovery(t *testing.T, members ...*membership.Member) *fakeDiscovery {
	d := &fakeDiscovery{watchLines: make(chan string), watchIndexes: make(chan string, 100), listGate: make(chan struct{}),
		done: make(chan struct{}), list: membership.List{Revision: 7, Complete: true, Members: members}}
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

// rig is an ingress between fakes.
type rig struct {
	*testing.T
	server    *Server
	discovery *fakeDiscovery
	stop      context.CancelFunc
	serveDone chan error
}

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

// runOnLoop runs f on the loop's goroutine and waits for it.
func (r *rig) runOnLoop(f func(l *loop)) {
	done := make(chan struct{})
	r.server.loop.post(func(l *loop) { f(l); close(done) })
	<-done
}

// applyList takes a list as if discovery had told it, and returns once it is in force.
func (r *rig) applyList(list membership.List) {
	s := r.server.sources
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	s.handleList(current, list)
}

type fakeClient struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

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

func encode(words ...string) string {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return string(b)
}

func (c *fakeClient) send(words ...string) { c.write(encode(words...)) }

func (c *fakeClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.nc, text); err != nil {
		c.t.Fatal(err)
	}
}

// readLine reads one answer: the readLine, and the value where it is a bulk string.
func (c *fakeClient) readLine() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if strings.HasPrefix(s, "$") {
		v, err := c.in.ReadString('\n')
		if err != nil {
			c.t.Fatalf("half an answer: %v", err)
		}
		s += v
	}
	return strings.TrimSpace(s)
}

func (c *fakeClient) wantLine(text string) {
	c.t.Helper()
	if got := c.readLine(); got != text {
		c.t.Fatalf("answer %q, want %q", got, text)
	}
}

// wantClosed waits for the ingress to close the connection without another byte.
func (c *fakeClient) wantClosed() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Fatalf("the connection gave %q, %v; want its end", rest, err)
	}
}

func wait[T any](t *testing.T, what string, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

func wantNone[T any](t *testing.T, what string, ch <-chan T) {
	t.Helper()
	select {
	case <-ch:
		t.Fatalf("there is %s, want none", what)
	default:
	}
}

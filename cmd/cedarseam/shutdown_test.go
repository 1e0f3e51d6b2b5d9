package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// killGrace is the time between the longest deadline of a request and SIGKILL: SIGKILL may
	// follow SIGTERM after the longest deadline, of which at most 3 s count, plus this time.
	killGrace = 700 * time.Millisecond
	// lateRequestDelay is the time from SIGTERM to a late request. It is longer than killGrace, so
	// that a client that waits for almost longestDeadline (1.9 s) waits beyond SIGKILL.
	lateRequestDelay = 1000 * time.Millisecond
	longestDeadline  = 2 * time.Second

	// signalDelay is how long the program may take to notice the signal.
	signalDelay = 50 * time.Millisecond

	shutdownConfigFormat = `{"name":"n0","listen":"127.0.0.1:0","discovery":%[1]q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"revision":1,"complete":true,"members":[%[2]s]},
 "settings":{"balancers":1,"bounds":{"try_limit":4,"conn_idle_ms":600000,"retry_after":true,"max_retry_after_ms":1000},
  "discovery":"push","invariants":{"drain_grace_ms":2000},
  "request_classes":[
   {"name":"lookup","aim_ms":%[3]d,"give_up_ms":%[4]d,"effect":"free","worth":1},
   {"name":"payment","aim_ms":%[3]d,"give_up_ms":%[4]d,"effect":"single_shot","worth":3}],
  "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}]}}`
)

// newShutdownConfig returns a configuration with these backends, in which all request classes
// have the given deadline.
func newShutdownConfig(discovery string, deadline time.Duration, backends ...string) string {
	var members []string
	for i, addr := range backends {
		members = append(members, fmt.Sprintf(`{"id":"b%d","host_port":%q,"phase":"SERVING","size":1}`, i, addr))
	}
	return fmt.Sprintf(shutdownConfigFormat, discovery, strings.Join(members, ","),
		(deadline / 3).Milliseconds(), deadline.Milliseconds())
}

// paymentCommand returns a request that must not run twice and whose client waits for
// timeoutMillis.
func paymentCommand(id, timeoutMillis int) string {
	return encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id),
		fmt.Sprintf("c=payment,t=basic,d=%d,units=1,spread=1,first=0", timeoutMillis), "BODY")
}

// response is the first line of an answer to a client, or the error that ended its connection.
type response struct {
	line string
	err  error
}

// readResponse reads one line in the background.
func readResponse(in *bufio.Reader) chan response {
	result := make(chan response, 1)
	go func() {
		line, err := in.ReadString('\n')
		result <- response{line, err}
	}()
	return result
}

// isConnectionClosed reports whether err means that the connection was closed.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// A request that is read after SIGTERM must be answered before the process may be killed. The
// hardest case is the first command on a connection that was accepted after SIGTERM, with a
// backend that does not answer during the whole shutdown. The program may close the connection
// without an answer only if it has not forwarded the request.
func TestLateRequestAnsweredBeforeKill(t *testing.T) {
	backend, requests := unresponsiveBackend(t)
	discovery, _ := startListener(t)
	p := startProgram(t, newShutdownConfig(discovery, longestDeadline, backend))
	p.waitUntilServing()
	p.sendSignal(syscall.SIGTERM)
	sendTime, killTime := time.After(lateRequestDelay), time.After(longestDeadline+killGrace)
	p.waitForLogLine("state=draining")
	lateConn, in := dial(t, p.addr) // new connections are accepted for a short time after SIGTERM
	p.waitForLogLine(`state="taking no further command on used connections"`)
	<-sendTime
	if _, err := io.WriteString(lateConn, paymentCommand(1, 1900)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-readResponse(in):
		if got.err != nil && len(requests) > 0 {
			t.Errorf("forwarded request: got response %q and error %v, want an answer", got.line, got.err)
		}
		if got.err != nil && !isConnectionClosed(got.err) {
			t.Errorf("connection ended with %v, want an answer or a closed connection", got.err)
		}
	case <-killTime:
		p.sendSignal(os.Kill)
		t.Errorf("request not answered before SIGKILL; %d attempts were forwarded", len(requests))
	}
}

// receivedRequest is a request that a backend received.
type receivedRequest struct {
	requestID  string
	receivedAt time.Time
	deadline   time.Time // receivedAt plus the timeout in the request
}

// fixedReplyBackend is a backend that answers each request with the same text, which may be empty
// or incomplete, and records the requests that it received.
type fixedReplyBackend struct {
	addr     string
	mu       sync.Mutex
	received []receivedRequest
}

// forwardedRequestPattern matches a request to a backend: its id and its timeout in milliseconds.
var forwardedRequestPattern = regexp.MustCompile(`\r\n([0-9a-f]{16})\r\n\$\d+\r\nc=\w+,t=basic,d=(\d+),`)

func newFixedReplyBackend(t *testing.T, reply string) *fixedReplyBackend {
	addr, connections := startListener(t)
	b := &fixedReplyBackend{addr: addr}
	go func() {
		for {
			select {
			case nc := <-connections:
				t.Cleanup(func() { nc.Close() })
				go b.serve(nc, reply)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return b
}

func (b *fixedReplyBackend) serve(nc net.Conn, reply string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		now := time.Now()
		match := forwardedRequestPattern.FindSubmatch(buf[:n])
		if match == nil {
			continue
		}
		timeoutMillis, _ := strconv.Atoi(string(match[2]))
		b.mu.Lock()
		b.received = append(b.received, receivedRequest{
			string(match[1]), now, now.Add(time.Duration(timeoutMillis) * time.Millisecond),
		})
		b.mu.Unlock()
		io.WriteString(nc, reply)
	}
}

// testClient sends one request after another. It reconnects when its connection is closed.
type testClient struct {
	answered map[string]bool // ids of the requests that were answered
}

// sendRequests sends requests until the program accepts no connection or the time until has
// come. The request ids count up from first+1.
func (c *testClient) sendRequests(addr string, first int, timeout time.Duration, until time.Time) {
	for id := first; time.Now().Before(until); {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		nc.SetDeadline(until)
		in := bufio.NewReader(nc)
		for err == nil {
			id++
			if _, err = io.WriteString(nc, paymentCommand(id, int(timeout.Milliseconds()))); err == nil {
				err = c.readAnswer(in, id)
			}
		}
		nc.Close()
	}
}

// readAnswer reads one complete answer and records the request as answered.
func (c *testClient) readAnswer(in *bufio.Reader, id int) error {
	line, err := in.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = in.ReadString('\n')
	}
	if err == nil {
		c.answered[fmt.Sprintf("%016x", id)] = true
	}
	return err
}

// While clients of all kinds are connected, with short and long deadlines, the program must exit
// before SIGKILL, answer every request that it has read, and send no backend a timeout that ends
// after SIGKILL.
func TestShutdownAnswersAllRequestsBeforeKill(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, longestDeadline, 15 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			checkShutdown(t, deadline, func(*program) {})
		})
	}
}

// suspensionTime is the longest time for which the operating system may suspend the process between
// reading its clock and writing. The guarantees of a shutdown hold up to it.
const suspensionTime = 150 * time.Millisecond

// The guarantees of a shutdown must also hold if the process is suspended shortly before SIGKILL:
// while the last requests are answered (430 ms before), or while the last commands are read
// (350 ms before).
func TestSuspendedShutdownEndsBeforeKill(t *testing.T) {
	for _, before := range []time.Duration{430 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			t.Parallel()
			checkShutdown(t, longestDeadline, func(p *program) {
				time.AfterFunc(longestDeadline+killGrace-before, func() {
					p.command.Process.Signal(syscall.SIGSTOP)
					time.AfterFunc(suspensionTime, func() { p.command.Process.Signal(syscall.SIGCONT) })
				})
			})
		})
	}
}

// checkShutdown stops a program that serves active clients, an idle connection and a connection
// with an incomplete command. afterSignal is called directly after SIGTERM was sent.
func checkShutdown(t *testing.T, deadline time.Duration, afterSignal func(*program)) {
	backends := []*fixedReplyBackend{
		newFixedReplyBackend(t, ""),                                // no reply
		newFixedReplyBackend(t, "*3\r\n$5\r\nva"),                  // an incomplete reply
		newFixedReplyBackend(t, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"), // a complete reply
	}
	discovery, _ := startListener(t)
	p := startProgram(t, newShutdownConfig(discovery, deadline,
		backends[0].addr, backends[1].addr, backends[2].addr))
	p.waitUntilServing()
	killDelay := min(deadline, 3*time.Second) + killGrace

	idleConn, _ := dial(t, p.addr)
	partialConn, partialReader := dial(t, p.addr)
	io.WriteString(partialConn, paymentCommand(1, 1000)[:40])
	until := time.Now().Add(time.Minute)
	var clients []*testClient
	var group sync.WaitGroup
	for i := range 8 {
		client := &testClient{answered: map[string]bool{}}
		clients = append(clients, client)
		group.Go(func() { client.sendRequests(p.addr, (i+1)<<20, deadline, until) })
	}
	for activeBackends := 0; activeBackends < 3; { // until each has received a request
		activeBackends = 0
		for _, b := range backends {
			b.mu.Lock()
			activeBackends += min(1, len(b.received))
			b.mu.Unlock()
		}
	}
	signalledAt := time.Now()
	p.sendSignal(syscall.SIGTERM)
	afterSignal(p)
	select {
	case <-p.exited:
	case <-time.After(killDelay):
		p.sendSignal(os.Kill)
		t.Fatalf("program did not exit within %v after SIGTERM", killDelay)
	}
	if p.err != nil {
		t.Errorf("program exited with %v, want exit code 0", p.err)
	}
	group.Wait()
	if text, err := io.ReadAll(idleConn); err != nil && !isConnectionClosed(err) ||
		len(text) > 0 && text[0] != '-' {
		t.Errorf("idle connection got %q, %v; want an error line or a closed connection", text, err)
	}
	if line, err := partialReader.ReadString('\n'); err != nil || line[0] != '-' {
		t.Errorf("incomplete command got %q, %v; want an error line", line, err)
	}
	answered := map[string]bool{}
	for _, client := range clients {
		maps.Copy(answered, client.answered)
	}
	for _, b := range backends {
		for _, request := range b.received {
			if !answered[request.requestID] {
				t.Errorf("request %s was forwarded %v after SIGTERM and not answered",
					request.requestID, request.receivedAt.Sub(signalledAt))
			}
			if request.receivedAt.After(signalledAt.Add(signalDelay)) &&
				request.deadline.After(signalledAt.Add(killDelay)) {
				t.Errorf("request %s was forwarded %v after SIGTERM with a deadline at %v, after SIGKILL",
					request.requestID, request.receivedAt.Sub(signalledAt), request.deadline.Sub(signalledAt))
			}
		}
	}
	for _, line := range p.logLines {
		if match := requestTakenPattern.FindStringSubmatch(line); match != nil && !answered[match[1]] {
			t.Errorf("request %s was read and not answered", match[1])
		}
	}
}

// requestTakenPattern matches the log line of a request that was read: its id.
var requestTakenPattern = regexp.MustCompile(`request taken" request=([0-9a-f]{16})`)

// SIGTERM must not be lost while the program reads its configuration at the start: otherwise it
// would accept clients and serve them beyond the time at which it may be killed. The
// configuration file is a named pipe, so that the program blocks while reading it.
func TestTerminationDuringStartup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := launchProgram(t, path)
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens it for reading
	if err != nil {
		t.Fatal(err)
	}
	p.sendSignal(syscall.SIGTERM)
	discovery, _ := startListener(t)
	if _, err := io.WriteString(file, newShutdownConfig(discovery, longestDeadline)); err != nil {
		t.Fatal(err)
	}
	file.Close()
	p.expectCleanExit()
}

// A closed log pipe must not end the program (by default SIGPIPE would), in particular not during
// a shutdown: requests that were read must still be answered.
func TestClosedLogReaderDoesNotStopProgram(t *testing.T) {
	backend, requests := unresponsiveBackend(t)
	discovery, _ := startListener(t)
	p := startProgram(t, newShutdownConfig(discovery, longestDeadline, backend))
	p.waitUntilServing()
	p.stderr.Close()
	nc, in := dial(t, p.addr)
	if _, err := io.WriteString(nc, paymentCommand(1, 1000)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-requests:
	case <-time.After(waitTimeout):
		t.Fatal("request was not forwarded to the backend")
	}
	p.sendSignal(syscall.SIGTERM) // from here on every request is logged
	if got := <-readResponse(in); got.line != "-ERR failed\r\n" {
		t.Errorf("got response %q, error %v; want \"-ERR failed\"", got.line, got.err)
	}
	p.expectCleanExit()
}

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
	// killGrace is how long after the longest deadline SIGKILL may follow SIGTERM.
	killGrace = 700 * time.Millisecond
	// lateRequestDelay is when a request comes that counts as taken late: beyond the time
	// for which the kill allows, and with a client that waits beyond the kill.
	lateRequestDelay = 1000 * time.Millisecond
	longestDeadline  = 2 * time.Second

	// signalDelay is how late the program may notice the signal.
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

// newShutdownConfig is one of a program before these backends, whose requests
// have a deadline.
func newShutdownConfig(discovery string, deadline time.Duration, backends ...string) string {
	var members []string
	for i, addr := range backends {
		members = append(members, fmt.Sprintf(`{"id":"b%d","host_port":%q,"phase":"SERVING","size":1}`, i, addr))
	}
	return fmt.Sprintf(shutdownConfigFormat, discovery, strings.Join(members, ","),
		(deadline / 3).Milliseconds(), deadline.Milliseconds())
}

// paymentCommand is a request that must not run twice, whose client waits for so many milliseconds.
func paymentCommand(id, timeoutMillis int) string {
	return encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id),
		fmt.Sprintf("c=payment,t=basic,d=%d,units=1,spread=1,first=0", timeoutMillis), "BODY")
}

// response is what a client got for a request, or the error that ended its connection.
type response struct {
	line string
	err  error
}

// readResponse reads one answer beside the test.
func readResponse(in *bufio.Reader) chan response {
	result := make(chan response, 1)
	go func() {
		line, err := in.ReadString('\n')
		result <- response{line, err}
	}()
	return result
}

// isConnectionClosed tells that the other side has closed the connection.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// What is read after SIGTERM is answered before the process may be killed, also
// when it is the first command on a connection that was accepted late and the
// backend hangs through the whole shutdown.
func TestLateRequestAnsweredBeforeKill(t *testing.T) {
	backend, requests := hangingBackend(t)
	discovery, _ := startListener(t)
	p := startProgram(t, newShutdownConfig(discovery, longestDeadline, backend))
	p.waitUntilServing()
	p.sendSignal(syscall.SIGTERM)
	sendTime, killTime := time.After(lateRequestDelay), time.After(longestDeadline+killGrace)
	p.waitForLogLine("state=draining")
	lateConn, in := dial(t, p.addr) // clients still come for a while after SIGTERM
	p.waitForLogLine(`state="taking no further command on used connections"`)
	<-sendTime
	if _, err := io.WriteString(lateConn, paymentCommand(1, 1900)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-readResponse(in):
		if got.err != nil && len(requests) > 0 {
			t.Errorf("a request that was forwarded ends with %q, %v", got.line, got.err)
		}
		if got.err != nil && !isConnectionClosed(got.err) {
			t.Errorf("the connection ends with %v", got.err)
		}
	case <-killTime:
		p.sendSignal(os.Kill)
		t.Errorf("the request has no answer when the process may be killed; %d attempts were forwarded", len(requests))
	}
}

// receivedRequest is one that came to a backend: its id and the time it was told.
type receivedRequest struct {
	requestID  string
	receivedAt time.Time
	deadline   time.Time // by when its answer is waited for
}

// fixedReplyBackend answers requests with the text that reply returns, if any, and
// keeps what it has seen.
type fixedReplyBackend struct {
	addr     string
	mu       sync.Mutex
	received []receivedRequest
}

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
		b.received = append(b.received, receivedRequest{string(match[1]), now, now.Add(time.Duration(timeoutMillis) * time.Millisecond)})
		b.mu.Unlock()
		io.WriteString(nc, reply)
	}
}

// testClient is a client that sends request after request, on a connection for as
// long as that stays open, and then on another.
type testClient struct {
	answered map[string]bool
}

// sendRequests goes on until the program takes no further connection, or the time is up.
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

// readAnswer waits for a whole answer.
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

// Whatever clients do while the program stops, long or short their deadlines:
// it ends before it may be killed, all that it has read is answered, and no
// backend is told more time than is left.
func TestShutdownAnswersAllRequestsBeforeKill(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, longestDeadline, 15 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			checkShutdown(t, deadline, func(*program) {})
		})
	}
}

// suspension is how long a process may be held up between reading its clock and writing.
const suspension = 150 * time.Millisecond

// The same holds for a program that is held up shortly before the kill: while the
// last requests are answered, or while the last commands are read.
func TestSuspendedShutdownEndsBeforeKill(t *testing.T) {
	for _, before := range []time.Duration{430 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			t.Parallel()
			checkShutdown(t, longestDeadline, func(p *program) {
				time.AfterFunc(longestDeadline+killGrace-before, func() {
					p.command.Process.Signal(syscall.SIGSTOP)
					time.AfterFunc(suspension, func() { p.command.Process.Signal(syscall.SIGCONT) })
				})
			})
		})
	}
}

// checkShutdown stops a program amid all kinds of clients. trouble is called
// with the signal.
func checkShutdown(t *testing.T, deadline time.Duration, afterSignal func(*program)) {
	backends := []*fixedReplyBackend{newFixedReplyBackend(t, ""), newFixedReplyBackend(t, "*3\r\n$5\r\nva"), newFixedReplyBackend(t, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")}
	discovery, _ := startListener(t)
	p := startProgram(t, newShutdownConfig(discovery, deadline, backends[0].addr, backends[1].addr, backends[2].addr))
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
	for activeBackends := 0; activeBackends < 3; { // all are at work
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
		t.Fatalf("it has not ended %v after SIGTERM", killDelay)
	}
	if p.err != nil {
		t.Errorf("it ends with %v", p.err)
	}
	group.Wait()
	if text, err := io.ReadAll(idleConn); err != nil && !isConnectionClosed(err) || len(text) > 0 && text[0] != '-' {
		t.Errorf("a connection that says nothing gets %q, %v; want an error line or the end", text, err)
	}
	if line, err := partialReader.ReadString('\n'); err != nil || line[0] != '-' {
		t.Errorf("half a command is answered %q, %v; want an error line", line, err)
	}
	answered := map[string]bool{}
	for _, client := range clients {
		maps.Copy(answered, client.answered)
	}
	for _, b := range backends {
		for _, request := range b.received {
			if !answered[request.requestID] {
				t.Errorf("request %s was forwarded %v after SIGTERM and has no answer", request.requestID, request.receivedAt.Sub(signalledAt))
			}
			if request.receivedAt.After(signalledAt.Add(signalDelay)) && request.deadline.After(signalledAt.Add(killDelay)) {
				t.Errorf("request %s was forwarded %v after SIGTERM and is told to last until %v", request.requestID,
					request.receivedAt.Sub(signalledAt), request.deadline.Sub(signalledAt))
			}
		}
	}
	for _, line := range p.logLines {
		if match := requestTakenPattern.FindStringSubmatch(line); match != nil && !answered[match[1]] {
			t.Errorf("request %s was read and has no answer", match[1])
		}
	}
}

var requestTakenPattern = regexp.MustCompile(`request taken" request=([0-9a-f]{16})`)

// A signal that comes while the configuration is read is not missed: no client is
// let in for longer than the kill allows.
func TestTerminationDuringStartup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := launchProgram(t, path)
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the program reads it
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

// A log whose reader has gone does not end the program, in a shutdown least of
// all: what was read is answered.
func TestClosedLogReaderDoesNotStopProgram(t *testing.T) {
	backend, requests := hangingBackend(t)
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
		t.Fatal("the request is not forwarded")
	}
	p.sendSignal(syscall.SIGTERM) // from here on the log tells of each request
	if got := <-readResponse(in); got.line != "-ERR failed\r\n" {
		t.Errorf("the request is answered %q, %v", got.line, got.err)
	}
	p.expectCleanExit()
}

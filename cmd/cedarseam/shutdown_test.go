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
	// killAfter is how long after the longest deadline SIGKILL may follow SIGTERM.
	killAfter = 700 * time.Millisecond
	// lateAfter is when a request comes that counts as taken late: beyond the time
	// for which the kill allows, and with a client that waits beyond the kill.
	lateAfter       = 1000 * time.Millisecond
	longestDeadline = 2 * time.Second

	// signalDelivery is how late the program may notice the signal.
	signalDelivery = 50 * time.Millisecond

	shutdownConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%[1]q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"revision":1,"complete":true,"members":[%[2]s]},
 "settings":{"balancers":1,"bounds":{"try_limit":4,"conn_idle_ms":600000,"retry_after":true,"max_retry_after_ms":1000},
  "discovery":"push","invariants":{"drain_grace_ms":2000},
  "request_classes":[
   {"name":"lookup","aim_ms":%[3]d,"give_up_ms":%[4]d,"effect":"free","worth":1},
   {"name":"payment","aim_ms":%[3]d,"give_up_ms":%[4]d,"effect":"single_shot","worth":3}],
  "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}]}}`
)

// shutdownConfiguration is one of a program before these backends, whose requests
// have a deadline.
func shutdownConfiguration(discovery string, deadline time.Duration, backends ...string) string {
	var members []string
	for i, addr := range backends {
		members = append(members, fmt.Sprintf(`{"id":"b%d","host_port":%q,"phase":"SERVING","size":1}`, i, addr))
	}
	return fmt.Sprintf(shutdownConfig, discovery, strings.Join(members, ","),
		(deadline / 3).Milliseconds(), deadline.Milliseconds())
}

// payment is a request that must not run twice, whose client waits for so many milliseconds.
func payment(id, wait int) string {
	return encode("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id),
		fmt.Sprintf("c=payment,t=basic,d=%d,units=1,spread=1,first=0", wait), "BODY")
}

// answer is what a client got for a request, or the error that ended its connection.
type answer struct {
	line string
	err  error
}

// answerOf reads one answer beside the test.
func answerOf(in *bufio.Reader) chan answer {
	got := make(chan answer, 1)
	go func() {
		line, err := in.ReadString('\n')
		got <- answer{line, err}
	}()
	return got
}

// ended tells that the other side has closed the connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// What is read after SIGTERM is answered before the process may be killed, also
// when it is the first command on a connection that was accepted late and the
// backend hangs through the whole shutdown.
func TestRequestTakenLateInAShutdownIsAnsweredBeforeTheKill(t *testing.T) {
	backend, requests := hangingBackend(t)
	discovery, _ := server(t)
	p := start(t, shutdownConfiguration(discovery, longestDeadline, backend))
	p.ready()
	p.signal(syscall.SIGTERM)
	comes, kill := time.After(lateAfter), time.After(longestDeadline+killAfter)
	p.logged("state=draining")
	late, in := dial(t, p.addr) // clients still come for a while after SIGTERM
	p.logged(`state="taking no further command on used connections"`)
	<-comes
	if _, err := io.WriteString(late, payment(1, 1900)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-answerOf(in):
		if got.err != nil && len(requests) > 0 {
			t.Errorf("a request that was forwarded ends with %q, %v", got.line, got.err)
		}
		if got.err != nil && !ended(got.err) {
			t.Errorf("the connection ends with %v", got.err)
		}
	case <-kill:
		p.signal(os.Kill)
		t.Errorf("the request has no answer when the process may be killed; %d attempts were forwarded", len(requests))
	}
}

// seenRequest is one that came to a backend: its id and the time it was told.
type seenRequest struct {
	id  string
	at  time.Time
	end time.Time // by when its answer is waited for
}

// partBackend answers requests with the text that reply returns, if any, and
// keeps what it has seen.
type partBackend struct {
	addr string
	mu   sync.Mutex
	seen []seenRequest
}

var toldRequest = regexp.MustCompile(`\r\n([0-9a-f]{16})\r\n\$\d+\r\nc=\w+,t=basic,d=(\d+),`)

func newPartBackend(t *testing.T, reply string) *partBackend {
	addr, requests := server(t)
	b := &partBackend{addr: addr}
	go func() {
		for {
			select {
			case nc := <-requests:
				t.Cleanup(func() { nc.Close() })
				go b.serve(nc, reply)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return b
}

func (b *partBackend) serve(nc net.Conn, reply string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		now := time.Now()
		told := toldRequest.FindSubmatch(buf[:n])
		if told == nil {
			continue
		}
		wait, _ := strconv.Atoi(string(told[2]))
		b.mu.Lock()
		b.seen = append(b.seen, seenRequest{string(told[1]), now, now.Add(time.Duration(wait) * time.Millisecond)})
		b.mu.Unlock()
		io.WriteString(nc, reply)
	}
}

// visitor is a client that sends request after request, on a connection for as
// long as that stays open, and then on another.
type visitor struct {
	answered map[string]bool
}

// visit goes on until the program takes no further connection, or the time is up.
func (v *visitor) visit(addr string, first int, wait time.Duration, until time.Time) {
	for id := first; time.Now().Before(until); {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		nc.SetDeadline(until)
		in := bufio.NewReader(nc)
		for err == nil {
			id++
			if _, err = io.WriteString(nc, payment(id, int(wait.Milliseconds()))); err == nil {
				err = v.hear(in, id)
			}
		}
		nc.Close()
	}
}

// hear waits for a whole answer.
func (v *visitor) hear(in *bufio.Reader, id int) error {
	line, err := in.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = in.ReadString('\n')
	}
	if err == nil {
		v.answered[fmt.Sprintf("%016x", id)] = true
	}
	return err
}

// Whatever clients do while the program stops, long or short their deadlines:
// it ends before it may be killed, all that it has read is answered, and no
// backend is told more time than is left.
func TestProgramEndsBeforeTheKillWithEverythingAnswered(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, longestDeadline, 15 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			checkProgramEnds(t, deadline, func(*program) {})
		})
	}
}

// holdUp is how long a process may be held up between reading its clock and writing.
const holdUp = 150 * time.Millisecond

// The same holds for a program that is held up shortly before the kill: while the
// last requests are answered, or while the last commands are read.
func TestProgramThatIsHeldUpEndsBeforeTheKill(t *testing.T) {
	for _, before := range []time.Duration{430 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			t.Parallel()
			checkProgramEnds(t, longestDeadline, func(p *program) {
				time.AfterFunc(longestDeadline+killAfter-before, func() {
					p.command.Process.Signal(syscall.SIGSTOP)
					time.AfterFunc(holdUp, func() { p.command.Process.Signal(syscall.SIGCONT) })
				})
			})
		})
	}
}

// checkProgramEnds stops a program amid all kinds of clients. trouble is called
// with the signal.
func checkProgramEnds(t *testing.T, deadline time.Duration, trouble func(*program)) {
	backends := []*partBackend{newPartBackend(t, ""), newPartBackend(t, "*3\r\n$5\r\nva"), newPartBackend(t, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")}
	discovery, _ := server(t)
	p := start(t, shutdownConfiguration(discovery, deadline, backends[0].addr, backends[1].addr, backends[2].addr))
	p.ready()
	kill := min(deadline, 3*time.Second) + killAfter

	silent, _ := dial(t, p.addr)
	halfway, halfIn := dial(t, p.addr)
	io.WriteString(halfway, payment(1, 1000)[:40])
	until := time.Now().Add(time.Minute)
	var visitors []*visitor
	var group sync.WaitGroup
	for i := range 8 {
		v := &visitor{answered: map[string]bool{}}
		visitors = append(visitors, v)
		group.Go(func() { v.visit(p.addr, (i+1)<<20, deadline, until) })
	}
	for seen := 0; seen < 3; { // all are at work
		seen = 0
		for _, b := range backends {
			b.mu.Lock()
			seen += min(1, len(b.seen))
			b.mu.Unlock()
		}
	}
	terminated := time.Now()
	p.signal(syscall.SIGTERM)
	trouble(p)
	select {
	case <-p.ended:
	case <-time.After(kill):
		p.signal(os.Kill)
		t.Fatalf("it has not ended %v after SIGTERM", kill)
	}
	if p.err != nil {
		t.Errorf("it ends with %v", p.err)
	}
	group.Wait()
	if text, err := io.ReadAll(silent); err != nil && !ended(err) || len(text) > 0 && text[0] != '-' {
		t.Errorf("a connection that says nothing gets %q, %v; want an error line or the end", text, err)
	}
	if line, err := halfIn.ReadString('\n'); err != nil || line[0] != '-' {
		t.Errorf("half a command is answered %q, %v; want an error line", line, err)
	}
	answered := map[string]bool{}
	for _, v := range visitors {
		maps.Copy(answered, v.answered)
	}
	for _, b := range backends {
		for _, request := range b.seen {
			if !answered[request.id] {
				t.Errorf("request %s was forwarded %v after SIGTERM and has no answer", request.id, request.at.Sub(terminated))
			}
			if request.at.After(terminated.Add(signalDelivery)) && request.end.After(terminated.Add(kill)) {
				t.Errorf("request %s was forwarded %v after SIGTERM and is told to last until %v", request.id,
					request.at.Sub(terminated), request.end.Sub(terminated))
			}
		}
	}
	for _, line := range p.lines {
		if id := takenRequest.FindStringSubmatch(line); id != nil && !answered[id[1]] {
			t.Errorf("request %s was read and has no answer", id[1])
		}
	}
}

var takenRequest = regexp.MustCompile(`request taken" request=([0-9a-f]{16})`)

// A signal that comes while the configuration is read is not missed: no client is
// let in for longer than the kill allows.
func TestProgramToldToEndWhileItStartsEndsInTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := launch(t, path)
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the program reads it
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGTERM)
	discovery, _ := server(t)
	if _, err := io.WriteString(file, shutdownConfiguration(discovery, longestDeadline)); err != nil {
		t.Fatal(err)
	}
	file.Close()
	p.wantEnd()
}

// A log whose reader has gone does not end the program, in a shutdown least of
// all: what was read is answered.
func TestProgramOutlivesTheReaderOfItsLog(t *testing.T) {
	backend, requests := hangingBackend(t)
	discovery, _ := server(t)
	p := start(t, shutdownConfiguration(discovery, longestDeadline, backend))
	p.ready()
	p.log.Close()
	nc, in := dial(t, p.addr)
	if _, err := io.WriteString(nc, payment(1, 1000)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-requests:
	case <-time.After(patience):
		t.Fatal("the request is not forwarded")
	}
	p.signal(syscall.SIGTERM) // from here on the log tells of each request
	if got := <-answerOf(in); got.line != "-ERR failed\r\n" {
		t.Errorf("the request is answered %q, %v", got.line, got.err)
	}
	p.wantEnd()
}

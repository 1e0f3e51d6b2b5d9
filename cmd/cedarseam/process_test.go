package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// program is the ingress as a process of its own.
type program struct {
	*testing.T
	command *exec.Cmd
	path    string // of its configuration
	log     io.Closer
	addr    string // where it serves clients
	ended   chan struct{}
	err     error // valid once ended is closed

	mu    sync.Mutex
	lines []string
	seen  int           // lines that logged has looked at
	more  chan struct{} // closed with the next line
}

// start runs the program with a configuration, and variables of the environment
// besides, until the end of the test, and waits until it listens.
func start(t *testing.T, configuration string, environment ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, configuration)
	p := launch(t, path, environment...)
	_, p.addr, _ = strings.Cut(p.logged("address="), "address=")
	return p
}

// launch runs the program with the configuration in a file, and variables of the
// environment besides, until the end of the test.
func launch(t *testing.T, path string, environment ...string) *program {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	p := &program{T: t, command: exec.CommandContext(ctx, os.Args[0]), path: path, ended: make(chan struct{}), more: make(chan struct{})}
	// The race detector would hold the end of the process up for a second.
	p.command.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	p.command.Env = append(p.command.Env, environment...)
	log, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.log = log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go p.follow(log)
	t.Cleanup(func() {
		cancel()
		<-p.ended
		if t.Failed() {
			t.Log(strings.Join(p.lines, "\n"))
		}
	})
	return p
}

// wantEnd waits until the program has ended, and wants that to go well.
func (p *program) wantEnd() {
	p.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		p.Fatal("it does not end")
	}
	if p.err != nil {
		p.Errorf("it ends with %v", p.err)
	}
}

// follow gathers the log until the program has ended.
func (p *program) follow(log io.Reader) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		close(p.more)
		p.more = make(chan struct{})
		p.mu.Unlock()
	}
	p.err = p.command.Wait()
	close(p.ended)
}

// logged waits until the log has a further line with all these words, and returns
// it. A line before it counts no more.
func (p *program) logged(words ...string) string {
	p.Helper()
	limit := time.After(patience)
	for {
		p.mu.Lock()
		lines, more := p.lines, p.more
		p.mu.Unlock()
		for p.seen < len(lines) {
			line := lines[p.seen]
			if p.seen++; hasAll(line, words) {
				return strings.TrimSpace(line)
			}
		}
		select {
		case <-more:
		case <-limit:
			p.Fatalf("the log never says %q", words)
		}
	}
}

func hasAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

func (p *program) signal(s os.Signal) {
	p.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.Fatal(err)
	}
}

// ready waits until the program lets clients in.
func (p *program) ready() {
	p.Helper()
	nc, in := dial(p.T, p.addr)
	defer nc.Close()
	for answer := ""; answer != "+PONG\r\n"; {
		var err error
		io.WriteString(nc, ping)
		if answer, err = in.ReadString('\n'); err != nil {
			p.Fatal(err)
		}
	}
}

// hangingBackend takes requests and never answers one.
func hangingBackend(t *testing.T) (addr string, requests chan string) {
	addr, accepted := server(t)
	requests = make(chan string, 1000)
	go func() {
		for {
			select {
			case nc := <-accepted:
				t.Cleanup(func() { nc.Close() })
				go passOn(nc, requests)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return addr, requests
}

// passOn hands on what comes on a connection, until it ends.
func passOn(nc net.Conn, requests chan<- string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		requests <- string(buf[:n])
	}
}

// encode is a command of a client.
func encode(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

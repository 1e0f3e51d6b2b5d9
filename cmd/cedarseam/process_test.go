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
	command    *exec.Cmd
	configPath string // of its configuration
	stderr     io.Closer
	addr       string // where it serves clients
	exited     chan struct{}
	err        error // valid once ended is closed

	mu        sync.Mutex
	logLines  []string
	scanned   int           // lines that logged has looked at
	lineAdded chan struct{} // closed with the next line
}

// startProgram runs the program with a configuration, and variables of the environment
// besides, until the end of the test, and waits until it listens.
func startProgram(t *testing.T, configuration string, variables ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, configuration)
	p := launchProgram(t, path, variables...)
	_, p.addr, _ = strings.Cut(p.waitForLogLine("address="), "address=")
	return p
}

// launchProgram runs the program with the configuration in a file, and variables of the
// environment besides, until the end of the test.
func launchProgram(t *testing.T, configPath string, variables ...string) *program {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	p := &program{T: t, command: exec.CommandContext(ctx, os.Args[0]), configPath: configPath, exited: make(chan struct{}), lineAdded: make(chan struct{})}
	// The race detector would hold the end of the process up for a second.
	p.command.Env = append(os.Environ(), runMainVariable+"=1", "NODE_CONFIG="+configPath, "GORACE=atexit_sleep_ms=0")
	p.command.Env = append(p.command.Env, variables...)
	stderr, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.stderr = stderr
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go p.readLog(stderr)
	t.Cleanup(func() {
		cancel()
		<-p.exited
		if t.Failed() {
			t.Log(strings.Join(p.logLines, "\n"))
		}
	})
	return p
}

// expectCleanExit waits until the program has ended, and wants that to go well.
func (p *program) expectCleanExit() {
	p.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.Fatal("it does not end")
	}
	if p.err != nil {
		p.Errorf("it ends with %v", p.err)
	}
}

// readLog gathers the log until the program has ended.
func (p *program) readLog(stderr io.Reader) {
	for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
		p.mu.Lock()
		p.logLines = append(p.logLines, scanner.Text())
		close(p.lineAdded)
		p.lineAdded = make(chan struct{})
		p.mu.Unlock()
	}
	p.err = p.command.Wait()
	close(p.exited)
}

// waitForLogLine waits until the log has a further line with all these words, and returns
// it. A line before it counts no more.
func (p *program) waitForLogLine(substrings ...string) string {
	p.Helper()
	timeout := time.After(waitTimeout)
	for {
		p.mu.Lock()
		lines, lineAdded := p.logLines, p.lineAdded
		p.mu.Unlock()
		for p.scanned < len(lines) {
			line := lines[p.scanned]
			if p.scanned++; containsAll(line, substrings) {
				return strings.TrimSpace(line)
			}
		}
		select {
		case <-lineAdded:
		case <-timeout:
			p.Fatalf("the log never says %q", substrings)
		}
	}
}

func containsAll(line string, substrings []string) bool {
	for _, substring := range substrings {
		if !strings.Contains(line, substring) {
			return false
		}
	}
	return true
}

func (p *program) sendSignal(sig os.Signal) {
	p.Helper()
	if err := p.command.Process.Signal(sig); err != nil {
		p.Fatal(err)
	}
}

// waitUntilServing waits until the program lets clients in.
func (p *program) waitUntilServing() {
	p.Helper()
	nc, in := dial(p.T, p.addr)
	defer nc.Close()
	for answer := ""; answer != "+PONG\r\n"; {
		var err error
		io.WriteString(nc, pingCommand)
		if answer, err = in.ReadString('\n'); err != nil {
			p.Fatal(err)
		}
	}
}

// hangingBackend takes requests and never answers one.
func hangingBackend(t *testing.T) (addr string, requests chan string) {
	addr, connections := startListener(t)
	requests = make(chan string, 1000)
	go func() {
		for {
			select {
			case nc := <-connections:
				t.Cleanup(func() { nc.Close() })
				go forwardReads(nc, requests)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return addr, requests
}

// forwardReads hands on what comes on a connection, until it ends.
func forwardReads(nc net.Conn, requests chan<- string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		requests <- string(buf[:n])
	}
}

// encodeCommand is a command of a client.
func encodeCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

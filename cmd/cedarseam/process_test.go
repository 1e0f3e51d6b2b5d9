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

// program is an ingress that runs as a child process.
type program struct {
	*testing.T
	command    *exec.Cmd
	configPath string
	stderr     io.Closer     // read end of the pipe that is its standard error
	addr       string        // address for clients
	exited     chan struct{} // closed once the process has exited
	err        error         // result of the process; valid once exited is closed

	mu        sync.Mutex
	logLines  []string
	scanned   int           // number of lines that waitForLogLine has examined
	lineAdded chan struct{} // closed when the next line is added
}

// startProgram starts the program with a configuration and additional environment variables, and
// waits until it listens. The program is killed at the end of the test.
func startProgram(t *testing.T, configuration string, variables ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, configuration)
	p := launchProgram(t, path, variables...)
	_, p.addr, _ = strings.Cut(p.waitForLogLine("address="), "address=")
	return p
}

// launchProgram starts the program with a configuration file and additional environment
// variables. The program is killed at the end of the test, and its log is printed if the test
// failed.
func launchProgram(t *testing.T, configPath string, variables ...string) *program {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	p := &program{
		T: t, command: exec.CommandContext(ctx, os.Args[0]), configPath: configPath,
		exited: make(chan struct{}), lineAdded: make(chan struct{}),
	}
	// By default the race detector delays the exit of the process by one second.
	p.command.Env = append(os.Environ(),
		runMainVariable+"=1", "NODE_CONFIG="+configPath, "GORACE=atexit_sleep_ms=0")
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

// expectCleanExit waits until the program has exited and fails the test if it exited with an
// error.
func (p *program) expectCleanExit() {
	p.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.Fatal("program did not exit in time")
	}
	if p.err != nil {
		p.Errorf("program exited with %v, want exit code 0", p.err)
	}
}

// readLog collects the log lines until the program has exited.
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

// waitForLogLine waits for a log line that contains all substrings, and returns it. Each call
// continues after the line that the previous call returned.
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
			p.Fatalf("no log line contains all of %q", substrings)
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

// waitUntilServing waits until the program answers PING with PONG.
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

// unresponsiveBackend starts a backend that accepts requests and never answers. What it receives is
// sent to requests.
func unresponsiveBackend(t *testing.T) (addr string, requests chan string) {
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

// forwardReads sends the data read from a connection to requests until the connection is closed.
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

// encodeCommand encodes a client command in RESP.
func encodeCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

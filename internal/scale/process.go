package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"cedarseam/internal/membership"
)

const (
	readyTimeout      = 30 * time.Second       // for an ingress to accept clients
	stopTimeout       = 20 * time.Second       // for a process to exit before it is killed
	readyPollInterval = 2 * time.Millisecond   // between readiness checks
	pingTimeout       = 500 * time.Millisecond // of one readiness check
)

// ingressSpec specifies one ingress process.
type ingressSpec struct {
	program    string // path of the ingress program
	name       string
	index      int              // number of the ingress
	ingresses  int              // in the whole deployment
	discovery  string           // address of its agent
	knownList  *membership.List // last-known-good list in its configuration; nil for none
	maxSockets int              // limit on open sockets
}

// ingressProcess is a running ingress process.
type ingressProcess struct {
	command    *exec.Cmd
	directory  string
	address    string
	exited     chan struct{}
	exitErr    error // valid once exited is closed
	started    time.Time
	readyAfter time.Duration // from the start until the ingress accepted clients
}

// startIngress starts an ingress process and waits until it accepts clients. The caller
// must stop it.
func startIngress(ctx context.Context, spec ingressSpec) (*ingressProcess, error) {
	directory, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return nil, err
	}
	process := &ingressProcess{directory: directory, exited: make(chan struct{})}
	if err := process.start(ctx, spec); err != nil {
		os.RemoveAll(directory)
		return nil, err
	}
	if err := process.waitReady(ctx); err != nil {
		process.stop()
		return nil, fmt.Errorf("ingress %s: %w", spec.name, err)
	}
	return process, nil
}

// start writes the configuration and starts the process.
func (p *ingressProcess) start(ctx context.Context, spec ingressSpec) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	p.address = address
	config, err := configJSON(spec, address)
	if err != nil {
		return err
	}
	path := filepath.Join(p.directory, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, spec.program)
	p.command.Env = append(os.Environ(), "NODE_CONFIG="+path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.started = time.Now()
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
	return nil
}

// configJSON returns the configuration of an ingress that listens on the given address.
func configJSON(spec ingressSpec, address string) ([]byte, error) {
	config := map[string]any{
		"name": spec.name, "listen": address, "discovery": spec.discovery, "seed": fmt.Sprintf("%x", spec.index+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": spec.maxSockets},
		"settings": json.RawMessage(settingsJSON(spec.ingresses, spec.index)),
	}
	if spec.knownList != nil {
		config["known"] = spec.knownList
	}
	return json.Marshal(config)
}

var errNotReady = errors.New("not ready before the timeout")

// waitReady polls the ingress until it accepts clients, for at most readyTimeout.
func (p *ingressProcess) waitReady(ctx context.Context) error {
	for time.Since(p.started) < readyTimeout {
		select {
		case <-p.exited:
			return fmt.Errorf("process exited before it was ready: %w", p.exitErr)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
		if acceptsClients(p.address) {
			p.readyAfter = time.Since(p.started)
			return nil
		}
	}
	return errNotReady
}

// acceptsClients reports whether an ingress answers PING with PONG.
func acceptsClients(address string) bool {
	connection, err := net.DialTimeout("tcp", address, pingTimeout)
	if err != nil {
		return false
	}
	defer connection.Close()
	line, err := ping(connection, pingTimeout)
	return err == nil && line == "+PONG\r\n"
}

// ping sends PING and returns the reply line.
func ping(connection net.Conn, timeout time.Duration) (line string, err error) {
	connection.SetDeadline(time.Now().Add(timeout))
	if _, err := connection.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(connection).ReadString('\n')
}

// stop sends SIGTERM, kills the process if it has not exited within stopTimeout, and removes
// its configuration.
func (p *ingressProcess) stop() {
	defer os.RemoveAll(p.directory)
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.command.Process.Kill()
		<-p.exited
	}
}

// freeAddress returns a loopback address whose port is free at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

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
	readyTimeout      = 30 * time.Second       // an ingress that is not ready by then has failed
	stopTimeout       = 20 * time.Second       // and one that has not ended by then after SIGTERM
	readyPollInterval = 2 * time.Millisecond   // between two questions whether it is
	pingTimeout       = 500 * time.Millisecond // of one such question
)

// ingressSpec is what one ingress process is told.
type ingressSpec struct {
	program    string
	name       string
	index      int
	ingresses  int
	discovery  string
	knownList  *membership.List
	maxSockets int
}

// ingressProcess is a running ingress.
type ingressProcess struct {
	command    *exec.Cmd
	directory  string
	address    string
	exited     chan struct{}
	exitErr    error // valid once ended is closed
	started    time.Time
	readyAfter time.Duration // from its start to its first answer
}

// startIngress starts an ingress and waits until it is ready. The caller stops it.
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

// configJSON is the configuration of an ingress that listens at an address.
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

var errNotReady = errors.New("it is not ready in time")

// waitReady asks until the ingress answers that it is ready.
func (p *ingressProcess) waitReady(ctx context.Context) error {
	for time.Since(p.started) < readyTimeout {
		select {
		case <-p.exited:
			return fmt.Errorf("it ended before it was ready: %w", p.exitErr)
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

// acceptsClients tells whether an ingress lets clients in.
func acceptsClients(address string) bool {
	connection, err := net.DialTimeout("tcp", address, pingTimeout)
	if err != nil {
		return false
	}
	defer connection.Close()
	line, err := ping(connection, pingTimeout)
	return err == nil && line == "+PONG\r\n"
}

// ping asks on a connection whether clients are let in, and returns the line that answers.
func ping(connection net.Conn, timeout time.Duration) (line string, err error) {
	connection.SetDeadline(time.Now().Add(timeout))
	if _, err := connection.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(connection).ReadString('\n')
}

// stop ends the process, by force if it must.
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

// freeAddress is a loopback address on which nobody listens now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

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
	readyWithin  = 30 * time.Second       // an ingress that is not ready by then has failed
	endWithin    = 20 * time.Second       // and one that has not ended by then after SIGTERM
	readyPause   = 2 * time.Millisecond   // between two questions whether it is
	readyTimeout = 500 * time.Millisecond // of one such question
)

// processSpec is what one ingress process is told.
type processSpec struct {
	program   string
	name      string
	self      int
	ingresses int
	discovery string
	known     *membership.List
	sockets   int
}

// process is a running ingress.
type process struct {
	command *exec.Cmd
	folder  string
	listen  string
	ended   chan struct{}
	err     error // valid once ended is closed
	begun   time.Time
	ready   time.Duration // from its start to its first answer
}

// startProcess starts an ingress and waits until it is ready. The caller stops it.
func startProcess(ctx context.Context, spec processSpec) (*process, error) {
	folder, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return nil, err
	}
	p := &process{folder: folder, ended: make(chan struct{})}
	if err := p.start(ctx, spec); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	if err := p.waitReady(ctx); err != nil {
		p.stop()
		return nil, fmt.Errorf("ingress %s: %w", spec.name, err)
	}
	return p, nil
}

func (p *process) start(ctx context.Context, spec processSpec) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	p.listen = listen
	text, err := configText(spec, listen)
	if err != nil {
		return err
	}
	path := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, spec.program)
	p.command.Env = append(os.Environ(), "NODE_CONFIG="+path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.begun = time.Now()
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return nil
}

// configText is the configuration of an ingress that listens at an address.
func configText(spec processSpec, listen string) ([]byte, error) {
	config := map[string]any{
		"name": spec.name, "listen": listen, "discovery": spec.discovery, "seed": fmt.Sprintf("%x", spec.self+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": spec.sockets},
		"settings": json.RawMessage(settings(spec.ingresses, spec.self)),
	}
	if spec.known != nil {
		config["known"] = spec.known
	}
	return json.Marshal(config)
}

var errNotReady = errors.New("it is not ready in time")

// waitReady asks until the ingress answers that it is ready.
func (p *process) waitReady(ctx context.Context) error {
	for time.Since(p.begun) < readyWithin {
		select {
		case <-p.ended:
			return fmt.Errorf("it ended before it was ready: %w", p.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPause):
		}
		if answersPing(p.listen) {
			p.ready = time.Since(p.begun)
			return nil
		}
	}
	return errNotReady
}

// answersPing tells whether an ingress lets clients in.
func answersPing(address string) bool {
	connection, err := net.DialTimeout("tcp", address, readyTimeout)
	if err != nil {
		return false
	}
	defer connection.Close()
	line, err := ping(connection, readyTimeout)
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
func (p *process) stop() {
	defer os.RemoveAll(p.folder)
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(endWithin):
		p.command.Process.Kill()
		<-p.ended
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

package scale

import (
	"errors"
	"net"
	"sync"

	"github.com/tidwall/redcon"
)

// backendStub simulates all backends: one listener serves the addresses of all of
// them. It replies to each request immediately, so that the latency that a client
// sees is what the ingress adds.
type backendStub struct {
	listener net.Listener
	port     int

	mu    sync.Mutex
	down  map[string]bool // addresses of stopped backends
	conns map[net.Conn]struct{}
}

// quotaUseReport is the report field of every reply: the customer's use over all
// ingresses, in percent of its quota rate.
const quotaUseReport = "used=31"

// startBackendStub starts serving the addresses of all backends on one port.
func startBackendStub() (*backendStub, error) {
	listener, port, err := listenOnLoopback(0)
	if err != nil {
		return nil, err
	}
	b := &backendStub{listener: listener, port: port, down: map[string]bool{}, conns: map[net.Conn]struct{}{}}
	go b.accept()
	return b, nil
}

func (b *backendStub) accept() {
	for {
		connection, err := b.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && b.add(connection) {
			go b.serve(connection)
		}
	}
}

// add registers a connection and returns true. It resets the connection and returns
// false if the backend at its address is stopped.
func (b *backendStub) add(connection net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down[connection.LocalAddr().String()] {
		reset(connection)
		return false
	}
	b.conns[connection] = struct{}{}
	return true
}

// serve replies to each command until the connection ends.
func (b *backendStub) serve(connection net.Conn) {
	defer func() {
		connection.Close()
		b.mu.Lock()
		delete(b.conns, connection)
		b.mu.Unlock()
	}()
	commands := redcon.NewReader(connection)
	for {
		if _, err := commands.ReadCommand(); err != nil {
			return
		}
		reply := redcon.AppendArray(nil, 3)
		reply = redcon.AppendBulkString(reply, "value")
		reply = redcon.AppendBulkString(reply, quotaUseReport)
		reply = redcon.AppendNull(reply)
		if _, err := connection.Write(reply); err != nil {
			return
		}
	}
}

// setDown stops the backends at the given addresses, or starts them again. Stopping
// a backend resets its connections.
func (b *backendStub) setDown(down bool, addresses ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range addresses {
		if down {
			b.down[address] = true
		} else {
			delete(b.down, address)
		}
	}
	for connection := range b.conns {
		if b.down[connection.LocalAddr().String()] {
			reset(connection)
		}
	}
}

func (b *backendStub) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for connection := range b.conns {
		connection.Close()
	}
}

// reset closes a connection with a TCP reset, as the death of a backend's process does.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	connection.Close()
}

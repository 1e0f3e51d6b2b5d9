package scale

import (
	"errors"
	"net"
	"sync"

	"github.com/tidwall/redcon"
)

// backends is a stand-in for all backends: one listener serves the address of
// each. A request is answered at once, so that its time is what the ingress adds.
type backends struct {
	listener net.Listener
	port     int

	mu    sync.Mutex
	down  map[string]bool // addresses whose process is gone
	conns map[net.Conn]struct{}
}

// usedOfQuota is what every answer tells of its customer's use, in percent and 1 more.
const usedOfQuota = "used=31"

// startBackends serves all addresses of backends at one port.
func startBackends() (*backends, error) {
	listener, port, err := listenOnLoopback(0)
	if err != nil {
		return nil, err
	}
	b := &backends{listener: listener, port: port, down: map[string]bool{}, conns: map[net.Conn]struct{}{}}
	go b.accept()
	return b, nil
}

func (b *backends) accept() {
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

// add takes a connection in, or resets it if its backend is gone.
func (b *backends) add(connection net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down[connection.LocalAddr().String()] {
		reset(connection)
		return false
	}
	b.conns[connection] = struct{}{}
	return true
}

// serve answers each command until the connection ends.
func (b *backends) serve(connection net.Conn) {
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
		answer := redcon.AppendArray(nil, 3)
		answer = redcon.AppendBulkString(answer, "value")
		answer = redcon.AppendBulkString(answer, usedOfQuota)
		answer = redcon.AppendNull(answer)
		if _, err := connection.Write(answer); err != nil {
			return
		}
	}
}

// setDown ends the processes at addresses, or starts them again. The end of a
// process resets its connections.
func (b *backends) setDown(down bool, addresses ...string) {
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

func (b *backends) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for connection := range b.conns {
		connection.Close()
	}
}

// reset ends a connection as the death of its process does.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	connection.Close()
}

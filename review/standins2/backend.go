package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// command is a command as it is read from a connection.
type command []string

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) (command, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	var c command
	for range count {
		n, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, n+2)
		if _, err := io.ReadFull(in, data); err != nil {
			return nil, err
		}
		c = append(c, string(data[:n]))
	}
	return c, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// option returns the value of an option of a request.
func (c command) option(name string) string {
	for _, pair := range strings.Split(c[3], ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

// backend is a backend that answers each request after its work.
type backend struct {
	rig     *rig
	id      string
	address string
	ln      net.Listener
	work    func(c command) time.Duration
	// answer, if set, handles a command in place of the usual answer. It returns false if the
	// connection is to be closed.
	answer func(c command, nc net.Conn) bool

	mu    sync.Mutex
	runs  map[string]int // by request id
	onRun func(b *backend, c command, at time.Time)
}

func (r *rig) startBackend(id string) *backend {
	b := &backend{rig: r, id: id, ln: must(net.Listen("tcp", "127.0.0.1:0")), runs: map[string]int{},
		work: func(command) time.Duration { return 100 * time.Millisecond }}
	b.address = b.ln.Addr().String()
	go func() {
		for {
			nc, err := b.ln.Accept()
			if err != nil {
				return
			}
			go b.serve(nc)
		}
	}()
	return b
}

// entry returns the backend's entry in discovery's list.
func (b *backend) entry(phase string) member {
	return member{ID: b.id, HostPort: b.address, Locality: "portland-dc", Flavor: "std-2core", Cell: 1,
		Phase: phase, Size: 1}
}

// value returns the value that a backend makes for a request.
func value(id string) string { return "value of " + id }

func usualAnswer(id string) string {
	v := value(id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$7\r\nused=31\r\n$6\r\nqps=11\r\n", len(v), v)
}

func (b *backend) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		c, err := readCommand(in)
		if err != nil {
			return
		}
		at := time.Now()
		if len(c) < 4 {
			fmt.Fprint(nc, "-ERR unknown\r\n")
			continue
		}
		b.rig.logf("run %s at %s: %s", c[2], b.id, c[3])
		b.mu.Lock()
		b.runs[c[2]]++
		b.mu.Unlock()
		if b.onRun != nil {
			b.onRun(b, c, at)
		}
		if b.answer != nil {
			if !b.answer(c, nc) {
				return
			}
			continue
		}
		time.Sleep(b.work(c))
		if _, err := fmt.Fprint(nc, usualAnswer(c[2])); err != nil {
			return
		}
	}
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, class, plan string
	customer        uint64
	d               time.Duration
	units, spread   int
	body            string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newRequest returns a request of one of many customers that stay within their quotas.
func newRequest(class string, d time.Duration, spread int) *request {
	return &request{id: newID(), class: class, plan: "classroom", customer: rand.Uint64N(1 << 33), d: d,
		units: 1, spread: spread, body: "BODY"}
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// text returns the request as it is written.
func (q *request) text() string {
	options := fmt.Sprintf("c=%s,t=%s,d=%d", q.class, q.plan, q.d.Milliseconds())
	if q.class == "save-draft" {
		options += ",k=" + q.id
	}
	options += fmt.Sprintf(",units=%d,spread=%d,first=0", q.units, q.spread)
	if q.class == "view" {
		return "*4\r\n" + bulk("Q.ASK") + bulk(fmt.Sprintf("%016x", q.customer)) + bulk(q.id) + bulk(options)
	}
	return "*5\r\n" + bulk("Q.DO") + bulk(fmt.Sprintf("%016x", q.customer)) + bulk(q.id) + bulk(options) + bulk(q.body)
}

var errTimeUp = errors.New("no answer in time")

// readAnswer reads one answer, and returns the value of one that serves, or the line of
// another.
func readAnswer(in *bufio.Reader) (served bool, text string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errTimeUp
		}
		return false, "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line[0] == '*' {
		return readAnswer(in)
	}
	if line[0] != '$' || line == "$-1" {
		return false, line, nil
	}
	var n int
	fmt.Sscan(line[1:], &n)
	data := make([]byte, n+2)
	if _, err := io.ReadFull(in, data); err != nil {
		return false, "", err
	}
	return true, string(data[:n]), nil
}

// graceAfterDeadline is how long after its time a request may still be answered: half a second
// later it only earns nothing; each limit grows by 50 ms on sockets.
const graceAfterDeadline = 550 * time.Millisecond

// askOnNewConnection sends a request on a connection of its own, and waits for its answer. If the
// ingress closes the connection without an answer, the client sends the request once more on
// a new connection. It reports a request that has no answer as a break.
func (r *rig) askOnNewConnection(address string, q *request) {
	for try := 1; ; try++ {
		nc, err := net.DialTimeout("tcp", address, q.d)
		if err != nil {
			r.logf("%s: no connection: %v", q.id, err)
			return
		}
		if _, err := io.WriteString(nc, q.text()); err != nil {
			r.logf("%s: write: %v", q.id, err)
		}
		sent := time.Now()
		r.logf("sent %s %s d=%d from %s", q.id, q.class, q.d.Milliseconds(), nc.LocalAddr())
		nc.SetReadDeadline(sent.Add(q.d + graceAfterDeadline))
		served, text, err := readAnswer(bufio.NewReader(nc))
		took := time.Since(sent)
		nc.Close()
		switch {
		case errors.Is(err, errTimeUp):
			r.breakf("%s: no answer %.2f s after it was sent, d=%d ms", q.id, took.Seconds(), q.d.Milliseconds())
		case err != nil && try == 1:
			r.logf("%s: closed after %.3f s: %v; sent once more", q.id, took.Seconds(), err)
			continue
		case err != nil:
			r.logf("%s: closed again after %.3f s: %v", q.id, took.Seconds(), err)
		case served && text != value(q.id):
			r.breakf("%s: got %q", q.id, text)
		default:
			r.logf("answer %s after %.3f s: %s", q.id, took.Seconds(), text)
		}
		return
	}
}

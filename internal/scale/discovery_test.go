package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cedarseam/internal/membership"
)

// testTimeout bounds every wait in the tests; no test passes by running into it.
const testTimeout = 30 * time.Second

// watchReader receives the lines of one watch.
type watchReader struct {
	t     *testing.T
	lines chan string
}

// openWatch starts a watch at an agent from a revision on.
func (d *discoveryStub) openWatch(t *testing.T, agent int, revision int64) *watchReader {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/api/targets?stream=1&index=%d", d.agentAddress(agent), revision))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	w := &watchReader{t, make(chan string, 100)}
	go func() {
		lines := bufio.NewScanner(response.Body)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			w.lines <- lines.Text()
		}
		close(w.lines)
	}()
	return w
}

// next returns the list on the next line that is not empty.
func (w *watchReader) next() (list membership.List) {
	w.t.Helper()
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				w.t.Fatal("the watch ended")
			}
			if line == "" {
				continue
			}
			if err := json.Unmarshal([]byte(line), &list); err != nil {
				w.t.Fatalf("%q: %v", line, err)
			}
			return list
		case <-time.After(testTimeout):
			w.t.Fatal("no line received before the timeout")
		}
	}
}

func newTestDiscovery(t *testing.T, size int) (*discoveryStub, membership.List) {
	t.Helper()
	fleet := newFleet(size, 1)
	d, err := startDiscoveryStub(fleet, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	return d, fleet
}

func TestWatchSendsChangesSinceRevision(t *testing.T) {
	d, fleet := newTestDiscovery(t, 10)
	w := d.openWatch(t, 3, 1)
	one := withPhase(fleet.Members[1], membership.PhaseDraining, 0)
	two := withPhase(fleet.Members[2], membership.PhaseDeleted, 0)
	d.publish(one)
	if l := w.next(); l.Revision != 2 || l.Complete || len(l.Members) != 1 || *l.Members[0] != *one {
		t.Errorf("the first change is sent as %+v", l)
	}
	d.publish(two)
	d.publish(two)
	late := d.openWatch(t, 4, 1).next()
	if late.Revision != 4 || late.Complete || len(late.Members) != 2 || *late.Members[0] != *one || *late.Members[1] != *two {
		t.Errorf("a watch from the initial revision receives %+v, want the last update of each changed member", late)
	}
	if future := d.openWatch(t, 5, 99).next(); !future.Complete || len(future.Members) != 9 {
		t.Errorf("a watch from an unknown revision receives %d members, complete %t; want the full list", len(future.Members), future.Complete)
	}
}

func TestWatchFromExpiredRevisionGetsFullList(t *testing.T) {
	d, fleet := newTestDiscovery(t, 10)
	changed := fleet.Members[0]
	for range maxHistory + 1 {
		d.publish(changed)
	}
	if l := d.openWatch(t, 0, 1).next(); !l.Complete || l.Revision != maxHistory+2 || len(l.Members) != 10 {
		t.Errorf("received revision %d with %d members, complete %t; want the full list", l.Revision, len(l.Members), l.Complete)
	}
}

func TestPartitionedAgentSendsMissedChangesAfterReconnect(t *testing.T) {
	d, fleet := newTestDiscovery(t, 10)
	partitioned, other := d.openWatch(t, 0, 1), d.openWatch(t, 1, 1)
	d.setPartitioned(true, 0)
	d.publish(fleet.Members[5])
	if l := other.next(); l.Revision != 2 {
		t.Errorf("an agent that is not partitioned sends revision %d first, want 2", l.Revision)
	}
	d.publish(fleet.Members[6])
	text, _, isPartitioned, _ := d.nextUpdate(0, 1)
	if !isPartitioned || text != nil {
		t.Errorf("a partitioned agent is to send %q, want nothing", text)
	}
	d.setPartitioned(false, 0)
	if l := partitioned.next(); l.Revision != 3 || len(l.Members) != 2 {
		t.Errorf("after the reconnect the agent sends revision %d with %d members, want 3 with 2", l.Revision, len(l.Members))
	}
}

func TestTrafficIsCountedByAgent(t *testing.T) {
	d, fleet := newTestDiscovery(t, 10)
	w := d.openWatch(t, 7, 1)
	d.publish(fleet.Members[0])
	w.next()
	total, maxPerAgent, maxPerSecond := d.trafficTotals()
	if total < int64(len(encodeList(newDelta(fleet, 2, membership.PhaseServing, 0, 0)))) || maxPerAgent != total || maxPerSecond <= 0 {
		t.Errorf("%d bytes in total, at most %d by one agent, at most %d in a second", total, maxPerAgent, maxPerSecond)
	}
	d.resetTraffic()
	if total, _, _ := d.trafficTotals(); total != 0 {
		t.Errorf("%d bytes after a reset", total)
	}
}

// newConnectionPair returns both ends of a TCP connection.
func newConnectionPair(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	deadline := time.Now().Add(testTimeout)
	server.SetDeadline(deadline)
	client.SetDeadline(deadline)
	return server, client
}

// hookedConn is a connection whose Write calls afterWrite between the write and its return.
type hookedConn struct {
	net.Conn
	afterWrite func()
}

func (c hookedConn) Write(text []byte) (int, error) {
	n, err := c.Conn.Write(text)
	c.afterWrite()
	return n, err
}

// A peer that has received bytes finds them counted, even while the write that sent them has
// not returned.
func TestReceivedBytesAreCountedBeforeWriteReturns(t *testing.T) {
	const agent, line = 7, "a line of a watch\n"
	d, _ := newTestDiscovery(t, 1)
	server, client := newConnectionPair(t)
	checks := 0
	checkCounts := func() {
		checks++
		if _, err := io.ReadFull(client, make([]byte, len(line))); err != nil {
			t.Error(err)
		}
		if total, maxPerAgent, maxPerSecond := d.trafficTotals(); total != int64(len(line)) || maxPerAgent != total || maxPerSecond != total {
			t.Errorf("counted on receipt: %d bytes in total, %d by one agent, %d in a second; want %d", total, maxPerAgent, maxPerSecond, len(line))
		}
	}
	connection := &countingConn{hookedConn{server, checkCounts}, d, agent}
	if _, err := connection.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
	if checks != 1 {
		t.Errorf("the counts were checked %d times, want once", checks)
	}
	if total, _, _ := d.trafficTotals(); total != int64(len(line)) {
		t.Errorf("counted after the write: %d bytes, want %d", total, len(line))
	}
}

// writeUntilReset writes to an agent's connection more than its buffers hold, so that the write
// is still blocked when the peer resets the connection. The peer first reads one byte and calls
// received. The result is the number of bytes written.
func writeUntilReset(t *testing.T, d *discoveryStub, agent int, received func()) int {
	t.Helper()
	const (
		bufferBytes = 64 << 10
		textBytes   = 16 << 20
	)
	server, client := newConnectionPair(t)
	server.SetWriteBuffer(bufferBytes)
	client.SetReadBuffer(bufferBytes)
	readErr := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(client, make([]byte, 1))
		received()
		reset(client)
		readErr <- err
	}()
	n, err := (&countingConn{server, d, agent}).Write(make([]byte, textBytes))
	if err := <-readErr; err != nil {
		t.Fatal(err)
	}
	if err == nil || n <= 0 || n >= textBytes {
		t.Fatalf("%d of %d bytes written, error %v; want a partial write", n, textBytes, err)
	}
	return n
}

// Of a partial write, only the bytes that were written stay counted.
func TestUnsentBytesAreNotCounted(t *testing.T) {
	const agent = 7
	d, _ := newTestDiscovery(t, 1)
	sent := int64(writeUntilReset(t, d, agent, func() {}))
	if total, maxPerAgent, maxPerSecond := d.trafficTotals(); total != sent || maxPerAgent != sent || maxPerSecond != sent {
		t.Errorf("%d bytes in total, %d by one agent, %d in a second; want %d", total, maxPerAgent, maxPerSecond, sent)
	}
	server, _ := newConnectionPair(t)
	server.Close()
	if n, err := (&countingConn{server, d, agent}).Write([]byte("line\n")); n != 0 || err == nil {
		t.Fatalf("%d bytes written to a closed connection, error %v", n, err)
	}
	if total, _, _ := d.trafficTotals(); total != sent {
		t.Errorf("%d bytes after a failed write, want %d", total, sent)
	}
}

// A write that spans a reset of the counts does not change the new counts.
func TestUnsentBytesAreNotSubtractedAfterReset(t *testing.T) {
	const agent = 7
	d, _ := newTestDiscovery(t, 1)
	writeUntilReset(t, d, agent, d.resetTraffic)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.traffic.byAgent) != 0 || len(d.traffic.bySecond) != 0 {
		t.Errorf("after a reset the counts are %v by agent and %v by second, want none", d.traffic.byAgent, d.traffic.bySecond)
	}
}

package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
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

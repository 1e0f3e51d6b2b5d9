package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cedarseam/internal/membership"
)

const (
	keepAliveInterval = 2 * time.Second // between the empty lines of a watch that has nothing to tell
	maxHistory        = 1024            // changes that a watch can be resumed from
	maxAgents         = 250 * 250       // addresses set aside for agents
	shutdownTimeout   = 2 * time.Second // that open watches get to end
)

// discoveryStub is a stand-in for the service that knows the backends, and for its
// agents, one beside each ingress. All agents share a listener; the address that
// an ingress calls tells whose agent it is.
type discoveryStub struct {
	port   int
	server *http.Server

	mu            sync.Mutex
	list          membership.List
	indexByID     map[string]int    // of a member in the list, by id
	history       []membership.List // the last changes, oldest first
	snapshot      []byte            // the list as text; nil if it must be made anew
	wake          chan struct{}     // closed when there is something new to tell
	partitioned   map[int]bool      // agents that are cut off
	snapshotsOnly bool              // each change is told as a whole list
	traffic       traffic
}

// traffic counts what agents have sent.
type traffic struct {
	started  time.Time
	byAgent  map[int]int64
	bySecond map[int]int64
}

// startDiscoveryStub serves a list. The port 0 takes a free one.
func startDiscoveryStub(list membership.List, port int) (*discoveryStub, error) {
	listener, port, err := listenOnLoopback(port)
	if err != nil {
		return nil, err
	}
	d := &discoveryStub{port: port, list: list, indexByID: map[string]int{}, wake: make(chan struct{}), partitioned: map[int]bool{},
		traffic: traffic{started: time.Now(), byAgent: map[int]int64{}, bySecond: map[int]int64{}}}
	d.list.Members = append([]*membership.Member(nil), list.Members...)
	for i, member := range d.list.Members {
		d.indexByID[member.ID] = i
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /api/targets", d.serveTargets)
	d.server = &http.Server{Handler: routes, ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, agentKey{}, agentNumber(connection.LocalAddr()))
	}}
	go d.server.Serve(countingListener{listener, d})
	return d, nil
}

// agentKey is the key of an agent's number in a request's context.
type agentKey struct{}

// agentAddress is the address of the agent of an ingress.
func (d *discoveryStub) agentAddress(ingress int) string {
	return fmt.Sprintf("127.32.%d.%d:%d", ingress/250+1, ingress%250+1, d.port)
}

// agentNumber is the opposite of agentAddress.
func agentNumber(address net.Addr) int {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0
	}
	ip := tcp.IP.To4()
	return (int(ip[2])-1)*250 + int(ip[3]) - 1
}

func (d *discoveryStub) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	d.server.Close()
	d.server.Shutdown(ctx)
}

// publish takes a change into the list and tells it to all agents that are not
// cut off. It returns the change's revision.
func (d *discoveryStub) publish(members ...*membership.Member) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Revision++
	for _, member := range members {
		d.applyUpdate(member)
	}
	d.history = append(d.history, membership.List{Revision: d.list.Revision, Members: members})
	if len(d.history) > maxHistory {
		d.history = d.history[1:]
	}
	d.snapshot = nil
	d.wakeWaiters()
	return d.list.Revision
}

// sendSnapshotsOnly makes every watch tell whole lists from now on.
func (d *discoveryStub) sendSnapshotsOnly() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshotsOnly = true
}

// applyUpdate sets the line of one member.
func (d *discoveryStub) applyUpdate(member *membership.Member) {
	index, known := d.indexByID[member.ID]
	switch {
	case member.Phase == membership.PhaseDeleted && known:
		last := len(d.list.Members) - 1
		d.list.Members[index] = d.list.Members[last]
		d.indexByID[d.list.Members[index].ID] = index
		d.list.Members = d.list.Members[:last]
		delete(d.indexByID, member.ID)
	case member.Phase == membership.PhaseDeleted:
	case known:
		d.list.Members[index] = member
	default:
		d.indexByID[member.ID] = len(d.list.Members)
		d.list.Members = append(d.list.Members, member)
	}
}

// currentRevision is that of the last change.
func (d *discoveryStub) currentRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Revision
}

// setPartitioned cuts agents off, or brings them back: what was changed in between is
// then told at once.
func (d *discoveryStub) setPartitioned(partitioned bool, agents ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, agent := range agents {
		if partitioned {
			d.partitioned[agent] = true
		} else {
			delete(d.partitioned, agent)
		}
	}
	d.wakeWaiters()
}

// wakeWaiters lets every call look again. The caller holds the lock.
func (d *discoveryStub) wakeWaiters() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// serveTargets serves the whole list, or a watch.
func (d *discoveryStub) serveTargets(w http.ResponseWriter, r *http.Request) {
	agent, _ := r.Context().Value(agentKey{}).(int)
	if r.URL.Query().Get("stream") == "" {
		if text := d.awaitSnapshot(r.Context(), agent); text != nil {
			w.Write(text)
		}
		return
	}
	revision, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "index must be a revision", http.StatusBadRequest)
		return
	}
	d.serveWatch(w, r.Context(), agent, revision)
}

// awaitSnapshot returns the whole list as soon as the agent is not cut off, or nil if the call ends before.
func (d *discoveryStub) awaitSnapshot(ctx context.Context, agent int) []byte {
	for {
		d.mu.Lock()
		partitioned, wake := d.partitioned[agent], d.wake
		text := d.encodedSnapshot()
		d.mu.Unlock()
		if !partitioned {
			return text
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// encodedSnapshot is the list as text. The caller holds the lock.
func (d *discoveryStub) encodedSnapshot() []byte {
	if d.snapshot == nil {
		d.snapshot = encodeList(d.list)
	}
	return d.snapshot
}

// serveWatch tells what changes after a revision until the connection ends.
func (d *discoveryStub) serveWatch(w http.ResponseWriter, ctx context.Context, agent int, revision int64) {
	control := http.NewResponseController(w)
	writeLine := func(text []byte) bool {
		if _, err := w.Write(append(text, '\n')); err != nil {
			return false
		}
		return control.Flush() == nil
	}
	keepAliveTimer := time.NewTimer(0) // the first empty line comes at once
	defer keepAliveTimer.Stop()
	for {
		text, next, partitioned, wake := d.nextUpdate(agent, revision)
		if text != nil {
			if !writeLine(text) {
				return
			}
			revision = next
			keepAliveTimer.Reset(keepAliveInterval)
			continue
		}
		select {
		case <-wake:
		case <-keepAliveTimer.C:
			if !partitioned && !writeLine(nil) {
				return
			}
			keepAliveTimer.Reset(keepAliveInterval)
		case <-ctx.Done():
			return
		}
	}
}

// nextUpdate is what an agent has to tell after a revision, if anything, and what to wait for otherwise.
func (d *discoveryStub) nextUpdate(agent int, revision int64) (text []byte, next int64, partitioned bool, wake <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if partitioned = d.partitioned[agent]; partitioned || revision == d.list.Revision {
		return nil, revision, partitioned, d.wake
	}
	missed := d.list.Revision - revision
	switch {
	case d.snapshotsOnly || missed < 0 || missed > int64(len(d.history)):
		text = append([]byte(nil), d.encodedSnapshot()...)
	default:
		text = encodeList(mergeChanges(d.history[int64(len(d.history))-missed:]))
	}
	return text, d.list.Revision, false, d.wake
}

// mergeChanges makes one change of several: the last line of each member, in the order of these lines.
func mergeChanges(changes []membership.List) membership.List {
	merged := membership.List{Revision: changes[len(changes)-1].Revision}
	if len(changes) == 1 {
		merged.Members = changes[0].Members
		return merged
	}
	last := map[string]int{}
	for i, change := range changes {
		for _, member := range change.Members {
			last[member.ID] = i
		}
	}
	for i, change := range changes {
		for _, member := range change.Members {
			if last[member.ID] == i {
				merged.Members = append(merged.Members, member)
			}
		}
	}
	return merged
}

// recordSent counts bytes that an agent has written.
func (d *discoveryStub) recordSent(agent, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic.byAgent[agent] += int64(bytes)
	d.traffic.bySecond[int(time.Since(d.traffic.started)/time.Second)] += int64(bytes)
}

// resetTraffic forgets what was sent so far.
func (d *discoveryStub) resetTraffic() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = traffic{started: time.Now(), byAgent: map[int]int64{}, bySecond: map[int]int64{}}
}

// trafficTotals tells how many bytes the agents have sent in all, how many the one
// that sent most has, and how many all have in the worst second.
func (d *discoveryStub) trafficTotals() (total, maxPerAgent, maxPerSecond int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, bytes := range d.traffic.byAgent {
		total += bytes
		maxPerAgent = max(maxPerAgent, bytes)
	}
	for _, bytes := range d.traffic.bySecond {
		maxPerSecond = max(maxPerSecond, bytes)
	}
	return total, maxPerAgent, maxPerSecond
}

// countingListener counts what is written to its connections.
type countingListener struct {
	net.Listener
	discovery *discoveryStub
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{connection, l.discovery, agentNumber(connection.LocalAddr())}, nil
}

type countingConn struct {
	net.Conn
	discovery *discoveryStub
	agent     int
}

// Write implements net.Conn.
func (c *countingConn) Write(text []byte) (int, error) {
	n, err := c.Conn.Write(text)
	c.discovery.recordSent(c.agent, n)
	return n, err
}

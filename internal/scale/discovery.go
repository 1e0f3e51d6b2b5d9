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
	keepAliveInterval = 2 * time.Second // between the empty lines of an idle watch
	maxHistory        = 1024            // most recent changes, from which a watch can be resumed
	maxAgents         = 250 * 250       // addresses available to agents
	shutdownTimeout   = 2 * time.Second // for open watches to end
)

// discoveryStub simulates the discovery service and its agents, one per ingress. All
// agents share one listener; the local address of a connection identifies the agent.
type discoveryStub struct {
	port   int
	server *http.Server

	mu            sync.Mutex
	list          membership.List
	indexByID     map[string]int    // positions in list.Members
	history       []membership.List // the last maxHistory changes, oldest first
	snapshot      []byte            // encoded list; nil after a change
	wake          chan struct{}     // closed and replaced when waiting calls must check again
	partitioned   map[int]bool      // agents that send nothing
	snapshotsOnly bool              // each change is sent as the full list
	traffic       traffic
}

// traffic counts the bytes that agents have sent.
type traffic struct {
	started  time.Time
	byAgent  map[int]int64
	bySecond map[int]int64 // all agents together, by whole seconds since started
}

// add adds bytes of one agent, sent in the given second since started.
func (t traffic) add(agent, second, bytes int) {
	t.byAgent[agent] += int64(bytes)
	t.bySecond[second] += int64(bytes)
}

// startDiscoveryStub starts serving a list. Port 0 selects a free port.
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

// agentKey is the context key of the number of the agent that a request addresses.
type agentKey struct{}

// agentAddress returns the address of an ingress's agent.
func (d *discoveryStub) agentAddress(ingress int) string {
	return fmt.Sprintf("127.32.%d.%d:%d", ingress/250+1, ingress%250+1, d.port)
}

// agentNumber returns the number of the ingress whose agent has the given address.
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

// publish applies a change to the list, wakes all watches and returns the revision
// of the change.
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

// sendSnapshotsOnly makes every watch send the full list instead of changes.
func (d *discoveryStub) sendSnapshotsOnly() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshotsOnly = true
}

// applyUpdate adds, replaces or removes one member of the list.
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

// currentRevision returns the revision of the last change.
func (d *discoveryStub) currentRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Revision
}

// setPartitioned simulates a network partition of the given agents, or ends it. A
// watch whose agent is reconnected sends the missed changes at once.
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

// wakeWaiters wakes every waiting call. The caller holds the lock.
func (d *discoveryStub) wakeWaiters() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// serveTargets serves the full list, or a watch if the request has the parameter stream.
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

// awaitSnapshot returns the encoded list as soon as the agent is not partitioned, or nil
// if the request is cancelled first.
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

// encodedSnapshot returns the encoded list. The caller holds the lock.
func (d *discoveryStub) encodedSnapshot() []byte {
	if d.snapshot == nil {
		d.snapshot = encodeList(d.list)
	}
	return d.snapshot
}

// serveWatch sends the changes after a revision until the connection ends.
func (d *discoveryStub) serveWatch(w http.ResponseWriter, ctx context.Context, agent int, revision int64) {
	control := http.NewResponseController(w)
	writeLine := func(text []byte) bool {
		if _, err := w.Write(append(text, '\n')); err != nil {
			return false
		}
		return control.Flush() == nil
	}
	keepAliveTimer := time.NewTimer(0) // the first empty line is sent at once
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

// nextUpdate returns the encoded update from a revision to the current one, and the
// revision that it leads to. If there is nothing to send, text is nil and wake is
// closed when the caller must check again. The update is the full list if the
// revision is unknown or older than the history.
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

// mergeChanges combines successive changes into one that holds the last update of each
// member, in the order of these updates.
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

// recordSent counts bytes that an agent is about to send. The returned function subtracts
// those that were not sent from the same counts, even if resetTraffic was called since.
func (d *discoveryStub) recordSent(agent, bytes int) (subtract func(unsent int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.traffic
	second := int(time.Since(counts.started) / time.Second)
	counts.add(agent, second, bytes)
	return func(unsent int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		counts.add(agent, second, -unsent)
	}
}

// resetTraffic restarts the traffic counts at zero.
func (d *discoveryStub) resetTraffic() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = traffic{started: time.Now(), byAgent: map[int]int64{}, bySecond: map[int]int64{}}
}

// trafficTotals returns the bytes sent by all agents, the most sent by one agent, and
// the most sent by all agents in one second.
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

// countingListener counts the bytes written to its connections by agent.
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

// countingConn is a connection accepted by a countingListener.
type countingConn struct {
	net.Conn
	discovery *discoveryStub
	agent     int
}

// Write implements net.Conn. The bytes are counted before the write, so that a peer that has
// received them finds them counted. Bytes that were not written are subtracted afterwards.
func (c *countingConn) Write(text []byte) (int, error) {
	subtract := c.discovery.recordSent(c.agent, len(text))
	n, err := c.Conn.Write(text)
	if n < len(text) {
		subtract(len(text) - n)
	}
	return n, err
}

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
	keepAlive    = 2 * time.Second // between the empty lines of a watch that has nothing to tell
	historyKept  = 1024            // changes that a watch can be resumed from
	agentsInAll  = 250 * 250       // addresses set aside for agents
	discoveryEnd = 2 * time.Second // that open watches get to end
)

// discovery is a stand-in for the service that knows the backends, and for its
// agents, one beside each ingress. All agents share a listener; the address that
// an ingress calls tells whose agent it is.
type discovery struct {
	port   int
	server *http.Server

	mu      sync.Mutex
	list    membership.List
	place   map[string]int    // of a member in the list, by id
	history []membership.List // the last changes, oldest first
	whole   []byte            // the list as text; nil if it must be made anew
	wake    chan struct{}     // closed when there is something new to tell
	silent  map[int]bool      // agents that are cut off
	wholly  bool              // each change is told as a whole list
	traffic traffic
}

// traffic counts what agents have sent.
type traffic struct {
	begun    time.Time
	byAgent  map[int]int64
	bySecond map[int]int64
}

// startDiscovery serves a list. The port 0 takes a free one.
func startDiscovery(list membership.List, port int) (*discovery, error) {
	listener, port, err := listenOnLoopback(port)
	if err != nil {
		return nil, err
	}
	d := &discovery{port: port, list: list, place: map[string]int{}, wake: make(chan struct{}), silent: map[int]bool{},
		traffic: traffic{begun: time.Now(), byAgent: map[int]int64{}, bySecond: map[int]int64{}}}
	d.list.Members = append([]*membership.Member(nil), list.Members...)
	for i, m := range d.list.Members {
		d.place[m.ID] = i
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: routes, ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, agentKey{}, agentNumber(connection.LocalAddr()))
	}}
	go d.server.Serve(countingListener{listener, d})
	return d, nil
}

// agentKey is the key of an agent's number in a request's context.
type agentKey struct{}

// agentAddress is the address of the agent of an ingress.
func (d *discovery) agentAddress(ingress int) string {
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

func (d *discovery) close() {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryEnd)
	defer cancel()
	d.server.Close()
	d.server.Shutdown(ctx)
}

// publish takes a change into the list and tells it to all agents that are not
// cut off. It returns the change's revision.
func (d *discovery) publish(members ...*membership.Member) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Revision++
	for _, m := range members {
		d.put(m)
	}
	d.history = append(d.history, membership.List{Revision: d.list.Revision, Members: members})
	if len(d.history) > historyKept {
		d.history = d.history[1:]
	}
	d.whole = nil
	d.wakeAll()
	return d.list.Revision
}

// tellWhole makes every watch tell whole lists from now on.
func (d *discovery) tellWhole() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wholly = true
}

// put sets the line of one member.
func (d *discovery) put(m *membership.Member) {
	place, known := d.place[m.ID]
	switch {
	case m.Phase == membership.PhaseDeleted && known:
		last := len(d.list.Members) - 1
		d.list.Members[place] = d.list.Members[last]
		d.place[d.list.Members[place].ID] = place
		d.list.Members = d.list.Members[:last]
		delete(d.place, m.ID)
	case m.Phase == membership.PhaseDeleted:
	case known:
		d.list.Members[place] = m
	default:
		d.place[m.ID] = len(d.list.Members)
		d.list.Members = append(d.list.Members, m)
	}
}

// revision is that of the last change.
func (d *discovery) revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Revision
}

// silence cuts agents off, or brings them back: what was changed in between is
// then told at once.
func (d *discovery) silence(silent bool, agents ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, agent := range agents {
		if silent {
			d.silent[agent] = true
		} else {
			delete(d.silent, agent)
		}
	}
	d.wakeAll()
}

// wakeAll lets every call look again. The caller holds the lock.
func (d *discovery) wakeAll() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// targets serves the whole list, or a watch.
func (d *discovery) targets(w http.ResponseWriter, r *http.Request) {
	agent, _ := r.Context().Value(agentKey{}).(int)
	if r.URL.Query().Get("stream") == "" {
		if text := d.await(r.Context(), agent); text != nil {
			w.Write(text)
		}
		return
	}
	revision, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "index must be a revision", http.StatusBadRequest)
		return
	}
	d.watch(w, r.Context(), agent, revision)
}

// await returns the whole list as soon as the agent is not cut off, or nil if the call ends before.
func (d *discovery) await(ctx context.Context, agent int) []byte {
	for {
		d.mu.Lock()
		silent, wake := d.silent[agent], d.wake
		text := d.wholeText()
		d.mu.Unlock()
		if !silent {
			return text
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// wholeText is the list as text. The caller holds the lock.
func (d *discovery) wholeText() []byte {
	if d.whole == nil {
		d.whole = lineOf(d.list)
	}
	return d.whole
}

// watch tells what changes after a revision until the connection ends.
func (d *discovery) watch(w http.ResponseWriter, ctx context.Context, agent int, revision int64) {
	control := http.NewResponseController(w)
	say := func(text []byte) bool {
		if _, err := w.Write(append(text, '\n')); err != nil {
			return false
		}
		return control.Flush() == nil
	}
	alive := time.NewTimer(0) // the first empty line comes at once
	defer alive.Stop()
	for {
		text, next, silent, wake := d.news(agent, revision)
		if text != nil {
			if !say(text) {
				return
			}
			revision = next
			alive.Reset(keepAlive)
			continue
		}
		select {
		case <-wake:
		case <-alive.C:
			if !silent && !say(nil) {
				return
			}
			alive.Reset(keepAlive)
		case <-ctx.Done():
			return
		}
	}
}

// news is what an agent has to tell after a revision, if anything, and what to wait for otherwise.
func (d *discovery) news(agent int, revision int64) (text []byte, next int64, silent bool, wake <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silent = d.silent[agent]; silent || revision == d.list.Revision {
		return nil, revision, silent, d.wake
	}
	missed := d.list.Revision - revision
	switch {
	case d.wholly || missed < 0 || missed > int64(len(d.history)):
		text = append([]byte(nil), d.wholeText()...)
	default:
		text = lineOf(merge(d.history[int64(len(d.history))-missed:]))
	}
	return text, d.list.Revision, false, d.wake
}

// merge makes one change of several: the last line of each member, in the order of these lines.
func merge(changes []membership.List) membership.List {
	merged := membership.List{Revision: changes[len(changes)-1].Revision}
	if len(changes) == 1 {
		merged.Members = changes[0].Members
		return merged
	}
	last := map[string]int{}
	for i, change := range changes {
		for _, m := range change.Members {
			last[m.ID] = i
		}
	}
	for i, change := range changes {
		for _, m := range change.Members {
			if last[m.ID] == i {
				merged.Members = append(merged.Members, m)
			}
		}
	}
	return merged
}

// sent counts bytes that an agent has written.
func (d *discovery) sent(agent, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic.byAgent[agent] += int64(bytes)
	d.traffic.bySecond[int(time.Since(d.traffic.begun)/time.Second)] += int64(bytes)
}

// resetTraffic forgets what was sent so far.
func (d *discovery) resetTraffic() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = traffic{begun: time.Now(), byAgent: map[int]int64{}, bySecond: map[int]int64{}}
}

// sentSoFar tells how many bytes the agents have sent in all, how many the one
// that sent most has, and how many all have in the worst second.
func (d *discovery) sentSoFar() (total, mostOfOne, worstSecond int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, bytes := range d.traffic.byAgent {
		total += bytes
		mostOfOne = max(mostOfOne, bytes)
	}
	for _, bytes := range d.traffic.bySecond {
		worstSecond = max(worstSecond, bytes)
	}
	return total, mostOfOne, worstSecond
}

// countingListener counts what is written to its connections.
type countingListener struct {
	net.Listener
	discovery *discovery
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
	discovery *discovery
	agent     int
}

// Write implements net.Conn.
func (c *countingConn) Write(text []byte) (int, error) {
	n, err := c.Conn.Write(text)
	c.discovery.sent(c.agent, n)
	return n, err
}

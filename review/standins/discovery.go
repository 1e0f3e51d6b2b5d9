package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// member is a backend in discovery's form.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// list is discovery's list, or a change of it.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the agent: it answers calls for the list at once and keeps watches open.
type discovery struct {
	addr string

	mu      sync.Mutex
	current list
	changed chan struct{}
}

func startDiscovery(members []member) (*discovery, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), changed: make(chan struct{}),
		current: list{Revision: 41, Complete: true, Members: members}}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

// serve answers GET /api/targets, and with stream=1 a watch: the whole list at first if the
// caller's revision is another one, then the whole list after each change.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	l, changed := d.current, d.changed
	d.mu.Unlock()
	text, _ := json.Marshal(l)
	if r.URL.Query().Get("stream") == "" {
		w.Write(text)
		return
	}
	send := func(line []byte) { w.Write(append(line, '\n')); w.(http.Flusher).Flush() }
	if index, _ := json.Marshal(l.Revision); r.URL.Query().Get("index") != string(index) {
		send(text)
	} else {
		send(nil)
	}
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			send(nil)
		case <-changed:
			d.mu.Lock()
			l, changed = d.current, d.changed
			d.mu.Unlock()
			text, _ := json.Marshal(l)
			send(text)
		}
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	revision int
}

type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is an agent of discovery: the whole list and watches, as the protocol page says.
type discovery struct {
	rig     *rig
	name    string
	address string
	ln      net.Listener

	mu       sync.Mutex
	changed  chan struct{} // closed at each change
	revision int
	members  map[string]member
	conns    map[net.Conn]bool
	delay    time.Duration // before the first byte of each answer
}

func (r *rig) startDiscovery(name string) *discovery {
	d := &discovery{rig: r, name: name, ln: must(net.Listen("tcp", "127.0.0.1:0")), changed: make(chan struct{}),
		revision: 40, members: map[string]member{}, conns: map[net.Conn]bool{}}
	d.address = d.ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ConnState: func(nc net.Conn, s http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s == http.StateClosed {
			delete(d.conns, nc)
		} else {
			d.conns[nc] = true
		}
	}}
	go server.Serve(d.ln)
	return d
}

// set adds or changes an entry.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	m.revision = d.revision
	d.members[m.ID] = m
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.logf("%s has revision %d: %s %s", d.name, d.revision, m.ID, m.Phase)
}

// member returns an entry.
func (d *discovery) member(id string) member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[id]
}

// list returns the whole list.
func (d *discovery) list() memberList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns what changed after a revision, or the whole list for -1. d.mu is held.
func (d *discovery) since(revision int) memberList {
	l := memberList{Revision: d.revision, Complete: revision < 0, Members: []member{}}
	for _, m := range d.members {
		if revision < 0 && m.Phase != "DELETED" || revision >= 0 && m.revision > revision {
			l.Members = append(l.Members, m)
		}
	}
	sort.Slice(l.Members, func(i, j int) bool { return l.Members[i].ID < l.Members[j].ID })
	return l
}

// shut takes no new connection from now on, and closes the open ones after 1.5 s, as at a move
// of discovery.
func (d *discovery) shut() {
	d.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for nc := range d.conns {
			nc.Close()
		}
	})
}

func (d *discovery) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/api/targets" {
		http.NotFound(w, req)
		return
	}
	d.rig.logf("%s was asked: %s", d.name, req.URL)
	select {
	case <-time.After(d.delay):
	case <-req.Context().Done():
		d.rig.logf("%s: the call was given up: %s", d.name, req.URL)
		return
	}
	write := func(l memberList) bool {
		text := must(json.Marshal(l))
		_, err := fmt.Fprintf(w, "%s\n", text)
		w.(http.Flusher).Flush()
		if err == nil {
			d.rig.logf("%s wrote revision %d, whole: %v", d.name, l.Revision, l.Complete)
		}
		return err == nil
	}
	if req.URL.Query().Get("stream") != "1" {
		write(d.list())
		return
	}
	index, err := strconv.Atoi(req.URL.Query().Get("index"))
	d.mu.Lock()
	known := d.revision
	if err != nil || index > known || index < 40 {
		index = -1
	}
	first, changed := d.since(index), d.changed
	d.mu.Unlock()
	if index >= 0 && index == known {
		fmt.Fprint(w, "\n")
		w.(http.Flusher).Flush()
	} else if !write(first) {
		return
	}
	last := first.Revision
	for {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		case <-changed:
			d.mu.Lock()
			var l memberList
			l, changed = d.since(last), d.changed
			d.mu.Unlock()
			last = l.Revision
			if !write(l) {
				return
			}
		}
	}
}

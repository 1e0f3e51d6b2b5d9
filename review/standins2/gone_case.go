package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lateAttempt is how long after its client's close an attempt may begin: 0.1 s, and 50 ms on
// sockets.
const lateAttempt = 150 * time.Millisecond

// goneClients shows that an ingress that is told to end starts attempts for clients that have
// sent much and gone.
func goneClients(r *rig) {
	const backends, hanging = 8, 4
	d := r.startDiscovery("discovery")
	var hang atomic.Bool
	var mu sync.Mutex
	closed := map[string]time.Time{} // by request id
	for i := range backends {
		b := r.startBackend(fmt.Sprintf("s-%d", i))
		b.onRun = func(b *backend, c command, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if gone, ok := closed[c[2]]; ok && at.Sub(gone) > lateAttempt {
				r.breakf("%s was sent to %s %.2f s after its client had closed", c[2], b.id, at.Sub(gone).Seconds())
			}
		}
		b.work = func(command) time.Duration {
			begin := time.Now()
			for i < hanging && hang.Load() && time.Since(begin) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			return time.Duration(180+rand.IntN(160)) * time.Millisecond // of `save-draft`
		}
		d.set(b.entry("SERVING"))
	}
	p := r.startIngress("n0", config(2, 0, d))
	for range 6 {
		r.usualFor(p, 2*time.Second)
		hang.Store(true)
		var clients sync.WaitGroup
		for range 2 {
			clients.Go(func() {
				r.sendAndGo(p.address, 600*time.Millisecond, func(ids []string) {
					mu.Lock()
					defer mu.Unlock()
					for _, id := range ids {
						closed[id] = time.Now()
					}
				})
			})
		}
		time.Sleep(50 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		clients.Wait()
		select {
		case <-p.ended:
		case <-time.After(4 * time.Second):
			r.logf("%s is killed", p.name)
			p.kill()
		}
		hang.Store(false)
		p.config["known"] = d.list()
		p.writeConfig()
		p.start()
	}
}

// usualFor sends the requests of usual clients for some time.
func (r *rig) usualFor(p *ingressProcess, span time.Duration) {
	var usual sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		q := newRequest("view", 4*time.Second, 2)
		usual.Go(func() { r.ask(p.address, q) })
	}
	usual.Wait()
}

// sendAndGo sends six drafts at once, and reads their answers. After some time it sends 24 MB of
// further drafts at once, unless the run is without trouble, and closes.
func (r *rig) sendAndGo(address string, stay time.Duration, onClose func(ids []string)) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.logf("client: %v", err)
		return
	}
	go io.Copy(io.Discard, bufio.NewReader(nc)) // so that nothing is unread at the close
	var ids []string
	var text strings.Builder
	for range 6 {
		q := newRequest("save-draft", 7500*time.Millisecond, 2)
		ids = append(ids, q.id)
		text.WriteString(q.text())
	}
	io.WriteString(nc, text.String())
	r.logf("client %s sent %v", nc.LocalAddr(), ids)
	time.Sleep(stay)
	if r.trouble {
		text.Reset()
		for range 400 {
			q := newRequest("save-draft", 7500*time.Millisecond, 2)
			q.body = strings.Repeat("b", 60000)
			text.WriteString(q.text())
		}
		go io.WriteString(nc, text.String())
		time.Sleep(20 * time.Millisecond)
	}
	nc.Close()
	onClose(ids)
	r.logf("client %s closed", nc.LocalAddr())
}

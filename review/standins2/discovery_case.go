package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// drainGrace is when sends to a draining backend must have ceased: the grace of the settings, and
// 50 ms on sockets.
const drainGrace = 2050 * time.Millisecond

// slowDiscovery moves discovery, which has to be asked, to an address where each call is answered
// after some time. A backend begins to drain afterwards.
func slowDiscovery(r *rig) {
	const delay = 2 * time.Second
	old, moved := r.startDiscovery("discovery-1"), r.startDiscovery("discovery-2")
	var mu sync.Mutex
	var toldAt time.Time // when the drain counts as told; zero: not yet
	var late int
	for i := range 6 {
		b := r.startBackend(fmt.Sprintf("s-%d", i))
		b.onRun = func(b *backend, c command, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if b.id == "s-0" && !toldAt.IsZero() && at.Sub(toldAt) > drainGrace {
				late++
				r.breakf("%s was sent to %s %.2f s after its drain counted as told", c[2], b.id, at.Sub(toldAt).Seconds())
			}
		}
		old.set(b.entry("SERVING"))
		moved.set(b.entry("SERVING"))
	}
	c := config(2, 0, old)
	c["settings"].(map[string]any)["discovery"] = "ask"
	p := r.startIngress("n0", c)

	var usual sync.WaitGroup
	stop := time.Now().Add(30 * time.Second)
	time.AfterFunc(3*time.Second, func() {
		if r.trouble {
			moved.delay = delay // crowded: calls wait before they are answered
		}
		p.config["discovery"] = moved.address
		p.writeConfig()
		p.signal(syscall.SIGHUP)
		old.shut()
		time.Sleep(6 * time.Second)
		m := moved.member("s-0")
		m.Phase = "DRAINING"
		moved.set(m)
		// Discovery has the change and can be reached: it counts as told 6 s later.
		mu.Lock()
		toldAt = time.Now().Add(6 * time.Second)
		mu.Unlock()
	})
	for time.Now().Before(stop) {
		time.Sleep(50 * time.Millisecond)
		q := newRequest("view", 2*time.Second, 2)
		usual.Go(func() { r.askOnNewConnection(p.address, q) })
	}
	usual.Wait()
	r.logf("%d requests were sent to the draining backend too late", late)
}

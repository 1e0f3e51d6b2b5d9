package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// badClient connects, sends what it is given, and stays until the ingress closes.
func (r *rig) badClient(address, text string, ended *sync.WaitGroup) {
	nc, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		r.logf("bad client: %v", err)
		return
	}
	begin := time.Now()
	fmt.Fprint(nc, text)
	r.logf("bad client %s connected, sent %d bytes", nc.LocalAddr(), len(text))
	ended.Add(1)
	go func() {
		defer ended.Done()
		nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, _ := io.ReadAll(nc)
		nc.Close()
		r.logf("bad client %s: over after %.2f s, got %q", nc.LocalAddr(), time.Since(begin).Seconds(), got)
	}()
}

// stoppedClients shows that clients which stop in the middle of a command keep others out.
func stoppedClients(r *rig) {
	d := r.startDiscovery("discovery")
	for i := range 6 {
		b := r.startBackend(fmt.Sprintf("s-%d", i))
		d.set(b.entry("SERVING"))
	}
	p := r.startIngress("n0", config(2, 0, d))
	var usual, bad sync.WaitGroup
	stop := time.After(14 * time.Second)
	if r.trouble {
		time.AfterFunc(2*time.Second, func() {
			half := newRequest("view", 4*time.Second, 2).text()
			half = half[:len(half)/2]
			for range 12 {
				r.badClient(p.address, half, &bad)
			}
			time.Sleep(100 * time.Millisecond)
			for i := range 300 {
				r.badClient(p.address, "", &bad)
				if i >= 150 && i < 162 {
					r.badClient(p.address, half, &bad)
				}
			}
		})
	}
	for running := true; running; {
		select {
		case <-stop:
			running = false
		case <-time.After(50 * time.Millisecond):
			// A view gives up after 50 to 100% of 4 s.
			q := newRequest("view", time.Duration(2000+rand.IntN(2001))*time.Millisecond, 2)
			usual.Go(func() { r.askOnNewConnection(p.address, q) })
		}
	}
	usual.Wait()
	if !p.running() {
		r.breakf("the ingress has ended")
	}
}

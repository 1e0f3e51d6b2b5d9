package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryOf returns the resident memory of a process and the part of it that is in no file, in KB.
func memoryOf(pid int) (resident, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) >= 2 {
			switch n, _ := strconv.Atoi(f[1]); f[0] {
			case "VmRSS:":
				resident = n
			case "RssAnon:":
				anonymous = n
			}
		}
	}
	return resident, anonymous
}

// watchMemory is the platform: it kills an ingress whose resident memory passes its limit. It
// returns when the ingress has ended or stop is closed.
func (r *rig) watchMemory(p *ingressProcess, limitMB int, stop <-chan struct{}) {
	peak, peakAnonymous := 0, 0
	defer func() { r.logf("%s: peak %d KB resident, %d KB of it in no file", p.name, peak, peakAnonymous) }()
	for {
		select {
		case <-stop:
			return
		case <-p.ended:
			r.breakf("%s has ended", p.name)
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident, anonymous := memoryOf(p.cmd.Process.Pid)
		peak, peakAnonymous = max(peak, resident), max(peakAnonymous, anonymous)
		if resident > limitMB<<10 {
			r.breakf("%s is killed for memory: %d KB resident, %d KB of it in no file, limit %d KB",
				p.name, resident, anonymous, limitMB<<10)
			p.cmd.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// manyCommands sends commands of its own at once and reads all answers. It sends as many again when
// all are answered, on a new connection if it was turned away.
func (r *rig) manyCommands(address string, count, body int, until time.Time) {
	for round := 1; time.Now().Before(until); round++ {
		nc, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			return
		}
		answers, last := sendAtOnce(nc, count, body)
		r.logf("bad client %s, round %d: %d of %d commands of %d bytes answered, the last with %.60q",
			nc.LocalAddr(), round, answers, count, body, last)
		nc.Close()
	}
}

func sendAtOnce(nc net.Conn, count, body int) (answers int, last string) {
	filler := strings.Repeat("b", body)
	go func() {
		out := bufio.NewWriterSize(nc, 64<<10)
		for range count {
			q := newRequest([]string{"save-draft", "turn-in"}[rand.IntN(2)], 4*time.Second, 2)
			q.body = filler
			if _, err := io.WriteString(out, q.text()); err != nil {
				return
			}
		}
		out.Flush()
	}()
	in := bufio.NewReader(nc)
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	for answers < count {
		_, text, err := readAnswer(in)
		if err != nil {
			return answers, last
		}
		answers, last = answers+1, text
	}
	return answers, last
}

// smallMemory shows that many clients with many commands take an ingress with little memory
// and many descriptors past its memory.
func smallMemory(r *rig) {
	const limitMB = 32 // the least of the pages; 1,024 descriptors are the most
	d := r.startDiscovery("discovery")
	for i := range 8 {
		b := r.startBackend(fmt.Sprintf("s-%d", i))
		b.work = func(command) time.Duration { return time.Duration(80+rand.IntN(400)) * time.Millisecond }
		d.set(b.entry("SERVING"))
	}
	c := config(2, 0, d)
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 1024}
	p := r.startIngress("n0", c)
	stop := make(chan struct{})
	var watch, usual sync.WaitGroup
	watch.Go(func() { r.watchMemory(p, limitMB, stop) })
	until := time.Now().Add(40 * time.Second)
	if r.trouble {
		time.AfterFunc(3*time.Second, func() {
			// 320 connections: clients hold a third of the descriptors at most for requests.
			for range 220 {
				go r.manyCommands(p.address, 120, 60000, until)
			}
			for range 100 {
				go r.manyCommands(p.address, 300, 100, until)
			}
		})
	}
	for time.Now().Before(until) && p.running() {
		time.Sleep(50 * time.Millisecond)
		q := newRequest("view", 4*time.Second, 2)
		usual.Go(func() { r.ask(p.address, q) })
	}
	usual.Wait()
	close(stop)
	watch.Wait()
}

// ask sends a request on a connection of its own and records what it gets.
func (r *rig) ask(address string, q *request) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.logf("%s: no connection: %v", q.id, err)
		return
	}
	defer nc.Close()
	sent := time.Now()
	io.WriteString(nc, q.text())
	nc.SetReadDeadline(sent.Add(q.d + graceAfterDeadline))
	_, text, err := readAnswer(bufio.NewReader(nc))
	r.logf("usual %s after %.3f s: %s %v", q.id, time.Since(sent).Seconds(), text, err)
}

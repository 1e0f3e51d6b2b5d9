package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// playAtOnce: bad clients send 120 commands with long values at once. The platform kills
// an ingress whose memory is over its limit, and that ingress has crashed.
func playAtOnce(rec *record, dir string, trouble bool) (broken []string, err error) {
	const ingresses, badClients, atOnce, valueBytes, rounds = 3, 24, 120, 60_000, 2
	memoryMB := 64
	if v, err := strconv.Atoi(os.Getenv("MEMORY_MB")); err == nil {
		memoryMB = v
	}
	_, members, err := fleet(12, rec, backend{work: func(class string) time.Duration {
		if class == "turn-in" {
			return 1500 * time.Millisecond // well within its aim of 4 s
		}
		return work(class)
	}})
	if err != nil {
		return nil, err
	}
	tier, err := startTier(ingresses, members, dir, spec{memoryMB: memoryMB, sockets: 384})
	defer func() { endTier(tier) }()
	if err != nil {
		return nil, err
	}
	var usual, usualServed, sent, answered atomic.Int64
	done := make(chan struct{}, badClients)
	for c := range 6 { // usual clients, 10 requests a second together
		go usualClient(tier[c%ingresses].addr, c, &usual, &usualServed)
	}
	time.Sleep(2 * time.Second)
	for c := range badClients {
		go func() {
			defer func() { done <- struct{}{} }()
			for round := range rounds {
				if !sendLong(tier[0].addr, c, round, atOnce, valueBytes, trouble, &sent, &answered) {
					return
				}
			}
		}()
	}
	peak, ended := 0.0, 0
	for tick := 0; ended < badClients && len(broken) == 0; tick++ {
		select {
		case <-done:
			ended++
			continue
		case <-time.After(10 * time.Millisecond):
		}
		for i, p := range tier {
			select {
			case <-p.exited:
				return []string{fmt.Sprintf("ingress n%d has ended by itself", i+1)}, nil
			default:
			}
			mb := residentMB(p.cmd.Process.Pid)
			if i == 0 {
				peak = max(peak, mb)
			}
			if tick%20 == 0 || mb > float64(memoryMB) {
				rec.line("ingress n%d holds %.1f MB; long commands sent %d, answered %d", i+1, mb, sent.Load(), answered.Load())
			}
			if mb > float64(memoryMB) {
				broken = append(broken, fmt.Sprintf("ingress n%d holds %.1f MB of %d MB: killed, which is a crash", i+1, mb, memoryMB))
				rec.line("the platform kills ingress n%d", i+1)
				p.cmd.Process.Kill()
			}
		}
	}
	rec.line("usual clients: %d requests, %d served; peak of ingress n1: %.1f MB; long commands: %d sent, %d answered",
		usual.Load(), usualServed.Load(), peak, sent.Load(), answered.Load())
	if usualServed.Load() == 0 || !trouble && answered.Load() < badClients*rounds*atOnce {
		return nil, fmt.Errorf("only %d usual requests were served, and %d long ones answered", usualServed.Load(), answered.Load())
	}
	return broken, nil
}

// usualClient sends a view every half second.
func usualClient(addr string, number int, sent, servedCount *atomic.Int64) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		q := request{id: fmt.Sprintf("%08x%08x", 0xaa00+number, n), class: "view", limit: 4 * time.Second, school: 10 + (number*7+n)%40}
		if _, err := conn.Write(q.command()); err != nil {
			return
		}
		kind, _ := readAnswer(conn, in, time.Now().Add(5*time.Second))
		if sent.Add(1); kind == served {
			servedCount.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// sendLong sends a turn-in and then drafts with long values on a new connection: all at once, or
// each after the answer to the one before. It returns false if the connection ended early.
func sendLong(addr string, number, round, commands, valueBytes int, atOnce bool, sent, answered *atomic.Int64) bool {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	value := fmt.Sprintf("$%d\r\n%s\r\n", valueBytes, strings.Repeat("x", valueBytes))
	command := func(n int) []byte {
		q := request{id: fmt.Sprintf("%08x%04x%04x", 0xbad0+number, round, n), class: "save-draft", limit: 7 * time.Second, school: 100 + number}
		if n == 0 {
			q.class = "turn-in"
		}
		return []byte(strings.Replace(string(q.command()), "$4\r\nBODY\r\n", value, 1))
	}
	receive := func() bool {
		kind, _ := readAnswer(conn, in, time.Now().Add(20*time.Second))
		answered.Add(1)
		return kind != nothing
	}
	if !atOnce {
		for n := range commands {
			conn.Write(command(n))
			if sent.Add(1); !receive() {
				return false
			}
		}
		return true
	}
	go func() {
		for n := range commands {
			if _, err := conn.Write(command(n)); err != nil {
				return
			}
			sent.Add(1)
		}
	}()
	for range commands {
		if !receive() {
			return false
		}
	}
	return true
}

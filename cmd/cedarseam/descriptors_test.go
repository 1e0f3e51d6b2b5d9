package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	waitTimeout = 10 * time.Second
	pingCommand = "*1\r\n$4\r\nPING\r\n"
	// requestFormat is an idempotent request; its argument is the request id.
	requestFormat = "*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$49\r\nc=lookup,t=basic,d=60000,units=1,spread=1,first=0\r\n"
)

// startListener accepts connections until the test ends and sends each to connections.
func startListener(t *testing.T) (addr string, connections chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections = make(chan net.Conn, 1000)
	t.Cleanup(func() {
		ln.Close()
		for len(connections) > 0 {
			(<-connections).Close()
		}
	})
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			connections <- nc
		}
	}()
	return ln.Addr().String(), connections
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(waitTimeout))
	return nc, bufio.NewReader(nc)
}

// While discovery does not answer, connections of clients and backends use up all the file
// descriptors that the program grants them. Enough descriptors must remain reserved that, once
// discovery answers again, the program connects to it, receives the address of a new backend,
// connects to that backend and forwards the request of a new client.
func TestDescriptorReserveForDiscoveryAndBackends(t *testing.T) {
	for _, sockets := range []int{40, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			discovery, discoveryConns := startListener(t)
			newBackend, newBackendConns := startListener(t)
			var knownMembers []string
			oldBackendConns := make(chan net.Conn, 1000)
			for i := range 8 {
				addr, connections := startListener(t)
				knownMembers = append(knownMembers,
					fmt.Sprintf(`{"id":"old%d","host_port":%q,"phase":"SERVING","size":1}`, i, addr))
				go func() {
					for {
						select {
						case nc := <-connections:
							oldBackendConns <- nc
						case <-t.Context().Done():
							return
						}
					}
				}()
			}
			configuration := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"revision":1,"complete":true,"members":[%s]},
 "settings":{"balancers":1,"bounds":{"try_limit":4,"conn_idle_ms":600000},"discovery":"push","invariants":{"drain_grace_ms":500},
  "request_classes":[{"name":"lookup","aim_ms":60000,"give_up_ms":60000,"effect":"free","worth":2}],
  "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}]}}`, discovery, sockets, strings.Join(knownMembers, ","))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := startProgram(t, configuration, fmt.Sprint(socketLimitVariable, "=", sockets))

			// The backends leave requests unanswered until the program forwards no more.
			p.waitUntilServing()
			var pendingConns []net.Conn
			for id, admitting := 1, true; admitting; id++ {
				nc, in := dial(t, p.addr)
				fmt.Fprintf(nc, requestFormat, id)
				reply := make(chan string, 1)
				go func() { answer, _ := in.ReadString('\n'); reply <- answer }()
				select {
				case nc := <-oldBackendConns:
					t.Cleanup(func() { nc.Close() })
					pendingConns = append(pendingConns, nc)
				case answer := <-reply:
					if admitting = false; !strings.HasPrefix(answer, "-BUSY") {
						t.Fatalf("request %d: got answer %q, want -BUSY", id, answer)
					}
				case <-ctx.Done():
					t.Fatalf("request %d was neither forwarded nor answered", id)
				}
			}
			if len(pendingConns) < 5 {
				t.Fatalf("only %d requests were forwarded, want at least 5", len(pendingConns))
			}
			for range 2 * sockets { // the last ones stay in the listen backlog
				nc, _ := dial(t, p.addr)
				io.WriteString(nc, pingCommand)
			}

			// From now on discovery answers new requests. The backends' connections are still in
			// use when it sends the list.
			listSent := make(chan struct{}, 1000)
			for len(discoveryConns) > 0 {
				(<-discoveryConns).Close()
			}
			go func() {
				for {
					select {
					case nc := <-discoveryConns:
						defer nc.Close()
						if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
							continue
						}
						list := fmt.Sprintf(`{"revision":2,"complete":true,"members":[{"id":"new","host_port":%q,"phase":"SERVING","size":1}]}`+"\n", newBackend)
						fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
						listSent <- struct{}{}
					case <-ctx.Done():
						return
					}
				}
			}()
			select {
			case <-listSent:
			case <-time.After(waitTimeout):
				t.Fatal("program did not connect to discovery")
			}
			for _, nc := range pendingConns {
				io.WriteString(nc, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
			for id, deadline := 1<<20, time.Now().Add(waitTimeout); ; id++ {
				if time.Now().After(deadline) {
					t.Fatal("no request was forwarded to the new backend")
				}
				nc, in := dial(t, p.addr)
				fmt.Fprintf(nc, requestFormat, id)
				reply := make(chan string, 1)
				go func() { text, _ := in.ReadString('\n'); reply <- text }()
				select {
				case nc := <-newBackendConns:
					t.Cleanup(func() { nc.Close() })
					return // the new backend received the request
				case <-reply: // refused: the new list is not yet in use
					nc.Close()
				case nc := <-oldBackendConns:
					t.Cleanup(func() { nc.Close() })
				case <-time.After(waitTimeout):
				}
			}
		})
	}
}

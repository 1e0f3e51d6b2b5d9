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
	patience = 10 * time.Second
	ping     = "*1\r\n$4\r\nPING\r\n"
	request  = "*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$49\r\nc=lookup,t=basic,d=60000,units=1,spread=1,first=0\r\n"
)

// server accepts connections and hands each on, until the test ends.
func server(t *testing.T) (addr string, accepted chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = make(chan net.Conn, 1000)
	t.Cleanup(func() {
		ln.Close()
		for len(accepted) > 0 {
			(<-accepted).Close()
		}
	})
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	return ln.Addr().String(), accepted
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return nc, bufio.NewReader(nc)
}

// Clients take all descriptors that they may while discovery is silent, and
// backends theirs. When discovery is back, the program still reaches it, hears
// of another backend, reaches that, and serves a client who comes then.
func TestDescriptorsAreLeftForDiscoveryAndBackends(t *testing.T) {
	for _, sockets := range []int{40, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			discovery, calls := server(t)
			fresh, atFresh := server(t)
			var known []string
			atOld := make(chan net.Conn, 1000)
			for i := range 8 {
				addr, accepted := server(t)
				known = append(known, fmt.Sprintf(`{"id":"old%d","host_port":%q,"phase":"SERVING","size":1}`, i, addr))
				go func() {
					for {
						select {
						case nc := <-accepted:
							atOld <- nc
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
  "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}]}}`, discovery, sockets, strings.Join(known, ","))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := start(t, configuration, fmt.Sprint(socketLimit, "=", sockets))

			// Requests are held by the backends until no more is let out.
			p.ready()
			var held []net.Conn
			for id, more := 1, true; more; id++ {
				nc, in := dial(t, p.addr)
				fmt.Fprintf(nc, request, id)
				refused := make(chan string, 1)
				go func() { answer, _ := in.ReadString('\n'); refused <- answer }()
				select {
				case nc := <-atOld:
					t.Cleanup(func() { nc.Close() })
					held = append(held, nc)
				case answer := <-refused:
					if more = false; !strings.HasPrefix(answer, "-BUSY") {
						t.Fatalf("request %d is answered %q", id, answer)
					}
				case <-ctx.Done():
					t.Fatalf("request %d gets nowhere", id)
				}
			}
			if len(held) < 5 {
				t.Fatalf("only %d requests are let out", len(held))
			}
			for range 2 * sockets { // the last of them wait in the listener's queue
				nc, _ := dial(t, p.addr)
				io.WriteString(nc, ping)
			}

			// Discovery is back: what it is asked from now on it answers. What the
			// backends hold they still hold then.
			told := make(chan struct{}, 1000)
			for len(calls) > 0 {
				(<-calls).Close()
			}
			go func() {
				for {
					select {
					case nc := <-calls:
						defer nc.Close()
						if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
							continue
						}
						list := fmt.Sprintf(`{"revision":2,"complete":true,"members":[{"id":"new","host_port":%q,"phase":"SERVING","size":1}]}`+"\n", fresh)
						fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
						told <- struct{}{}
					case <-ctx.Done():
						return
					}
				}
			}()
			select {
			case <-told:
			case <-time.After(patience):
				t.Fatal("discovery is not reached")
			}
			for _, nc := range held {
				io.WriteString(nc, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
			for id, end := 1<<20, time.Now().Add(patience); ; id++ {
				if time.Now().After(end) {
					t.Fatal("no client is served by the backend that discovery has told")
				}
				nc, in := dial(t, p.addr)
				fmt.Fprintf(nc, request, id)
				answer := make(chan string, 1)
				go func() { text, _ := in.ReadString('\n'); answer <- text }()
				select {
				case nc := <-atFresh:
					t.Cleanup(func() { nc.Close() })
					return // served as before
				case <-answer: // the list is still the old one
					nc.Close()
				case nc := <-atOld:
					t.Cleanup(func() { nc.Close() })
				case <-time.After(patience):
				}
			}
		})
	}
}

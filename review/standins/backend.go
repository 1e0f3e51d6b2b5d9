package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// backend is a stand-in for one app node: it runs requests side by side and answers in the
// order of a connection.
type backend struct {
	name string
	addr string
	work func(class string) time.Duration
	// answer returns the bytes that answer a request; nil is the good answer.
	answer func(b *backend, id, class string) []byte
	rec    *record
	onRun  func(b *backend, id, class, told string, at time.Time)
}

func startBackend(b *backend) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.addr = ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return nil
}

// goodAnswer is the value made for a request, the school's use and no load report.
func goodAnswer(id string) []byte {
	value := valueOf(id)
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$7\r\nused=20\r\n$-1\r\n", len(value), value)
}

// valueOf is the value that a backend makes for the request with this id.
func valueOf(id string) string { return "made-for-" + id }

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	answers := make(chan chan []byte, 64)
	defer close(answers)
	go func() {
		for a := range answers {
			if text := <-a; text != nil {
				conn.Write(text)
			}
		}
	}()
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		at := time.Now()
		a := make(chan []byte, 1)
		answers <- a
		switch {
		case words[0] == "PING":
			a <- []byte("+PONG\r\n")
			continue
		case len(words) < 4 || words[0] != "Q.ASK" && words[0] != "Q.DO":
			a <- []byte("-ERR unknown\r\n")
			continue
		}
		id, class, told := words[2], option(words[3], "c"), option(words[3], "d")
		b.rec.line("backend %s runs %s %s, told d=%s", b.name, class, id, told)
		if b.onRun != nil {
			b.onRun(b, id, class, told, at)
		}
		go func() {
			time.Sleep(b.work(class))
			var text []byte
			if b.answer != nil {
				text = b.answer(b, id, class)
			}
			if text == nil {
				text = goodAnswer(id)
			} else {
				b.rec.line("backend %s answers %s with spoilt bytes %q", b.name, id, text)
			}
			a <- text
		}()
	}
}

// fleet starts n backends with the same behaviour and returns their list for discovery.
func fleet(n int, rec *record, model backend) (backends []*backend, members []member, err error) {
	var once sync.Mutex
	for i := range n {
		b := model
		b.name, b.rec = fmt.Sprintf("s-%02d", i), rec
		if model.onRun != nil {
			b.onRun = func(b *backend, id, class, told string, at time.Time) {
				once.Lock()
				defer once.Unlock()
				model.onRun(b, id, class, told, at)
			}
		}
		if err := startBackend(&b); err != nil {
			return nil, nil, err
		}
		backends = append(backends, &b)
		members = append(members, member{ID: b.name, HostPort: b.addr, Locality: "portland-dc",
			Flavor: "std-2core", Cell: i / 4, Phase: "SERVING", Size: 1})
	}
	return backends, members, nil
}

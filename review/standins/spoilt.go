package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// grace is how long after its time a request may still get its final answer: half a second, and
// the 50 ms by which time limits grow on sockets.
const grace = 550 * time.Millisecond

// playSpoilt: backends spoil one in six answers. A request whose answer is spoilt has failed:
// it still gets its own final answer, and no client gets another request's value.
func playSpoilt(rec *record, dir string, trouble bool) (broken []string, err error) {
	const ingresses, backends, clients, rounds = 3, 12, 18, 16
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(20, 1))
	answers, spoiltAnswers := 0, 0
	spoil := func(b *backend, id, class string) []byte {
		mu.Lock()
		defer mu.Unlock()
		if answers++; !trouble || answers%6 != 0 {
			return nil
		}
		spoiltAnswers++
		noise := make([]byte, 12)
		for i := range noise {
			noise[i] = byte(rng.IntN(256))
		}
		value := valueOf(id)
		switch spoiltAnswers % 4 {
		case 0: // a line that can't be read
			return fmt.Appendf(nil, "%%%x?\r\n", noise)
		case 1: // a length that does not fit: one element where three belong
			return fmt.Appendf(nil, "*1\r\n$%d\r\n%s\r\n", len(value), value)
		case 2: // the first line, with the length of the array, is missing
			return fmt.Appendf(nil, "$%d\r\n%s\r\n$7\r\nused=20\r\n$-1\r\n", len(value), value)
		}
		return fmt.Appendf(nil, "$%d\r\n%s\r\n", len(noise), noise) // noise
	}
	_, members, err := fleet(backends, rec, backend{answer: spoil, work: work})
	if err != nil {
		return nil, err
	}
	tier, err := startTier(ingresses, members, dir, spec{})
	defer func() { endTier(tier) }()
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	judge := func(q request, kind, text string) {
		mu.Lock()
		defer mu.Unlock()
		counts[kind]++
		rec.line("client of %s %s: %s %q", q.class, q.id, kind, text)
		switch {
		case kind == nothing:
			broken = append(broken, fmt.Sprintf("%s %s got no final answer until half a second after its time", q.class, q.id))
		case kind == served && text != valueOf(q.id):
			broken = append(broken, fmt.Sprintf("%s %s was served with %q, not with the value made for it", q.class, q.id, text))
		}
	}
	classes := []string{"view", "save-draft", "turn-in"}
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			for round := range rounds {
				if conn == nil {
					dialed, err := net.Dial("tcp4", tier[c%ingresses].addr)
					if err != nil {
						rec.line("client %d: %v", c, err)
						return
					}
					conn, in = dialed, bufio.NewReader(dialed)
				}
				// One request, or two sent together: answers come in the order of the commands.
				var sent []request
				var text []byte
				for n := range 1 + c%2 {
					q := request{id: fmt.Sprintf("%08x%08x", 0x9b1f0000+c*256+round*2+n, 0x5c0f6e1a), class: classes[(c+round+n)%3],
						limit: 2500 * time.Millisecond, school: (c*rounds + round) % 60}
					sent, text = append(sent, q), append(text, q.command()...)
					rec.line("client sends %s %s, d=%d", q.class, q.id, q.limit.Milliseconds())
				}
				conn.Write(text)
				from := time.Now()
				for _, q := range sent {
					kind, text := readAnswer(conn, in, from.Add(q.limit+grace))
					judge(q, kind, text)
					if kind == nothing { // the client gives up; what it sent behind is not judged
						conn.Close()
						conn = nil
						break
					}
					from = time.Now() // the wait for the answers before one does not count
				}
				time.Sleep(150 * time.Millisecond)
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	all.Wait()
	rec.line("answers of backends: %d, of them spoilt: %d; clients saw %v", answers, spoiltAnswers, counts)
	if counts[served] < 50 || trouble && spoiltAnswers == 0 {
		return nil, fmt.Errorf("only %d requests were served", counts[served])
	}
	return broken, nil
}

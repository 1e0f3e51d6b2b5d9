package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// killAfter is how long after the longest deadline SIGKILL may follow SIGTERM.
	killAfter = 700 * time.Millisecond
	// lateAfter is when a request comes that counts as taken late: beyond the time
	// for which the kill allows, and with a client that waits beyond the kill.
	lateAfter       = 1000 * time.Millisecond
	longestDeadline = 2 * time.Second

	shutdownConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"revision":1,"complete":true,"members":[{"id":"b","host_port":%q,"phase":"SERVING","size":1}]},
 "settings":{"balancers":1,"bounds":{"try_limit":4,"conn_idle_ms":600000,"retry_after":true,"max_retry_after_ms":1000},
  "discovery":"push","invariants":{"drain_grace_ms":2000},
  "request_classes":[
   {"name":"lookup","aim_ms":600,"give_up_ms":2000,"effect":"free","worth":1},
   {"name":"payment","aim_ms":600,"give_up_ms":2000,"effect":"single_shot","worth":3}],
  "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}]}}`
)

// payment is a request that must not run twice, whose client waits for so many milliseconds.
func payment(id, wait int) string {
	return encode("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id),
		fmt.Sprintf("c=payment,t=basic,d=%d,units=1,spread=1,first=0", wait), "BODY")
}

// answer is what a client got for a request, or the error that ended its connection.
type answer struct {
	line string
	err  error
}

// answerOf reads one answer beside the test.
func answerOf(in *bufio.Reader) chan answer {
	got := make(chan answer, 1)
	go func() {
		line, err := in.ReadString('\n')
		got <- answer{line, err}
	}()
	return got
}

// ended tells that the other side has closed the connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// What is read after SIGTERM is answered before the process may be killed, also
// when it is the first command on a connection that was accepted late and the
// backend hangs through the whole shutdown.
func TestRequestTakenLateInAShutdownIsAnsweredBeforeTheKill(t *testing.T) {
	backend, requests := hangingBackend(t)
	discovery, _ := server(t)
	p := start(t, fmt.Sprintf(shutdownConfig, discovery, backend))
	p.ready()
	p.signal(syscall.SIGTERM)
	comes, kill := time.After(lateAfter), time.After(longestDeadline+killAfter)
	p.logged("state=draining")
	late, in := dial(t, p.addr) // clients still come for a while after SIGTERM
	p.logged(`state="taking no further command on used connections"`)
	<-comes
	if _, err := io.WriteString(late, payment(1, 1900)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-answerOf(in):
		if got.err != nil && len(requests) > 0 {
			t.Errorf("a request that was forwarded ends with %q, %v", got.line, got.err)
		}
		if got.err != nil && !ended(got.err) {
			t.Errorf("the connection ends with %v", got.err)
		}
	case <-kill:
		p.signal(os.Kill)
		t.Errorf("the request has no answer when the process may be killed; %d attempts were forwarded", len(requests))
	}
}

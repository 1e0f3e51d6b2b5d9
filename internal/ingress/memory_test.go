package ingress

import (
	"io"
	"strings"
	"testing"

	"cedarseam/choice"
)

const (
	// longBodyBytes is the size of a command that is close to the longest.
	longBodyBytes = 60_000
	// heapSlack is how much the heap may grow in a test that holds nothing for clients, or
	// beyond what the budget counts.
	heapSlack = 1 << 20
)

// longBody is the body of a long command.
var longBody = strings.Repeat("x", longBodyBytes)

// newCappedPlanRig returns a rig with a second plan whose requests are all refused, and the
// options of a payment under that plan.
func newCappedPlanRig(t *testing.T, b *fakeBackend) (r *rig, refusedOptions string) {
	r = newRig(t, func(cfg *Config) {
		cfg.Choice.Probing = false
		cfg.plans["capped"] = len(cfg.Choice.Plans)
		cfg.Choice.Plans = append(cfg.Choice.Plans,
			choice.Plan{Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 1e-9, CeilingBurst: 1})
	}, b.member("b"))
	return r, strings.Replace(paymentOptions, "t=basic", "t=capped", 1)
}

// Guards against memory that passes the limit: a request that has its final answer must not
// keep its command while that answer waits for the ones before it.
func TestAnsweredRequestKeepsNoCommand(t *testing.T) {
	b := newFakeBackend(t)
	r, refusedOptions := newCappedPlanRig(t, b)
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	slow := wait(t, "the slow request", b.commands)
	before := heapInUse()
	const refused = 100
	for range refused {
		c.send("Q.DO", testCustomer, newRequestID(), refusedOptions, longBody)
	}
	r.waitForAnyClient("the refusals", func(c *client) bool {
		return len(c.pending) == 1+refused && c.pending[refused].filled
	})
	if grown := heapInUse() - before; grown > heapSlack {
		t.Errorf("%d refused commands of %d bytes behind a slow request hold %d KB", refused, longBodyBytes, grown>>10)
	}
	slow.replyValue("v")
	c.wantLine("$1\r\nv")
	for range refused {
		if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("answer %q, want -BUSY", got)
		}
	}
}

// Guards against memory that passes the limit: an answer that has been written must not be
// kept by the place of a later one that is still due.
func TestWrittenAnswersAreNotKeptBehindAnOpenRequest(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	f := newConnFixture(t)
	c := newClient(r.server, f.nc)
	before := heapInUse()
	const answers = 100
	first, open := &slot{}, &slot{}
	c.push(first)
	for range answers {
		c.reply([]byte(longBody))
	}
	c.push(open)
	c.fill(first, []byte("+first\r\n"))
	if _, err := io.CopyN(io.Discard, f.peer, int64(len("+first\r\n")+answers*longBodyBytes)); err != nil {
		t.Fatal(err)
	}
	r.eventually("the answers to be freed", func(l *loop) bool {
		return heapInUse()-before < heapSlack && l.memory.used.Load() == 0
	})
	c.fill(open, []byte("+last\r\n"))
	if got := readUnread(t, f.peer, len("+last\r\n")); got != "+last\r\n" {
		t.Errorf("the last answer is %q", got)
	}
}

// Guards against memory that passes the limit: a connection must not keep a buffer of the
// size of the longest answer that it has sent.
func TestIdleConnectionsKeepNoLongAnswer(t *testing.T) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	const connections = 40
	var clients []*fakeClient
	for range connections {
		c := r.dial()
		c.send("PING") // starts the writer
		c.wantLine("+PONG")
		clients = append(clients, c)
	}
	before := heapInUse()
	for _, c := range clients {
		c.send("Q.ASK", testCustomer, newRequestID(), lookupOptions)
		wait(t, "the request", b.commands).replyValue(longBody)
		c.readLine()
	}
	r.eventually("the heap to shrink", func(*loop) bool { return heapInUse()-before < heapSlack })
}

package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
	"unsafe"

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
	c.fill(first, []byte("+first\r\n"), 0)
	if _, err := io.CopyN(io.Discard, f.peer, int64(len("+first\r\n")+answers*longBodyBytes)); err != nil {
		t.Fatal(err)
	}
	r.eventually("the answers to be freed", func(l *loop) bool {
		return heapInUse()-before < heapSlack && l.memory.used.Load() == 0
	})
	c.fill(open, []byte("+last\r\n"), 0)
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

// Guards against memory that passes the limit: values that wait for a slow answer before
// them are held only as far as the budget has room. The others fail, since they have run.
func TestValuesOverTheMemoryLimitFail(t *testing.T) {
	for _, c := range []struct {
		valueBytes        int
		limit, heldAtMost int
	}{
		{longBodyBytes, 200_000, 3},
		{3500, 20_000, 5}, // fits into the initial read buffer
	} {
		t.Run(fmt.Sprint(c.valueBytes, " bytes"), func(t *testing.T) {
			testValuesOverTheMemoryLimit(t, longBody[:c.valueBytes], c.limit, c.heldAtMost)
		})
	}
}

func testValuesOverTheMemoryLimit(t *testing.T, value string, limit, heldAtMost int) {
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	const requests = 6
	r.runOnLoop(func(l *loop) { l.memory.limit = int64(limit) })
	c := r.dial()
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	slow := wait(t, "the slow request", b.commands)
	before := heapInUse()
	for i := range requests {
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		wait(t, "a request", b.commands).replyValue(value)
		r.waitForAnyClient("its answer", func(c *client) bool { return len(c.pending) == i+2 && c.pending[i+1].filled })
		if used := r.server.loop.memory.used.Load(); used > int64(limit) {
			t.Fatalf("%d bytes are counted, over the limit of %d", used, limit)
		}
	}
	if grown := heapInUse() - before; grown > int64(limit+heapSlack) {
		t.Errorf("the heap has grown by %d KB, with a limit of %d KB", grown>>10, limit>>10)
	}
	slow.replyValue("v")
	c.wantLine("$1\r\nv")
	held := 0
	for range requests {
		if got := c.readLine(); strings.HasPrefix(got, "$") {
			held++
		} else if got != "-ERR failed" {
			t.Errorf("a request without room for its value is answered %q, want -ERR failed", got)
		}
	}
	if held == 0 || held > heldAtMost {
		t.Errorf("%d values are held, want 1 to %d", held, heldAtMost)
	}
	r.eventually("the memory to be released", func(l *loop) bool { return l.memory.used.Load() == 0 })
}

// Guards against memory that passes the limit: the part of a long answer that a backend has
// sent is counted, and given up if there is no room for it.
func TestLongAnswersBeingReadAreCounted(t *testing.T) {
	f := newConnFixture(t)
	f.pool.memory.limit = longBodyBytes / 2
	a := f.newAttempt(t)
	f.send(a)
	readerDone := make(chan struct{})
	go func() {
		f.readAnswers()
		close(readerDone)
	}()
	half := longBody[:longBodyBytes/4]
	fmt.Fprintf(f.peer, "*3\r\n$%d\r\n%s", longBodyBytes, half)
	counted := f.pool.memory.usedBy[replyMemory].Load
	for end := time.Now().Add(testTimeout); counted() < int64(len(half)-readBufferBytes); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are counted for the %d that were sent", counted(), len(half))
		}
	}
	fmt.Fprint(f.peer, longBody[len(half):])
	f.wantStatus(t, choice.Cancelled)
	<-readerDone
	if used := f.pool.memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}

// The buffer of a long answer is given back when the answer is whole, and the value is
// counted in its place.
func TestBufferOfLongAnswerIsReleased(t *testing.T) {
	f := newConnFixture(t)
	a := f.newAttempt(t)
	f.send(a)
	go f.readAnswers()
	fmt.Fprintf(f.peer, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", longBodyBytes, longBody)
	f.wantStatus(t, choice.OK)
	memory := f.pool.memory
	if got := memory.usedBy[replyMemory].Load(); got != 0 {
		t.Errorf("%d bytes of buffers are still counted", got)
	}
	if got := memory.usedBy[answerMemory].Load(); got < longBodyBytes-shortAnswerBytes || got > longBodyBytes {
		t.Errorf("%d bytes are counted for a value of %d", got, longBodyBytes)
	}
}

// Guards against memory that passes the limit: the records of a short request are larger
// than its command.
func TestRecordsOfShortRequestsAreCounted(t *testing.T) {
	records := unsafe.Sizeof(request{}) + unsafe.Sizeof(command{}) + unsafe.Sizeof(attempt{}) +
		maxArgs*unsafe.Sizeof([]byte{})
	if records > requestOverheadBytes {
		t.Errorf("the records of a request take %d bytes, and %d are counted", records, requestOverheadBytes)
	}
	if size := unsafe.Sizeof(slot{}); size > slotOverheadBytes {
		t.Errorf("a slot takes %d bytes, and %d are counted", size, slotOverheadBytes)
	}
	b := newFakeBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	const fitting = 3
	command := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	r.runOnLoop(func(l *loop) {
		l.memory.limit = fitting * int64(len(command)+requestOverheadBytes+slotOverheadBytes+shortAnswerBytes)
	})
	c := r.dial()
	for range fitting {
		c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
		defer wait(t, "a request", b.commands).replyValue("v")
	}
	c.send("Q.DO", testCustomer, newRequestID(), paymentOptions, "BODY")
	r.waitForAnyClient("the last answer", func(c *client) bool {
		return len(c.pending) == fitting+1 && c.pending[fitting].filled
	})
	wantNone(t, "a request over the limit", b.commands)
}

// Guards against memory that passes the limit: an attempt does not copy a long argument, so
// the command is held once, however many backends do not read it.
func TestMessageRefersToLongArguments(t *testing.T) {
	f := newConnFixture(t)
	for _, body := range []string{"", "BODY", longBody[:maxCopiedArgBytes], longBody[:maxCopiedArgBytes+1], longBody} {
		args := [][]byte{[]byte("Q.DO"), []byte(testCustomer), []byte(testRequestID), []byte(paymentOptions), []byte(body)}
		cmd, err := f.pool.cfg.parseCommand(args)
		if err != nil {
			t.Fatal(err)
		}
		parts := cmd.message(1500 * time.Millisecond)
		options := strings.Replace(paymentOptions, "d=20000", "d=1500", 1)
		want := encode("Q.DO", testCustomer, testRequestID, options, body)
		if got := string(bytes.Join(parts, nil)); got != want {
			t.Errorf("the message is %.120q, want %.120q", got, want)
		}
		owned := 0
		for _, part := range parts {
			if len(part) > 0 && len(body) > 0 && &part[0] == &args[4][0] {
				continue
			}
			owned += cap(part)
		}
		if limit := 2 * maxCopiedArgBytes; owned > limit {
			t.Errorf("the message of a body of %d bytes holds %d bytes of its own, want %d at most", len(body), owned, limit)
		}
	}
}

// Guards against usual requests that are refused while clients stop in the middle of long
// commands: their read buffers may take only a part of the memory.
func TestIncompleteCommandsLeaveMemoryForRequests(t *testing.T) {
	b := newFakeBackend(t)
	go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
	r := newRig(t, nil, b.member("b"))
	for r.server.loop.memory.reserve(inputMemory, readBufferBytes) { // as incomplete commands do
	}
	for range 3 {
		c := r.dial()
		sendLookup(c)
		c.wantLine("$1\r\nv")
	}
}

// Guards against a long command of a usual client that is closed at once while others use up
// the memory for read buffers: it waits for memory, for some time.
func TestLongCommandWaitsForMemory(t *testing.T) {
	b := newFakeBackend(t)
	go b.handleEach(t, func(got receivedCommand) { got.replyValue("v") })
	r := newRig(t, nil, b.member("b"))
	memory := r.server.loop.memory
	held := int(memory.limitOf(inputMemory))
	if !memory.reserve(inputMemory, held) {
		t.Fatal("the memory for read buffers can't be used up")
	}
	c := r.dial()
	command := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody)
	c.write(command)
	r.waitForAnyClient("the command to fill its read buffer", func(c *client) bool {
		return unreadBytes(c.nc) == len(command)-readBufferBytes
	})
	memory.release(inputMemory, held)
	c.wantLine("$1\r\nv")
}

// A command for the rest of which there is no memory for too long gets its error.
func TestWaitForMemoryIsLimited(t *testing.T) {
	for name, testCase := range map[string]struct {
		waited time.Duration
		want   error
	}{
		"for a while":  {maxFullTime, nil},
		"for too long": {maxMemoryWait, errNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil, newFakeBackend(t).member("b"))
			c := newClient(r.server, newConnFixture(t).nc)
			half := encode("Q.DO", testCustomer, newRequestID(), paymentOptions, longBody)[:readBufferBytes]
			in := newInput(half)
			in.fullSince = time.Now().Add(-testCase.waited)
			if err := c.handleFullBuffer(&in); !errors.Is(err, testCase.want) {
				t.Errorf("error %v, want %v", err, testCase.want)
			}
			if string(in.buf) != half {
				t.Errorf("the read buffer has changed")
			}
		})
	}
}

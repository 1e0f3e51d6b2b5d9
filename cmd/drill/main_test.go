package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"

	"cedarseam/internal/wire"
)

const testConfig = `{"balancers": 1, "bounds": {"try_limit": 2},
	"request_classes": [{"aim_ms": 300, "give_up_ms": 900, "effect": "free", "worth": 1}],
	"tiers_of_service": [{"quota_rate": 5, "burst": 10, "price": 1}]}`

var littleEndian = binary.LittleEndian

// eventRecord builds an event record of 48 bytes. The keys of fields are byte offsets.
func eventRecord(code, instance int, fields map[int]any) []byte {
	r := make([]byte, 48)
	littleEndian.PutUint16(r, uint16(code))
	littleEndian.PutUint32(r[2:], uint32(instance))
	for at, v := range fields {
		if _, err := binary.Encode(r[at:], littleEndian, v); err != nil {
			panic(err)
		}
	}
	return r
}

// batchFrame builds a frame of events whose clock is 10 ms times seq.
func batchFrame(seq int, tail string, events ...[]byte) []byte {
	body := append(bytes.Join(events, nil), tail...)
	f := make([]byte, 20)
	littleEndian.PutUint32(f, uint32(16+len(body)))
	binary.Encode(f[4:], littleEndian, float64(seq)*10)
	littleEndian.PutUint32(f[12:], uint32(len(events)))
	littleEndian.PutUint32(f[16:], uint32(seq))
	return append(f, body...)
}

// initEvent builds an init event whose settings are testConfig, at an offset in the tail.
func initEvent(instance, offset int) []byte {
	return eventRecord(256, instance, map[int]any{14: uint32(offset), 18: uint32(len(testConfig))})
}

// requestEvent builds a request event with 800 ms left.
func requestEvent(instance, id int) []byte {
	return eventRecord(258, instance,
		map[int]any{6: uint32(id), 23: float64(800), 31: float32(1), 35: float32(1)})
}

// backendEntry encodes an entry of a backend list.
func backendEntry(id int) string {
	e := make([]byte, 22)
	littleEndian.PutUint32(e, uint32(id))
	return string(e)
}

// parseReplies decodes the output of run. It returns the action codes of each reply, and the
// backends of all send actions.
func parseReplies(t *testing.T, out []byte) (codes [][]int, sends []int) {
	t.Helper()
	for len(out) > 0 {
		n := int(littleEndian.Uint32(out))
		var c []int
		for i := range int(littleEndian.Uint32(out[4:])) {
			r := out[12+32*i:]
			c = append(c, int(littleEndian.Uint16(r)))
			if littleEndian.Uint16(r) == 256 {
				sends = append(sends, int(littleEndian.Uint32(r[10:])))
			}
		}
		codes = append(codes, c)
		out = out[4+n:]
	}
	return
}

// A list applies to the events that follow it, until another list has the same index.
func TestListIndexReusedWithinBatch(t *testing.T) {
	tail := testConfig + backendEntry(7) + backendEntry(8)
	list := func(offset int) []byte {
		return eventRecord(267, 0, map[int]any{2: uint8(3), 3: uint32(offset), 7: uint32(1)})
	}
	members := func(instance int) []byte {
		return eventRecord(257, instance, map[int]any{6: uint8(2), 11: uint8(3)})
	}
	in := batchFrame(1, tail,
		list(len(testConfig)), initEvent(1, 0), members(1),
		list(len(testConfig)+22), initEvent(2, 0), members(2),
		requestEvent(1, 100), requestEvent(2, 100))
	var out bytes.Buffer
	if err := run(bytes.NewReader(append(batchFrame(0, ""), in...)), &out); err != nil {
		t.Fatal(err)
	}
	codes, sends := parseReplies(t, out.Bytes())
	if len(codes) != 2 || len(codes[0]) != 0 || len(sends) != 2 || sends[0] != 7 || sends[1] != 8 {
		t.Errorf("replies %v with sends to %v, want one empty reply and sends to backends 7 and 8", codes, sends)
	}
}

// An instance that is stopped and started within one batch starts without its earlier state.
func TestRestartWithinBatch(t *testing.T) {
	in := append(batchFrame(1, testConfig, initEvent(1, 0)),
		batchFrame(2, testConfig, eventRecord(265, 1, nil), initEvent(1, 0), requestEvent(1, 5))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := parseReplies(t, out.Bytes()); len(codes) != 2 || len(codes[1]) != 1 || codes[1][0] != 257 {
		t.Errorf("replies %v, want the restarted instance to refuse the request because it has no backend", codes)
	}
}

// TestMain runs the program itself if DRILL is set, so that a test can check its exit code.
func TestMain(m *testing.M) {
	if os.Getenv("DRILL") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Invalid input must end the program with exit code 1 and a single line on standard error that
// names the batch and the cause.
func TestInvalidInputReportsErrorAndExitCode(t *testing.T) {
	complete := batchFrame(4, testConfig, initEvent(1, 0))
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"clean end", "", complete},
		{"cut frame", "cut short", complete[:40]},
		{"over-long frame", "longer than", []byte{255, 255, 255, 255}},
		{"unknown code", "code 999 is unknown", batchFrame(4, "", eventRecord(999, 1, nil))},
		{"tail", "outside the tail", batchFrame(4, "", initEvent(1, 0))},
		{"unknown instance", "instance 9 is unknown", batchFrame(4, "", eventRecord(262, 9, nil))},
		{"no JSON", "settings", batchFrame(4, strings.Repeat("x", len(testConfig)), initEvent(1, 0))},
		{"no attempts", "Config.MaxAttempts",
			batchFrame(4, "{\"balancers\": 1}"+strings.Repeat(" ", len(testConfig)), initEvent(1, 0))},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DRILL=1")
		cmd.Stdin = bytes.NewReader(c.in)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		message := stderr.String()
		if c.want == "" {
			if err != nil || message != "" {
				t.Errorf("%s: %v, stderr %q; want exit code 0 and no output", c.name, err, message)
			}
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(message, c.want) ||
			!strings.Contains(message, "batch") || strings.Count(message, "\n") != 1 {
			t.Errorf("%s: %v, stderr %q; want exit code 1 and one line that contains \"batch\" and %q",
				c.name, err, message, c.want)
		}
	}
}

// A panic of an instance must be reported as a fault action and not end the program.
func TestPanicReportsFault(t *testing.T) {
	n := &instance{number: 3, reply: new(wire.Reply)}
	ev := wire.Event{Code: wire.EventTimer}
	dispatch(n, 0, &ev, nil) // panics, because the instance has no Gateway
	var out bytes.Buffer
	n.reply.Write(&out, 1)
	if codes, _ := parseReplies(t, out.Bytes()); len(codes[0]) != 1 || codes[0][0] != 265 {
		t.Errorf("actions %v, want one fault", codes)
	}
}

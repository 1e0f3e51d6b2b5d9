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

// eventRecord makes a record of 48 bytes; each field is placed at its byte.
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

func batchFrame(seq int, tail string, events ...[]byte) []byte {
	body := append(bytes.Join(events, nil), tail...)
	f := make([]byte, 20)
	littleEndian.PutUint32(f, uint32(16+len(body)))
	binary.Encode(f[4:], littleEndian, float64(seq)*10)
	littleEndian.PutUint32(f[12:], uint32(len(events)))
	littleEndian.PutUint32(f[16:], uint32(seq))
	return append(f, body...)
}

func initEvent(instance, offset int) []byte {
	return eventRecord(256, instance, map[int]any{14: uint32(offset), 18: uint32(len(testConfig))})
}

func requestEvent(instance, id int) []byte {
	return eventRecord(258, instance, map[int]any{6: uint32(id), 23: float64(800), 31: float32(1), 35: float32(1)})
}

func backendEntry(id int) string {
	e := make([]byte, 22)
	littleEndian.PutUint32(e, uint32(id))
	return string(e)
}

// parseReplies splits what run wrote and returns each reply's action codes and backends of sends.
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
		t.Errorf("replies %v with sends to %v, want an empty one and sends to 7 and 8", codes, sends)
	}
}

func TestRestartWithinBatch(t *testing.T) {
	in := append(batchFrame(1, testConfig, initEvent(1, 0)), batchFrame(2, testConfig, eventRecord(265, 1, nil), initEvent(1, 0), requestEvent(1, 5))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := parseReplies(t, out.Bytes()); len(codes) != 2 || len(codes[1]) != 1 || codes[1][0] != 257 {
		t.Errorf("replies %v, want the fresh instance to refuse for want of a backend", codes)
	}
}

// TestMain lets the test binary stand in for drill, to see its exit status.
func TestMain(m *testing.M) {
	if os.Getenv("DRILL") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

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
		{"no plans", "Config.MaxAttempts", batchFrame(4, "{\"balancers\": 1}"+strings.Repeat(" ", len(testConfig)), initEvent(1, 0))},
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
				t.Errorf("%s: %v, said %q; want exit 0 in silence", c.name, err, message)
			}
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(message, c.want) ||
			!strings.Contains(message, "batch") || strings.Count(message, "\n") != 1 {
			t.Errorf("%s: %v, said %q; want status 1 and one line that names the batch and says %q", c.name, err, message, c.want)
		}
	}
}

// A panic in the module becomes the fault of its instance.
func TestPanicReportsFault(t *testing.T) {
	n := &instance{number: 3, reply: new(wire.Reply)}
	ev := wire.Event{Code: wire.EventTimer}
	dispatch(n, 0, &ev, nil) // no Gateway behind it: the call panics
	var out bytes.Buffer
	n.reply.Write(&out, 1)
	if codes, _ := parseReplies(t, out.Bytes()); len(codes[0]) != 1 || codes[0][0] != 265 {
		t.Errorf("actions %v, want one fault", codes)
	}
}

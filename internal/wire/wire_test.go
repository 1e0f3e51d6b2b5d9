package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"cedarseam/choice"
)

// frame builds a frame of events from hex strings: the clock, the tail and the records.
func frame(clock string, seq byte, tail string, records ...string) []byte {
	body := strings.Join(records, "")
	size := 16 + len(body)/2 + len(tail)/2
	head := []byte{byte(size), byte(size >> 8), byte(size >> 16), 0}
	content, err := hex.DecodeString(
		clock + hex.EncodeToString([]byte{byte(len(records)), 0, 0, 0, seq, 0, 0, 0}) + body + tail)
	if err != nil {
		panic(err)
	}
	return append(head, content...)
}

// paddedEvent removes the spaces from the hex digits of an event record and pads it with zeros
// to the record size.
func paddedEvent(fields string) string {
	fields = strings.ReplaceAll(fields, " ", "")
	return fields + strings.Repeat("0", 2*eventSize-len(fields))
}

// clock1000ms is 1000.0 as a little-endian float64.
const clock1000ms = "0000000000408f40"

// decodeBatch decodes a frame and all of its events.
func decodeBatch(t *testing.T, data []byte) (b Batch, events []Event) {
	t.Helper()
	if err := b.ReadBatch(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	for i := range b.Count {
		var e Event
		if err := b.DecodeEvent(i, &e); err != nil {
			t.Fatal(err)
		}
		events = append(events, e)
	}
	return
}

func TestGoldenEvents(t *testing.T) {
	entry := "05000000 02 0100 0300 02 00000040 0000000000408f40"
	batch, events := decodeBatch(t, frame(clock1000ms, 9, strings.ReplaceAll("7b7d"+entry, " ", ""),
		paddedEvent("0001 04000000 0700000000000000 00000000 02000000"),
		paddedEvent("0b01 02 02000000 01000000"),
		paddedEvent("0101 04000000 01 08000000 02"),
		paddedEvent("0201 04000000 11000000 01 02000000 2a00000000000000 0000000000407f40 00000040 00004040 0000803f 02"),
		paddedEvent("0401 04000000 11000000 01 05000000 1400 0000000000003440 01 6500 0000 02 0000803f 00000040"),
		paddedEvent("0501 04000000 11000000"),
		paddedEvent("0601 04000000 4d00000000000000"),
		paddedEvent("0701 04000000 0000000000003440 3200 05000000 01 0000803f"),
		paddedEvent("0901 04000000"),
		paddedEvent("0301 04000000"), paddedEvent("0801 04000000"), paddedEvent("0a01 04000000"),
	))
	if batch.Now != time.Second || batch.Seq != 9 {
		t.Errorf("header decoded as %v, %d", batch.Now, batch.Seq)
	}
	if e := events[0]; e.Code != EventInit || e.Instance != 4 || e.Seed != 7 || string(e.Config) != "{}" {
		t.Errorf("init decoded as %+v", e)
	}
	want := choice.Backend{
		ID: 5, Zone: 2, Kind: 1, Cell: 3, State: choice.Draining, Weight: 2,
		Started: time.Second, StartKnown: true,
	}
	if e := events[1]; e.Code != EventList || e.ListIndex != 2 || len(e.Backends) != 1 || e.Backends[0] != want {
		t.Errorf("list decoded as %+v", e)
	}
	if e := events[2]; e.Code != EventMembers || e.ListKind != choice.Full || e.ListIndex != 2 {
		t.Errorf("members decoded as %+v", e)
	}
	request := choice.Request{
		ID: 17, Class: 1, Plan: 2, Customer: 42, TimeLeft: 500 * time.Millisecond, Units: 2,
		SetSize: 3, SetStart: 1, ClientRetry: true,
	}
	if e := events[3]; e.Request != request {
		t.Errorf("request decoded as %+v", e.Request)
	}
	outcome := choice.Outcome{
		ID: 17, Attempt: 1, Backend: 5, Status: choice.Error, Elapsed: 20 * time.Millisecond,
		Answered: true, Metered: true, Used: 1,
		Load: choice.Load{Count: 2, Values: [4]float64{1, 2}},
	}
	if e := events[4]; e.Outcome != outcome {
		t.Errorf("outcome decoded as %+v", e.Outcome)
	}
	if events[5].ID != 17 || events[6].Token != 77 {
		t.Errorf("gone and timer decoded as %+v, %+v", events[5], events[6])
	}
	probe := choice.ProbeResult{
		Backend: 5, Status: choice.ConnectFailed, Elapsed: 20 * time.Millisecond,
		Load: choice.Load{Count: 1, Values: [4]float64{1}},
	}
	if e := events[7]; e.Probe != probe {
		t.Errorf("probe decoded as %+v", e.Probe)
	}
	if events[8].Code != EventStop {
		t.Errorf("stop decoded as %+v", events[8])
	}
}

func TestGoldenReply(t *testing.T) {
	var p Reply
	p.Send(1, 2, 3, 80*time.Millisecond)
	p.Refuse(1, 2, 250*time.Millisecond)
	p.Fail(1, 2)
	p.Cancel(1, 2, 3)
	p.Probe(1, 5)
	p.SetTimer(1, 500*time.Millisecond, 77)
	p.Subscribe(1)
	p.Fault(1, "no")
	var out bytes.Buffer
	if err := p.Write(&out, 12); err != nil {
		t.Fatal(err)
	}
	pad := func(s string) string {
		s = strings.ReplaceAll(s, " ", "")
		return s + strings.Repeat("0", 2*actionSize-len(s))
	}
	want := "0a010000" + "08000000" + "0c000000" +
		pad("0001 01000000 02000000 03000000 0000000000005440") +
		pad("0101 01000000 02000000 0000000000406f40") +
		pad("0201 01000000 02000000") +
		pad("0301 01000000 02000000 03") +
		pad("0501 01000000 05000000") +
		pad("0401 01000000 0000000000407f40 4d00000000000000") +
		pad("0a01 01000000 01") +
		pad("0901 01000000 00000000 02000000") + "6e6f"
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("encoded reply:\n got %s\nwant %s", got, want)
	}
}

func TestMalformedFrameErrors(t *testing.T) {
	complete := frame(clock1000ms, 3, "", paddedEvent("0601 04000000"))
	for _, c := range []struct{ name, want, data string }{
		{"cut length", "cut short", string(complete[:2])},
		{"cut frame", "cut short", string(complete[:30])},
		{"short frame", "shorter than its header", "\x03\x00\x00\x00abc"},
		{"long frame", "longer than", "\xff\xff\xff\xff"},
		{"too many records", "do not fit", string(frame(clock1000ms, 3, "")[:12]) + "\x09\x00\x00\x00\x03\x00\x00\x00"},
		{"clock", "out of range", string(frame("000000000000f87f", 3, ""))},
		{"unknown code", "code 400", string(frame(clock1000ms, 3, "", paddedEvent("9001 04000000")))},
		{"settings outside", "outside the tail", string(frame(clock1000ms, 3, "", paddedEvent("0001 04000000 0000000000000000 00000000 05000000")))},
		{"list outside", "outside the tail", string(frame(clock1000ms, 3, "", paddedEvent("0b01 02 ffffffff ffffffff")))},
		{"list index", "above 15", string(frame(clock1000ms, 3, "", paddedEvent("0b01 20")))},
		{"list state", "state 9", string(frame(clock1000ms, 3, "05000000020100030009000000400000000000408f40", paddedEvent("0b01 02 00000000 01000000")))},
		{"list kind", "list kind 4", string(frame(clock1000ms, 3, "", paddedEvent("0101 04000000 04")))},
		{"outcome", "status code 15", string(frame(clock1000ms, 3, "", paddedEvent("0401 04000000 11000000 01 05000000 0f00")))},
		{"probe outcome", "status code 0", string(frame(clock1000ms, 3, "", paddedEvent("0701 04000000")))},
	} {
		var b Batch
		err := b.ReadBatch(strings.NewReader(c.data))
		for i := 0; err == nil && i < b.Count; i++ {
			err = b.DecodeEvent(i, new(Event))
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "batch") {
			t.Errorf("%s: got error %v, want one that contains \"batch\" and %q", c.name, err, c.want)
		}
	}
	if err := new(Batch).ReadBatch(strings.NewReader("")); err != io.EOF {
		t.Errorf("empty input: got error %v, want io.EOF", err)
	}
}

func TestParseConfig(t *testing.T) {
	cfg, ask, err := ParseConfig([]byte(`{"balancers": 3, "self_index": 2, "zone": 1, "unknown": {"a": [1]}, "discovery": "ask",
		"bounds": {"try_limit": 4, "second_copies": true, "max_retry_after_ms": 700},
		"invariants": {"cold_ms": 9000, "tip_multiple": 2.5, "fall_ms": 1500, "cold_from": 0.3},
		"report": {"fields": ["rif", "custom"]}, "weights": "rough", "specifics": {"use_period_ms": 250, "max_units": 4},
		"request_classes": [{"aim_ms": 300, "give_up_ms": 900, "effect": "guarded", "dedup_scope": "cell", "window_ms": 50, "worth": 2}],
		"tiers_of_service": [{"quota_rate": 1.5, "burst": 4, "hard_rate": 3, "hard_burst": 8, "tolerance": 1, "open": 2, "price": 3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	class := choice.Class{Aim: 300 * time.Millisecond, Deadline: 900 * time.Millisecond, Worth: 2, Effect: choice.Guarded,
		Group: choice.GroupCell, DedupWindow: 50 * time.Millisecond}
	plan := choice.Plan{Rate: 1.5, Burst: 4, CeilingRate: 3, CeilingBurst: 8, CeilingTolerance: 1, MaxInFlight: 2, Price: 3}
	if !ask || cfg.Gateways != 3 || cfg.Self != 2 || cfg.Zone != 1 || cfg.MaxAttempts != 4 || !cfg.Hedging ||
		cfg.MaxRetryAfter != 700*time.Millisecond || cfg.WarmUpPeriod != 9*time.Second || cfg.ColdOverloadFactor != 2.5 ||
		cfg.MeterPeriod != 250*time.Millisecond || !cfg.WeightsTrusted || cfg.ReportFields[0] != "inflight" ||
		cfg.ReportFields[1] != "custom" || cfg.Classes[0] != class || cfg.Plans[0] != plan {
		t.Errorf("settings decoded as %+v", cfg)
	}
	for _, bad := range []string{"", "{", `{"request_classes": [{"effect": "unknown"}]}`,
		`{"request_classes": [{"effect": "free", "dedup_scope": "unknown"}]}`} {
		if _, _, err := ParseConfig([]byte(bad)); err == nil || !strings.Contains(err.Error(), "settings") {
			t.Errorf("settings %q: got error %v, want one that contains \"settings\"", bad, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(clock1000ms, 3, "7b7d", paddedEvent("0001 04000000 0700000000000000 00000000 02000000")))
	f.Add(frame(clock1000ms, 3, "05000000020100030002000000400000000000408f40", paddedEvent("0b01 02 00000000 01000000")))
	f.Add(frame(clock1000ms, 3, "", paddedEvent("0401 04000000 11000000 01 05000000 1400"), paddedEvent("0601 04000000")))
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Batch
		if b.ReadBatch(bytes.NewReader(data)) != nil {
			return
		}
		var e Event
		for i := range b.Count {
			if err := b.DecodeEvent(i, &e); err != nil && !strings.Contains(err.Error(), "batch") {
				t.Fatalf("error %q does not contain \"batch\"", err)
			}
			if e.Code == EventList && len(e.Backends)*backendEntrySize > len(data) {
				t.Fatalf("decoded %d backends from %d bytes", len(e.Backends), len(data))
			}
		}
	})
}

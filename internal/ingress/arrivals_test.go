package ingress

import (
	"testing"
	"time"
)

// The arrival time of a command is that of its last byte, whatever arrives after it.
func TestConsumeReturnsArrivalOfLastByte(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var a arrivals
	a.add(10, start)
	a.add(10, after(100))
	a.add(5, after(105)) // counts as arrived with the previous bytes
	a.add(10, after(300))
	for i, want := range []struct{ bytes, ms int }{{10, 0}, {2, 100}, {13, 100}, {1, 300}, {9, 300}} {
		if got := a.consume(want.bytes); !got.Equal(after(want.ms)) {
			t.Errorf("part %d arrived after %v, want %d ms", i, got.Sub(start), want.ms)
		}
	}
	if len(a.marks) > 0 {
		t.Errorf("%d marks are kept for consumed bytes", len(a.marks))
	}
	a.add(4, after(301)) // a mark of consumed bytes is not extended
	if got := a.consume(4); !got.Equal(after(301)) {
		t.Errorf("the next part arrived after %v, want 301 ms", got.Sub(start))
	}
}

// The number of marks is bounded by time, however many reads the bytes arrive in.
func TestArrivalMarksAreBounded(t *testing.T) {
	var a arrivals
	at := time.Now()
	for range 100_000 {
		at = at.Add(10 * time.Microsecond)
		a.add(1, at)
	}
	if most := int(time.Second/arrivalResolution) + 1; len(a.marks) > most {
		t.Errorf("%d marks are kept for one second, want %d at most", len(a.marks), most)
	}
}

// Guards against memory that grows with time: a client that sends single bytes while its
// commands wait for a slot must not make the marks grow without bound. A mark that is left
// out makes a deadline earlier, never later.
func TestArrivalMarksAreBoundedInNumber(t *testing.T) {
	const seconds = 60
	var a arrivals
	start := time.Now()
	bytes := seconds * int(time.Second/arrivalResolution)
	for i := range bytes {
		a.add(1, start.Add(time.Duration(i)*arrivalResolution))
	}
	if len(a.marks) > maxArrivalMarks {
		t.Errorf("%d marks are kept after %d s, want %d at most", len(a.marks), seconds, maxArrivalMarks)
	}
	for i := range bytes {
		if at := a.consume(1); at.After(start.Add(time.Duration(i) * arrivalResolution)) {
			t.Fatalf("byte %d counts as arrived %v after it came", i, at.Sub(start)-time.Duration(i)*arrivalResolution)
		}
	}
	if cap(a.marks) > 2*maxArrivalMarks {
		t.Errorf("the array has grown to %d marks", cap(a.marks))
	}
}

// Bytes that were received before they could be read keep the time of their arrival. Those
// that arrive later do not share it.
func TestExpectedBytesKeepTheirArrival(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var a arrivals
	a.expect(100, start)
	a.add(40, after(500))
	a.add(60, after(501))
	a.add(10, after(502))
	for i, want := range []struct{ bytes, ms int }{{40, 0}, {59, 0}, {1, 0}, {10, 502}} {
		if got := a.consume(want.bytes); !got.Equal(after(want.ms)) {
			t.Errorf("part %d arrived after %v, want %d ms", i, got.Sub(start), want.ms)
		}
	}
	a.expect(0, start)
	if len(a.marks) > 0 {
		t.Errorf("%d marks are kept for no bytes", len(a.marks))
	}
}

package ingress

import (
	"testing"
	"time"
)

// A command counts from its last byte, whatever came behind it.
func TestConsumeReturnsArrivalOfLastByte(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var a arrivals
	a.add(10, start)
	a.add(10, after(100))
	a.add(5, after(105)) // counts as come with those before
	a.add(10, after(300))
	for i, want := range []struct{ bytes, ms int }{{10, 0}, {2, 100}, {13, 100}, {1, 300}, {9, 300}} {
		if got := a.consume(want.bytes); !got.Equal(after(want.ms)) {
			t.Errorf("part %d came after %v, want %d ms", i, got.Sub(start), want.ms)
		}
	}
	if len(a.marks) > 0 {
		t.Errorf("%d times are kept for nothing", len(a.marks))
	}
	a.add(4, after(301)) // the step does not reach over bytes that were taken
	if got := a.consume(4); !got.Equal(after(301)) {
		t.Errorf("the next part came after %v, want 301 ms", got.Sub(start))
	}
}

// The times kept are few, however the bytes come.
func TestArrivalMarksAreBounded(t *testing.T) {
	var a arrivals
	at := time.Now()
	for range 100_000 {
		at = at.Add(10 * time.Microsecond)
		a.add(1, at)
	}
	if most := int(time.Second/arrivalResolution) + 1; len(a.marks) > most {
		t.Errorf("%d times are kept for a second, want %d at most", len(a.marks), most)
	}
}

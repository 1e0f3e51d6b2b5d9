package ingress

import (
	"testing"
	"time"
)

func TestRecentIDsExpire(t *testing.T) {
	r := recentIDs{retention: 10, capacity: 10}
	for _, step := range []struct {
		at   time.Duration
		id   uint64
		want bool
	}{{0, 1, true}, {9, 1, false}, {10, 2, true}, {19, 1, false}, {20, 3, true}, {20, 2, false}, {30, 1, true}} {
		if got := r.add(step.id, step.at); got != step.want {
			t.Errorf("id %d at %d: new is %v, want %v", step.id, step.at, got, step.want)
		}
	}
	if n := len(r.current) + len(r.previous); n > 3 {
		t.Errorf("%d ids are kept, want 3 at most", n)
	}
}

// The id of a request whose client has disconnected before the first attempt may be used
// again, since its client may send the request again.
func TestForgottenIDIsUnknown(t *testing.T) {
	ids := newRequestIDs(10, 64<<20)
	if !ids.begin(3, 0) || ids.begin(3, 1) {
		t.Error("the id of an open request is unknown")
	}
	ids.forget(3)
	if !ids.begin(3, 2) {
		t.Error("a forgotten id is still known")
	}
}

// Guards against memory that grows with the rate of requests: a client that has requests
// refused under new ids as fast as it can must not fill the memory, and must not make the
// ids of open requests, and of those that have run, unknown.
func TestMemoryOfRequestIDsIsBounded(t *testing.T) {
	const memoryMB, refused = 64, 1_000_000
	ids := newRequestIDs(16*time.Second, memoryMB<<20)
	const openID, sentID, firstRefused = 1, 2, 1000
	ids.begin(openID, 0)
	ids.begin(sentID, 0)
	ids.end(sentID, true, 0)
	before := heapInUse()
	for i := range uint64(refused) {
		if !ids.begin(firstRefused+i, time.Second) {
			t.Fatalf("id %d is known", i)
		}
		ids.end(firstRefused+i, false, time.Second)
	}
	if grown := heapInUse() - before; grown > memoryMB<<20/idMemoryDivisor {
		t.Errorf("%d ids take %d KB, want %d at most", refused, grown>>10, memoryMB<<10/idMemoryDivisor)
	}
	for name, id := range map[string]uint64{"an open": openID, "an executed": sentID, "the last refused": firstRefused + refused - 1} {
		if ids.begin(id, 2*time.Second) {
			t.Errorf("the id of %s request has been forgotten", name)
		}
	}
}

// Both kinds of generations at their capacity fit into the memory for ids.
func TestRequestIDsAtCapacityFitIntoTheirMemory(t *testing.T) {
	for _, memoryMB := range []int{32, 64, 192} {
		before := heapInUse()
		ids := newRequestIDs(16*time.Second, memoryMB<<20)
		for i := range uint64(idGenerations * ids.sent.capacity) {
			ids.begin(i, 0)
			ids.end(i, i%2 == 0, 0)
		}
		if grown, limit := heapInUse()-before, int64(memoryMB<<20/idMemoryDivisor); grown > limit {
			t.Errorf("with %d MB, full generations take %d KB, want %d at most", memoryMB, grown>>10, limit>>10)
		}
		if len(ids.open) > 0 {
			t.Errorf("%d ids of ended requests count as open", len(ids.open))
		}
	}
}

package ingress

import "time"

const (
	// idMemoryDivisor limits the memory for the ids of ended requests to 1/idMemoryDivisor of
	// the memory limit.
	idMemoryDivisor = 16
	// bytesPerID is the size of one id in a map, with the free entries of the map.
	bytesPerID = 48
	// minRecentIDs is how many ids of a generation are remembered in any case.
	minRecentIDs = 1024
	// idGenerations is the number of generations in requestIDs.
	idGenerations = 4
	// requestIDMargin is how much longer than the longest deadline a request id is
	// remembered.
	requestIDMargin = time.Second
)

// requestIDs detects requests that carry the id of another request, one that is open or that
// has ended recently. The ids of open requests are known for certain; their number is
// limited by the memory budget. Those of ended requests are forgotten after some time, or
// sooner if there are too many of them. Requests without an attempt are remembered apart
// from the others: a client can have them refused at any rate, and must not make those
// forgotten that have run.
type requestIDs struct {
	open    map[uint64]struct{}
	sent    recentIDs // of ended requests that had an attempt
	refused recentIDs // of ended requests that had none
}

// newRequestIDs returns an empty set that takes its share of the given memory.
func newRequestIDs(retention time.Duration, sharedMemory int) *requestIDs {
	recent := recentIDs{retention: retention,
		capacity: max(minRecentIDs, sharedMemory/idMemoryDivisor/idGenerations/bytesPerID)}
	return &requestIDs{open: map[uint64]struct{}{}, sent: recent, refused: recent}
}

// begin records the id of a new request. It returns false, and records nothing, if the id is
// that of another request.
func (ids *requestIDs) begin(id uint64, now time.Duration) bool {
	ids.sent.expire(now)
	ids.refused.expire(now)
	if _, known := ids.open[id]; known || ids.sent.contains(id) || ids.refused.contains(id) {
		return false
	}
	ids.open[id] = struct{}{}
	return true
}

// end records that a request has ended. sent tells whether it had an attempt.
func (ids *requestIDs) end(id uint64, sent bool, now time.Duration) {
	delete(ids.open, id)
	if sent {
		ids.sent.add(id, now)
	} else {
		ids.refused.add(id, now)
	}
}

// forget makes the id of an open request unknown: its client may send the request again.
func (ids *requestIDs) forget(id uint64) { delete(ids.open, id) }

// recentIDs remembers ids in two generations: for at least the retention time and at most
// twice that, unless more than capacity ids are added in that time.
type recentIDs struct {
	retention         time.Duration
	capacity          int // of one generation
	rotatedAt         time.Duration
	current, previous map[uint64]struct{}
}

// add records an id. It returns false if the id is already known.
func (r *recentIDs) add(id uint64, now time.Duration) bool {
	r.expire(now)
	if r.contains(id) {
		return false
	}
	if len(r.current) >= r.capacity {
		r.rotate(now)
	}
	r.current[id] = struct{}{}
	return true
}

// expire forgets the ids whose time is over.
func (r *recentIDs) expire(now time.Duration) {
	if r.current == nil || now-r.rotatedAt >= r.retention {
		r.rotate(now)
	}
}

// rotate begins a new generation and forgets the one before the last.
func (r *recentIDs) rotate(now time.Duration) {
	r.previous, r.current, r.rotatedAt = r.current, map[uint64]struct{}{}, now
}

// contains reports whether an id is known.
func (r *recentIDs) contains(id uint64) bool {
	if _, known := r.current[id]; known {
		return true
	}
	_, known := r.previous[id]
	return known
}

package ingress

import "time"

// arrivalStep is by how much bytes may count as come earlier than they did, so
// that few times are kept for them: a deadline counts too short by so much at most.
const arrivalResolution = 10 * time.Millisecond

// arrivals tells when bytes came that are read and not started yet. The time of
// a request counts from its last byte, however long it is held back and whatever
// comes behind it meanwhile.
type arrivals struct {
	received, consumed int // bytes so far
	marks              []arrival
}

// arrival is when the bytes up to an end came, those of the mark before left out.
type arrival struct {
	end int
	at  time.Time
}

// add notes that so many further bytes came.
func (a *arrivals) add(bytes int, at time.Time) {
	a.received += bytes
	if last := len(a.marks) - 1; last >= 0 && at.Sub(a.marks[last].at) < arrivalResolution {
		a.marks[last].end = a.received
		return
	}
	a.marks = append(a.marks, arrival{a.received, at})
}

// take takes the next bytes, at least one, off those that came, and returns when
// the last of them did.
func (a *arrivals) consume(bytes int) (at time.Time) {
	a.consumed += bytes
	first := 0
	for a.marks[first].end < a.consumed {
		first++
	}
	at = a.marks[first].at
	if a.consumed == a.received {
		a.marks = a.marks[:0]
	} else {
		a.marks = a.marks[first:]
	}
	return at
}

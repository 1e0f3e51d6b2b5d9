package ingress

import "time"

// arrivalResolution is the precision of arrival times. Bytes that arrive within it of
// the last mark count as having arrived with that mark, which keeps the number of marks
// small. A deadline may therefore be too early by at most this much.
const arrivalResolution = 10 * time.Millisecond

// maxArrivalMarks is how many marks are kept at most. Bytes that arrive after that count as
// having arrived with the last mark, so the deadline of their request is too early: a client
// that sends single bytes for seconds must not make the marks grow.
const maxArrivalMarks = 256

// arrivals records when the bytes arrived that were read and not yet parsed into
// commands. The deadline of a request counts from the arrival of its last byte, no
// matter how long its start is delayed or what arrives after it.
type arrivals struct {
	received, consumed int // total number of bytes so far
	marks              []arrival
}

// arrival is the time at which the bytes between the end of the previous mark and its
// own end arrived. Ends count bytes from the start of the connection.
type arrival struct {
	end int
	at  time.Time
}

// expect records that the next bytes to be read have already arrived, at the given time at
// the earliest. They are in the socket.
func (a *arrivals) expect(bytes int, at time.Time) {
	if bytes > 0 {
		a.marks = append(a.marks, arrival{a.received + bytes, at})
	}
}

// add records the arrival of further bytes.
func (a *arrivals) add(bytes int, at time.Time) {
	a.received += bytes
	last := len(a.marks) - 1
	switch {
	case last >= 0 && a.received <= a.marks[last].end: // expected
	case last >= 0 && (at.Sub(a.marks[last].at) < arrivalResolution || len(a.marks) >= maxArrivalMarks):
		a.marks[last].end = a.received
	default:
		a.marks = append(a.marks, arrival{a.received, at})
	}
}

// consume removes the next bytes, at least one, and returns when the last of them
// arrived.
func (a *arrivals) consume(bytes int) (at time.Time) {
	a.consumed += bytes
	first := 0
	for a.marks[first].end < a.consumed {
		first++
	}
	at = a.marks[first].at
	if a.marks[first].end == a.consumed {
		first++ // a mark of consumed bytes is not extended
	}
	if first > 0 { // in place, so that the array does not grow
		a.marks = append(a.marks[:0], a.marks[first:]...)
	}
	return at
}

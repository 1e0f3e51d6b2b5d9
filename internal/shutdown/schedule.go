// Package shutdown plans the stop of a process that is told to end and killed
// some time later.
//
// The obligation: what the process reads after it was told to end is answered,
// and every connection is closed, before it may be killed. A Schedule divides the
// time until then; whatever takes work on or spends time while the process stops
// is bounded by one of its times.
package shutdown

import (
	"context"
	"errors"
	"time"
)

// The kill that follows SIGTERM, as the platform promises it.
const (
	// killGracePeriod is how long after the longest deadline of a request the kill comes
	// at the soonest.
	killGracePeriod = 700 * time.Millisecond
	// maxCountedDeadline is as how much a longer deadline counts.
	maxCountedDeadline = 3 * time.Second
	// acceptPeriod is how long clients still connect after SIGTERM: 0.4 s, and the
	// slack of 50 ms that time limits have on sockets.
	acceptPeriod = 450 * time.Millisecond
)

// What is kept free before the kill.
const (
	// maxStall is how long the process may be held up between reading its clock and
	// writing.
	maxStall = 150 * time.Millisecond
	// maxDeliveryDelay is how late the signal may be noticed, and how long the last bytes
	// of an answer may be on their way.
	maxDeliveryDelay = 50 * time.Millisecond
	// finalReadWindow is left between the last answers that are waited for and the last
	// read: what is read in it is answered at once.
	finalReadWindow = 100 * time.Millisecond
	// finalCloseWindow is left between the last read and the end, for the other side to
	// take the last answers.
	finalCloseWindow = 100 * time.Millisecond
	// minAnswerWindow is left for the last answers at least, also when the process was
	// held up and notices the end of reading late: all timers are due then.
	minAnswerWindow = 50 * time.Millisecond
)

// Schedule is when each phase of a stop ends at the latest. Begun comes first;
// AnswerBy, ReadUntil, CloseBy and Kill follow in this order. AcceptUntil lies
// before ReadUntil, and after AnswerBy where deadlines are short.
type Schedule struct {
	RequestedAt time.Time // the process was told to end
	AcceptUntil time.Time // clients still connect
	AnswerBy    time.Time // every request has its final answer; one read later is answered at once
	ReadUntil   time.Time // nothing is accepted or read from then on
	CloseBy     time.Time // every connection is closed, and the process ends
	KillAt      time.Time // the process may be killed
}

// NewSchedule plans a stop that was asked for at a time, for a process whose
// requests have the given deadline at most.
func NewSchedule(requestedAt time.Time, longestDeadline time.Duration) Schedule {
	killAt := requestedAt.Add(max(0, min(longestDeadline, maxCountedDeadline)) + killGracePeriod)
	closeBy := killAt.Add(-maxStall - maxDeliveryDelay)
	readUntil := closeBy.Add(-finalCloseWindow)
	return Schedule{
		RequestedAt: requestedAt,
		AcceptUntil: earlier(requestedAt.Add(acceptPeriod), readUntil),
		AnswerBy:    readUntil.Add(-finalReadWindow),
		ReadUntil:   readUntil,
		CloseBy:     closeBy,
		KillAt:      killAt,
	}
}

// WithReadEnd returns the schedule of a process that has noticed the end of
// reading at a time: what it has read just before is still to be answered.
func (s Schedule) WithReadEnd(readEnd time.Time) Schedule {
	if earliestClose := readEnd.Add(minAnswerWindow); s.CloseBy.Before(earliestClose) {
		s.CloseBy = earliestClose
	}
	return s
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RequestedError is the cause of a context that ended because the process was told to
// end.
type RequestedError struct{ At time.Time }

func (r RequestedError) Error() string { return "the process was told to end" }

// RequestedAt returns when the end of a context was asked for: the time of its
// cause if that is a Requested, and now otherwise.
func RequestedAt(ctx context.Context) time.Time {
	var cause RequestedError
	if errors.As(context.Cause(ctx), &cause) {
		return cause.At
	}
	return time.Now()
}

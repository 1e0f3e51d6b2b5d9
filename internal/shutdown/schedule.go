// Package shutdown schedules the graceful shutdown of a process that gets SIGTERM
// and is killed some time later.
//
// Every request read after SIGTERM must be answered, and every connection closed,
// before the process may be killed. A [Schedule] divides the time until the kill
// into phases; whatever accepts work or takes time during the shutdown is bounded
// by the end of one of these phases.
package shutdown

import (
	"context"
	"errors"
	"time"
)

// What the platform guarantees about the time between SIGTERM and the kill.
const (
	// killGracePeriod is the least time from the end of the longest request deadline,
	// counted from SIGTERM, to the kill.
	killGracePeriod = 700 * time.Millisecond
	// maxCountedDeadline caps the deadline that counts towards the time of the kill.
	maxCountedDeadline = 3 * time.Second
	// acceptPeriod is how long clients still connect after SIGTERM: 0.4 s, plus the
	// 50 ms of tolerance that apply to time limits on sockets.
	acceptPeriod = 450 * time.Millisecond
)

// Reserves that are subtracted from the time before the kill.
const (
	// maxStall is how long the process may be stalled between reading the clock and
	// writing.
	maxStall = 150 * time.Millisecond
	// maxDeliveryDelay is how late the process may notice the signal, and how long the
	// last bytes of an answer may be in transit.
	maxDeliveryDelay = 50 * time.Millisecond
	// finalReadWindow is the time between AnswerBy and ReadUntil. A request read within
	// it is answered immediately.
	finalReadWindow = 100 * time.Millisecond
	// finalCloseWindow is the time between ReadUntil and CloseBy, in which the clients
	// receive the last answers.
	finalCloseWindow = 100 * time.Millisecond
	// minAnswerWindow is the least time for sending the last answers, also when the
	// process was stalled and notices the end of reading late: all timers are due then.
	minAnswerWindow = 50 * time.Millisecond
)

// Schedule holds the latest end of each phase of a shutdown. RequestedAt, AnswerBy,
// ReadUntil, CloseBy and KillAt are in chronological order. AcceptUntil is never
// after ReadUntil, but is after AnswerBy where deadlines are short.
type Schedule struct {
	RequestedAt time.Time // the shutdown was requested
	AcceptUntil time.Time // clients may still connect
	AnswerBy    time.Time // every request has its final answer; one read later is answered immediately
	ReadUntil   time.Time // no connection is accepted and nothing is read after this
	CloseBy     time.Time // every connection is closed and the process exits
	KillAt      time.Time // the process may be killed
}

// NewSchedule returns the schedule of a shutdown that was requested at the given
// time, for requests whose deadlines are at most longestDeadline.
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

// WithReadEnd returns the schedule with CloseBy postponed, where necessary, to leave
// minAnswerWindow after readEnd. readEnd is when the process noticed the end of
// reading: requests read just before it still have to be answered.
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

// RequestedError is the cause of a context that was cancelled because a shutdown of
// the process was requested.
type RequestedError struct{ At time.Time }

func (r RequestedError) Error() string { return "shutdown of the process was requested" }

// RequestedAt returns when the shutdown that cancelled ctx was requested: the time in
// the cause of ctx if that is a RequestedError, and the current time otherwise.
func RequestedAt(ctx context.Context) time.Time {
	var cause RequestedError
	if errors.As(context.Cause(ctx), &cause) {
		return cause.At
	}
	return time.Now()
}

// Package eventlog writes what becomes of the process, its connections, requests
// and attempts as structured lines.
//
// Changes of state are always written. Single requests, attempts and connections
// are written while the log is detailed: their lines cost more than deciding a
// request does. Ids of requests are those of the clients, in 16 hex digits, so
// that a line can be held against the records of clients and backends. Times
// are milliseconds of the monotonic clock.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"
)

// Log writes events. It is safe for concurrent use. A nil Log writes nothing.
type Log struct {
	logger *slog.Logger
	level  *slog.LevelVar
	start  time.Time
}

// New makes a Log of text lines. detailed tells whether it begins detailed.
func New(out io.Writer, detailed bool) *Log {
	l := &Log{level: &slog.LevelVar{}, start: time.Now()}
	if detailed {
		l.level.Set(slog.LevelDebug)
	}
	l.logger = slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: l.level}))
	return l
}

// Logger is for lines that belong to no event of this package.
func (l *Log) Logger() *slog.Logger { return l.logger }

// EnableDetail makes the log detailed from now on.
func (l *Log) EnableDetail() {
	if l != nil {
		l.level.Set(slog.LevelDebug)
	}
}

// Detailed tells whether single requests, attempts and connections are written.
func (l *Log) Detailed() bool {
	return l != nil && l.logger.Enabled(context.Background(), slog.LevelDebug)
}

func (l *Log) write(level slog.Level, message string, attributes ...slog.Attr) {
	if l == nil {
		return
	}
	attributes = append(attributes, slog.Int64("up_ms", time.Since(l.start).Milliseconds()))
	l.logger.LogAttrs(context.Background(), level, message, attributes...)
}

func (l *Log) writeDetail(message string, attributes ...slog.Attr) {
	l.write(slog.LevelDebug, message, attributes...)
}

func requestID(id uint64) slog.Attr { return slog.String("request", fmt.Sprintf("%016x", id)) }

func milliseconds(name string, d time.Duration) slog.Attr {
	return slog.Float64(name, float64(d.Microseconds())/1e3)
}

// State is a change of the process's state.
func (l *Log) State(state string, attributes ...slog.Attr) {
	l.write(slog.LevelInfo, "state", append([]slog.Attr{slog.String("state", state)}, attributes...)...)
}

// ClientOpened is a new connection of a client.
func (l *Log) ClientOpened(client uint64) {
	if l.Detailed() {
		l.writeDetail("client opened", slog.Uint64("client", client))
	}
}

// ClientClosed is the end of a client's connection.
type ClientClosed struct {
	Client  uint64
	Reason  string
	Age     time.Duration
	Answers int  // that were owed on it, given or not
	Unread  bool // bytes came that were not read
}

// ClientClosed writes the end of a client's connection.
func (l *Log) ClientClosed(c ClientClosed) {
	if l.Detailed() {
		l.writeDetail("client closed", slog.Uint64("client", c.Client), slog.String("reason", c.Reason),
			milliseconds("age_ms", c.Age), slog.Int("answers", c.Answers), slog.Bool("unread", c.Unread))
	}
}

// RequestReceived is a request that was read whole.
type RequestReceived struct {
	Request  uint64
	Client   uint64
	Class    int
	Customer uint64
	TimeLeft time.Duration // to its final answer
}

// RequestReceived writes that a request was taken.
func (l *Log) RequestReceived(r RequestReceived) {
	if l.Detailed() {
		l.writeDetail("request taken", requestID(r.Request), slog.Uint64("client", r.Client), slog.Int("class", r.Class),
			slog.String("customer", fmt.Sprintf("%016x", r.Customer)), milliseconds("left_ms", r.TimeLeft))
	}
}

// RequestFinished is the final answer of a request.
type RequestFinished struct {
	Request    uint64
	Outcome    string // served, refused, failed or gone
	Reason     string
	RetryAfter time.Duration // advice with a refusal
	Attempts   int
}

// RequestFinished writes the final answer of a request.
func (l *Log) RequestFinished(r RequestFinished) {
	if l.Detailed() {
		l.writeDetail("request over", requestID(r.Request), slog.String("end", r.Outcome), slog.String("reason", r.Reason),
			milliseconds("advice_ms", r.RetryAfter), slog.Int("attempts", r.Attempts))
	}
}

// AttemptSent is the start of an attempt.
type AttemptSent struct {
	Request uint64
	Attempt int
	Backend string
	Kind    string // first, retry or hedge
	Timeout time.Duration
}

// AttemptSent writes the start of an attempt.
func (l *Log) AttemptSent(s AttemptSent) {
	if l.Detailed() {
		l.writeDetail("attempt sent", requestID(s.Request), slog.Int("attempt", s.Attempt), slog.String("backend", s.Backend),
			slog.String("kind", s.Kind), milliseconds("timeout_ms", s.Timeout))
	}
}

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	Request  uint64
	Attempt  int
	Backend  string
	Status   string
	Elapsed  time.Duration
	Reusable bool // its connection can be used again
}

// AttemptEnded writes the end of an attempt.
func (l *Log) AttemptEnded(e AttemptEnded) {
	if l.Detailed() {
		l.writeDetail("attempt ended", requestID(e.Request), slog.Int("attempt", e.Attempt), slog.String("backend", e.Backend),
			slog.String("status", e.Status), milliseconds("elapsed_ms", e.Elapsed), slog.Bool("kept", e.Reusable))
	}
}

// BackendClosed writes the end of a connection to a backend and its reason.
func (l *Log) BackendClosed(backend, reason string) {
	if l.Detailed() {
		l.writeDetail("backend connection closed", slog.String("backend", backend), slog.String("reason", reason))
	}
}

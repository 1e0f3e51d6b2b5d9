// Package eventlog writes structured log lines about the process and its
// connections, requests and attempts.
//
// Changes of the process's state are always written. Individual requests, attempts
// and connections are written only at the detailed level, since writing their lines
// costs more than deciding a request. Request ids are those that the clients sent,
// as 16 hex digits, so that lines can be matched with the records of clients and
// backends. Times are in milliseconds of the monotonic clock.
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

// New returns a Log that writes text lines to out, initially at the detailed level
// if detailed is set.
func New(out io.Writer, detailed bool) *Log {
	l := &Log{level: &slog.LevelVar{}, start: time.Now()}
	if detailed {
		l.level.Set(slog.LevelDebug)
	}
	l.logger = slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: l.level}))
	return l
}

// Logger returns the logger for lines that are not events of this package.
func (l *Log) Logger() *slog.Logger { return l.logger }

// EnableDetail switches the log to the detailed level.
func (l *Log) EnableDetail() {
	if l != nil {
		l.level.Set(slog.LevelDebug)
	}
}

// Detailed reports whether individual requests, attempts and connections are written.
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

// State writes a change of the process's state.
func (l *Log) State(state string, attributes ...slog.Attr) {
	l.write(slog.LevelInfo, "state", append([]slog.Attr{slog.String("state", state)}, attributes...)...)
}

// ClientOpened writes that a client has connected.
func (l *Log) ClientOpened(client uint64) {
	if l.Detailed() {
		l.writeDetail("client opened", slog.Uint64("client", client))
	}
}

// ClientClosed describes the end of a client's connection.
type ClientClosed struct {
	Client  uint64
	Reason  string
	Age     time.Duration
	Answers int  // answers due on the connection, sent or not
	Unread  bool // bytes were received that the process has not read
}

// ClientClosed writes the end of a client's connection.
func (l *Log) ClientClosed(c ClientClosed) {
	if l.Detailed() {
		l.writeDetail("client closed", slog.Uint64("client", c.Client), slog.String("reason", c.Reason),
			milliseconds("age_ms", c.Age), slog.Int("answers", c.Answers), slog.Bool("unread", c.Unread))
	}
}

// CommandsBlocked describes a wait of a connection during which no command is started and
// none is read.
type CommandsBlocked struct {
	Client       uint64
	Reason       string
	Waited       time.Duration
	Buffered     int  // bytes that were read and not started
	Disconnected bool // the client has disconnected, by the state of the connection after the wait
}

// CommandsBlocked writes the end of a wait of a connection.
func (l *Log) CommandsBlocked(b CommandsBlocked) {
	if l.Detailed() {
		l.writeDetail("commands blocked", slog.Uint64("client", b.Client), slog.String("reason", b.Reason),
			milliseconds("waited_ms", b.Waited), slog.Int("buffered", b.Buffered), slog.Bool("disconnected", b.Disconnected))
	}
}

// RequestReceived describes a request that was read completely.
type RequestReceived struct {
	Request  uint64
	Client   uint64
	Class    int
	Customer uint64
	TimeLeft time.Duration // until its final answer is due
	Unread   time.Duration // from the arrival of its last byte until it was started
	Queued   time.Duration // from then until the loop handled it
}

// RequestReceived writes that a request was received.
func (l *Log) RequestReceived(r RequestReceived) {
	if l.Detailed() {
		l.writeDetail("request taken", requestID(r.Request), slog.Uint64("client", r.Client), slog.Int("class", r.Class),
			slog.String("customer", fmt.Sprintf("%016x", r.Customer)), milliseconds("left_ms", r.TimeLeft),
			milliseconds("unread_ms", r.Unread), milliseconds("queued_ms", r.Queued))
	}
}

// RequestFinished describes the final answer to a request.
type RequestFinished struct {
	Request    uint64
	Outcome    string        // served, refused, failed or gone
	Reason     string        // the backend's name if served
	RetryAfter time.Duration // retry advice sent with a refusal
	Attempts   int
}

// RequestFinished writes the final answer to a request.
func (l *Log) RequestFinished(r RequestFinished) {
	if l.Detailed() {
		l.writeDetail("request over", requestID(r.Request), slog.String("end", r.Outcome), slog.String("reason", r.Reason),
			milliseconds("advice_ms", r.RetryAfter), slog.Int("attempts", r.Attempts))
	}
}

// AttemptSent describes the start of an attempt.
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

// AttemptEnded describes the end of an attempt.
type AttemptEnded struct {
	Request    uint64
	Attempt    int
	Backend    string
	Status     string
	Answer     string // the form of the backend's answer on the wire
	ValueBytes int    // length of the value that the client is sent, with its framing
	Elapsed    time.Duration
	Reusable   bool // the connection can carry another attempt
}

// AttemptEnded writes the end of an attempt.
func (l *Log) AttemptEnded(e AttemptEnded) {
	if l.Detailed() {
		l.writeDetail("attempt ended", requestID(e.Request), slog.Int("attempt", e.Attempt), slog.String("backend", e.Backend),
			slog.String("status", e.Status), slog.String("answer", e.Answer), slog.Int("value_bytes", e.ValueBytes),
			milliseconds("elapsed_ms", e.Elapsed), slog.Bool("kept", e.Reusable))
	}
}

// BackendClosed writes the end of a connection to a backend and the reason.
func (l *Log) BackendClosed(backend, reason string) {
	if l.Detailed() {
		l.writeDetail("backend connection closed", slog.String("backend", backend), slog.String("reason", reason))
	}
}

// MemoryUsed describes the use of memory, in bytes. The first five fields are what the
// process counts, the others what the runtime measures.
type MemoryUsed struct {
	Limit      int64 // of what is held for clients
	Requests   int64 // commands of clients
	Answers    int64 // answers that are not written yet
	Input      int64 // read buffers of clients
	Replies    int64 // read buffers of backends
	LiveHeap   int64 // found in use by the last garbage collection
	HeapInUse  int64 // including garbage
	FromSystem int64 // all that the runtime has from the operating system
}

// MemoryUsed writes the use of memory.
func (l *Log) MemoryUsed(m MemoryUsed) {
	if l.Detailed() {
		l.writeDetail("memory", slog.Int64("limit", m.Limit), slog.Int64("requests", m.Requests),
			slog.Int64("answers", m.Answers), slog.Int64("input", m.Input), slog.Int64("replies", m.Replies),
			slog.Int64("live_heap", m.LiveHeap), slog.Int64("heap_in_use", m.HeapInUse), slog.Int64("from_system", m.FromSystem))
	}
}

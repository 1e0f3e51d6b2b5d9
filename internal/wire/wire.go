// Package wire encodes and decodes the simulator's binary protocol: frames, their records and
// the settings of an instance. It only translates and validates; all decisions are made by
// package choice.
//
// All numbers are little-endian. Every frame begins with its length as a uint32, which does not
// count itself. A frame of events has a header, event records of a fixed size and a tail, to
// which the records refer by offset and count. A reply has a header, action records of a fixed
// size and a tail in the same way. Times are milliseconds as float64.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"cedarseam/choice"
)

// Codes and sizes of the protocol. Events and actions are numbered separately.
const (
	// Codes of event records, named after the protocol's events. EventFirst, EventPeer and
	// EventCounted are valid but carry nothing that this package decodes.
	EventInit    = 256
	EventMembers = 257
	EventRequest = 258
	EventFirst   = 259
	EventOutcome = 260
	EventGone    = 261
	EventTimer   = 262
	EventProbed  = 263
	EventPeer    = 264
	EventStop    = 265
	EventCounted = 266
	EventList    = 267

	// Sizes in bytes. The two header sizes exclude the length of the frame.
	maxFrameSize     = 1 << 30
	batchHeaderSize  = 16
	replyHeaderSize  = 8
	eventSize        = 48
	actionSize       = 32
	backendEntrySize = 22

	// Codes of action records.
	actionSend      = 256
	actionRefuse    = 257
	actionFail      = 258
	actionCancel    = 259
	actionSetTimer  = 260
	actionProbe     = 261
	actionFault     = 265
	actionSubscribe = 266
)

var littleEndian = binary.LittleEndian

// A Batch is one frame of events. DecodeEvent decodes its records one by one. The contents are
// valid until the next call of ReadBatch.
type Batch struct {
	Now   time.Duration // the simulator's clock
	Seq   uint32        // sequence number of the batch
	Count int           // number of event records
	buf   []byte
	tail  []byte
}

// ReadBatch reads one frame. It returns io.EOF if the input ends before the first byte of a
// frame, and another error if it ends inside a frame.
func (b *Batch) ReadBatch(r io.Reader) error {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("batch after %d: frame length cut short after %d bytes", b.Seq, n)
	}
	size := littleEndian.Uint32(head[:])
	if size < batchHeaderSize {
		return fmt.Errorf("batch after %d: frame of %d bytes is shorter than its header", b.Seq, size)
	}
	if size > maxFrameSize {
		return fmt.Errorf("batch after %d: frame of %d bytes is longer than %d", b.Seq, size, maxFrameSize)
	}
	if cap(b.buf) < int(size) {
		b.buf = make([]byte, size+size/2)
	}
	b.buf = b.buf[:size]
	if n, err := io.ReadFull(r, b.buf); err != nil {
		return fmt.Errorf("batch after %d: frame cut short, %d of %d bytes", b.Seq, n, size)
	}
	now := getFloat64(b.buf, 0)
	count := littleEndian.Uint32(b.buf[8:])
	b.Seq = littleEndian.Uint32(b.buf[12:])
	if !(math.Abs(now) < 1e12) {
		return fmt.Errorf("batch %d: clock value %v ms is out of range", b.Seq, now)
	}
	b.Now = fromMillis(now)
	if uint64(count)*eventSize > uint64(size-batchHeaderSize) {
		return fmt.Errorf("batch %d: %d records do not fit in a frame of %d bytes", b.Seq, count, size)
	}
	b.Count = int(count)
	b.tail = b.buf[batchHeaderSize+b.Count*eventSize:]
	return nil
}

// An Event is one decoded record. Only the fields that belong to its Code are set; the others
// may hold values of an earlier event.
type Event struct {
	Code      int
	Instance  uint32             // instance that the event is for; not used by EventList
	Seed      uint64             // EventInit
	Config    []byte             // EventInit: the settings as JSON
	ListKind  choice.ListKind    // EventMembers
	ListIndex int                // EventList, EventMembers
	Backends  []choice.Backend   // EventList
	Request   choice.Request     // EventRequest
	Outcome   choice.Outcome     // EventOutcome
	Probe     choice.ProbeResult // EventProbed
	ID        uint32             // EventGone: the request whose client disconnected
	Token     uint64             // EventTimer
}

// DecodeEvent decodes record i into e. It reuses the memory of e.Backends.
func (b *Batch) DecodeEvent(i int, e *Event) error {
	record := b.buf[batchHeaderSize+i*eventSize:][:eventSize]
	e.Code = int(littleEndian.Uint16(record))
	e.Instance = littleEndian.Uint32(record[2:])
	fail := func(format string, args ...any) error {
		return fmt.Errorf("batch %d, record %d: %s", b.Seq, i, fmt.Sprintf(format, args...))
	}
	switch e.Code {
	case EventInit:
		e.Seed = littleEndian.Uint64(record[6:])
		data, ok := b.tailRange(record[14:], 1)
		if !ok {
			return fail("settings reference points outside the tail")
		}
		e.Config = data
	case EventList:
		e.ListIndex = int(record[2])
		data, ok := b.tailRange(record[3:], backendEntrySize)
		if !ok {
			return fail("backend list reference points outside the tail")
		}
		if e.ListIndex > 15 {
			return fail("list index %d is above 15", e.ListIndex)
		}
		e.Backends = e.Backends[:0]
		for ; len(data) > 0; data = data[backendEntrySize:] {
			backend, err := decodeBackend(data)
			if err != nil {
				return fail("%v", err)
			}
			e.Backends = append(e.Backends, backend)
		}
	case EventMembers:
		if record[6] > 3 {
			return fail("list kind %d is unknown", record[6])
		}
		e.ListKind, e.ListIndex = choice.ListKind(record[6]), int(record[11])
	case EventRequest:
		e.Request = choice.Request{
			ID:          littleEndian.Uint32(record[6:]),
			Class:       int(record[10]),
			Plan:        int(littleEndian.Uint32(record[11:])),
			Customer:    littleEndian.Uint64(record[15:]),
			TimeLeft:    fromMillis(getFloat64(record, 23)),
			Units:       getFloat32(record, 31),
			SetSize:     int(getFloat32(record, 35)),
			SetStart:    int(getFloat32(record, 39)),
			ClientRetry: record[43]&2 != 0,
		}
	case EventOutcome:
		outcomeStatus, ok := decodeStatus(littleEndian.Uint16(record[15:]))
		if !ok {
			return fail("status code %d is unknown", littleEndian.Uint16(record[15:]))
		}
		usedCode := littleEndian.Uint16(record[26:])
		e.Outcome = choice.Outcome{
			ID:       littleEndian.Uint32(record[6:]),
			Attempt:  int(record[10]),
			Backend:  littleEndian.Uint32(record[11:]),
			Status:   outcomeStatus,
			Elapsed:  fromMillis(getFloat64(record, 17)),
			Answered: record[25] != 0,
			Load:     decodeLoad(record[30:]),
		}
		// The code is 0 if no use was reported; otherwise the use in hundredths, plus 1.
		if usedCode > 0 {
			e.Outcome.Metered, e.Outcome.Used = true, float64(usedCode-1)/100
		}
	case EventProbed:
		probeStatus, ok := decodeStatus(littleEndian.Uint16(record[14:]))
		if !ok {
			return fail("status code %d is unknown", littleEndian.Uint16(record[14:]))
		}
		e.Probe = choice.ProbeResult{
			Backend: littleEndian.Uint32(record[16:]),
			Status:  probeStatus,
			Elapsed: fromMillis(getFloat64(record, 6)),
			Load:    decodeLoad(record[20:]),
		}
	case EventGone:
		e.ID = littleEndian.Uint32(record[6:])
	case EventTimer:
		e.Token = littleEndian.Uint64(record[6:])
	case EventFirst, EventPeer, EventStop, EventCounted:
	default:
		return fail("code %d is unknown", e.Code)
	}
	return nil
}

// tailRange returns the part of the tail that a reference points to. A reference is an offset in
// bytes and a count of items. It returns false if that part is not wholly inside the tail.
func (b *Batch) tailRange(reference []byte, itemSize uint64) ([]byte, bool) {
	offset, size := uint64(littleEndian.Uint32(reference)), uint64(littleEndian.Uint32(reference[4:]))*itemSize
	if offset+size > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset : offset+size], true
}

// decodeBackend decodes one entry of a backend list.
func decodeBackend(data []byte) (choice.Backend, error) {
	backend := choice.Backend{
		ID:     littleEndian.Uint32(data),
		Zone:   int(data[4]),
		Kind:   int(littleEndian.Uint16(data[5:])),
		Cell:   int(littleEndian.Uint16(data[7:])),
		Weight: getFloat32(data, 10),
	}
	switch data[9] {
	case 0:
		backend.State = choice.Ready
	case 1:
		backend.State = choice.Removed
	case 2:
		backend.State = choice.Draining
	default:
		return backend, fmt.Errorf("state %d of backend %d is unknown", data[9], backend.ID)
	}
	// A start time of 0 means that it is unknown.
	if startedMillis := getFloat64(data, 14); startedMillis != 0 {
		backend.Started, backend.StartKnown = fromMillis(startedMillis), true
	}
	return backend, nil
}

// decodeLoad decodes a load report: a count and that many float32 values.
func decodeLoad(data []byte) (load choice.Load) {
	load.Count = min(int(data[0]), len(load.Values))
	for i := range load.Count {
		load.Values[i] = getFloat32(data, 1+4*i)
	}
	return load
}

// decodeStatus converts a status code: 10 to 80 in steps of 10, in the order of choice.Status.
func decodeStatus(code uint16) (choice.Status, bool) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, false
	}
	return choice.Status(code/10 - 1), true
}

// fromMillis converts milliseconds to a duration, rounded to the nanosecond.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

func getFloat64(data []byte, offset int) float64 {
	return math.Float64frombits(littleEndian.Uint64(data[offset:]))
}

func getFloat32(data []byte, offset int) float64 {
	return float64(math.Float32frombits(littleEndian.Uint32(data[offset:])))
}

// A Reply collects the actions that are sent in reply to one batch.
type Reply struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset removes all actions and keeps the allocated memory.
func (reply *Reply) Reset() {
	reply.count, reply.records, reply.tail = 0, reply.records[:0], reply.tail[:0]
}

// appendAction adds an action record and returns it, zeroed but for its code and instance.
func (reply *Reply) appendAction(code uint16, instance uint32) []byte {
	n := len(reply.records)
	for range actionSize {
		reply.records = append(reply.records, 0)
	}
	action := reply.records[n:]
	littleEndian.PutUint16(action, code)
	littleEndian.PutUint32(action[2:], instance)
	reply.count++
	return action
}

// Send appends an action that sends an attempt of a request to a backend.
func (reply *Reply) Send(instance, id, backend uint32, timeout time.Duration) {
	action := reply.appendAction(actionSend, instance)
	littleEndian.PutUint32(action[6:], id)
	littleEndian.PutUint32(action[10:], backend)
	putMillis(action[14:], timeout)
}

// Refuse appends an action that refuses a request and advises when to retry it.
func (reply *Reply) Refuse(instance, id uint32, retryAfter time.Duration) {
	action := reply.appendAction(actionRefuse, instance)
	littleEndian.PutUint32(action[6:], id)
	putMillis(action[10:], retryAfter)
}

// Fail appends an action that ends a request with an error.
func (reply *Reply) Fail(instance, id uint32) {
	littleEndian.PutUint32(reply.appendAction(actionFail, instance)[6:], id)
}

// Cancel appends an action that stops waiting for an attempt.
func (reply *Reply) Cancel(instance, id uint32, attempt int) {
	action := reply.appendAction(actionCancel, instance)
	littleEndian.PutUint32(action[6:], id)
	action[10] = uint8(attempt)
}

// Probe appends an action that probes a backend.
func (reply *Reply) Probe(instance, backend uint32) {
	littleEndian.PutUint32(reply.appendAction(actionProbe, instance)[6:], backend)
}

// SetTimer appends an action that requests a timer event with a token after a delay.
func (reply *Reply) SetTimer(instance uint32, delay time.Duration, token uint64) {
	action := reply.appendAction(actionSetTimer, instance)
	putMillis(action[6:], delay)
	littleEndian.PutUint64(action[14:], token)
}

// Subscribe appends an action that subscribes to changes of the backend list.
func (reply *Reply) Subscribe(instance uint32) { reply.appendAction(actionSubscribe, instance)[6] = 1 }

// Fault appends an action that reports an internal failure of an instance.
func (reply *Reply) Fault(instance uint32, message string) {
	r := reply.appendAction(actionFault, instance)
	littleEndian.PutUint32(r[6:], uint32(len(reply.tail)))
	littleEndian.PutUint32(r[10:], uint32(len(message)))
	reply.tail = append(reply.tail, message...)
}

// Write writes the actions as one frame, in reply to the batch with sequence number seq.
func (reply *Reply) Write(w io.Writer, seq uint32) error {
	var header [4 + replyHeaderSize]byte
	littleEndian.PutUint32(header[:], uint32(replyHeaderSize+len(reply.records)+len(reply.tail)))
	littleEndian.PutUint32(header[4:], reply.count)
	littleEndian.PutUint32(header[8:], seq)
	for _, part := range [][]byte{header[:], reply.records, reply.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply to batch %d: %w", seq, err)
		}
	}
	return nil
}

// putMillis writes a duration as milliseconds.
func putMillis(data []byte, duration time.Duration) {
	littleEndian.PutUint64(data, math.Float64bits(float64(duration)/float64(time.Millisecond)))
}

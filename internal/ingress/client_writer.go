package ingress

import (
	"net"
	"slices"
	"time"

	"github.com/tidwall/redcon"
)

// The answers of a connection: their places in the sequence of its commands, and the
// writer goroutine that sends them.

const (
	// writeTimeout bounds a write to a client that does not read its answers.
	writeTimeout = 5 * time.Second
	// maxJoinedBytes is how many bytes of answers are joined for one write. A longer answer
	// is written by itself.
	maxJoinedBytes = 16 << 10
)

// slot is the place of one answer in the sequence of answers of a connection.
type slot struct {
	request  *request // nil once answered, and for an answer that needs no backend
	data     []byte   // the encoded answer
	filled   bool     // data is set
	reserved int      // bytes reserved in the memory budget until the answer is written
}

// startWriter starts the writer with the first answer: most connections of
// misbehaving clients never need one. The caller holds c.mu.
func (c *client) startWriter() {
	if !c.writerStarted {
		c.writerStarted = true
		go c.writeLoop()
	}
}

// fill stores the answer of a slot, and wakes the writer if it is the next to be
// written. It does not block. reserved is what the memory budget has reserved for the
// answer beyond shortAnswerBytes; fill takes it over.
func (c *client) fill(s *slot, data []byte, reserved int) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.server.loop.memory.release(answerMemory, reserved)
		return
	}
	// Answers before this one may take long, so the slot does not keep the command.
	s.data, s.filled, s.request = data, true, nil
	s.reserved += reserved
	first := len(c.pending) > 0 && c.pending[0] == s
	c.mu.Unlock()
	if first {
		notify(c.writerWake)
	}
}

// push appends a slot to the pending ones. The reader has checked that the pipeline
// is not full. A command cancels an eviction of the connection.
func (c *client) push(s *slot) {
	c.mu.Lock()
	c.pending = append(c.pending, s)
	c.answers++
	c.sentRequest, c.sentCommand = c.sentRequest || s.request != nil, true
	c.startWriter()
	evictionCancelled := c.evicted
	c.evicted = false
	c.mu.Unlock()
	if evictionCancelled {
		c.server.cancelEviction()
	}
}

// hasOpenRequests reports whether an answer is due that is not known yet.
func (c *client) hasOpenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.pending, func(s *slot) bool { return !s.filled })
}

// dropPending discards all pending slots, releases the memory of their answers, and
// returns the requests that were not answered yet.
func (c *client) dropPending() (unanswered []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending {
		if s.request != nil {
			unanswered = append(unanswered, s.request)
		}
		c.server.loop.memory.release(answerMemory, s.reserved)
	}
	c.pending = nil
	return unanswered
}

// reply answers a command without asking a backend.
func (c *client) reply(data []byte) {
	reserved := slotOverheadBytes + len(data)
	c.server.loop.memory.forceReserve(answerMemory, reserved)
	c.pushReply(data, reserved)
}

// replyWithinLimit does the same, or returns errNoMemory if there is no memory for the
// answer.
func (c *client) replyWithinLimit(data []byte) error {
	reserved := slotOverheadBytes + len(data)
	if !c.server.loop.memory.reserve(answerMemory, reserved) {
		return errNoMemory
	}
	c.pushReply(data, reserved)
	return nil
}

// pushReply appends an answer for which memory is reserved to the pending ones.
func (c *client) pushReply(data []byte, reserved int) {
	c.push(&slot{data: data, filled: true, reserved: reserved})
	notify(c.writerWake)
}

// replyError answers an invalid command, or input that closes the connection.
func (c *client) replyError(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// answerBatch holds answers that are written together.
type answerBatch struct {
	data     []byte
	reserved int  // bytes reserved in the memory budget for these answers
	taken    bool // at least one answer is in the batch
	more     bool // further answers can be written
	last     bool // the connection is closing, and no answer is left
	closed   bool // answers can no longer be written
}

// writeLoop sends the answers in the order of their commands. It is the writer
// goroutine of the connection, and returns when the connection is closed or, once the
// client is closing, after the last answer, having closed the sending direction.
func (c *client) writeLoop() {
	defer close(c.writerDone)
	var joined []byte // buffer for short answers
	for range c.writerWake {
		for more := true; more; {
			var batch answerBatch
			batch, joined = c.takeAnswers(joined)
			if batch.taken || batch.closed {
				notify(c.slotFreed)
			}
			err := c.writeBatch(batch)
			c.server.loop.memory.release(answerMemory, batch.reserved)
			if batch.closed || err != nil {
				notify(c.slotFreed)
				return
			}
			if cap(joined) > readBufferBytes {
				joined = nil
			}
			if batch.last {
				c.nc.(*net.TCPConn).CloseWrite()
				c.nc.SetReadDeadline(expiredDeadline) // wakes the reader
				return
			}
			more = batch.more
		}
	}
}

// takeAnswers removes the answers that can be written next from the pending ones. Short
// answers are joined in the buffer, which it returns.
func (c *client) takeAnswers(joined []byte) (answerBatch, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch answerBatch
	joined = joined[:0]
	taken := 0
	for ; taken < len(c.pending) && c.pending[taken].filled; taken++ {
		s := c.pending[taken]
		if taken > 0 && len(joined)+len(s.data) > maxJoinedBytes {
			batch.more = true
			break
		}
		if len(s.data) > maxJoinedBytes {
			batch.data, batch.reserved = s.data, s.reserved
			batch.more = true // the first answer, and another may follow
			c.pending[taken] = nil
			taken++
			break
		}
		joined = append(joined, s.data...)
		batch.data, batch.reserved = joined, batch.reserved+s.reserved
		c.pending[taken] = nil // the slots behind keep the array, which must not keep the answer
	}
	c.pending = c.pending[taken:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
	batch.taken = taken > 0
	c.sending = batch.taken
	if c.sending {
		c.lastActive = time.Now()
	}
	if c.sending && c.pipelineFull {
		c.pipelineFull = false
		c.interruptRead()
	}
	batch.last, batch.closed = len(c.pending) == 0 && c.closing, c.closed
	return batch, joined
}

// writeBatch writes answers to the client. If that fails, it closes the connection, which
// makes the reader return.
func (c *client) writeBatch(batch answerBatch) error {
	if batch.closed || len(batch.data) == 0 {
		return nil
	}
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(batch.data)
	c.mu.Lock()
	c.sending, c.closed, c.closeErr = false, c.closed || err != nil, err
	if (c.draining || c.evicted || c.aboveLimit) && len(c.pending) == 0 && !c.closing {
		c.interruptRead() // the connection is idle and may be closed
	}
	c.mu.Unlock()
	if err != nil {
		c.nc.Close()
	}
	return err
}

package ingress

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"cedarseam/internal/eventlog"
)

// memoryReportInterval is the time between two lines about the use of memory in the
// detailed log.
const memoryReportInterval = 100 * time.Millisecond

// memoryUse is what reserved memory is used for.
type memoryUse int

const (
	requestMemory memoryUse = iota // commands that were started and are not done with
	answerMemory                   // answers that are not written yet
	inputMemory                    // read buffers of clients beyond their initial size
	replyMemory                    // read buffers of backends beyond their initial size
	memoryUses
)

// What is reserved for a command besides its own bytes.
const (
	// requestOverheadBytes is the size of the records of an open request.
	requestOverheadBytes = 1024
	// slotOverheadBytes is the size of the place of an answer.
	slotOverheadBytes = 128
	// shortAnswerBytes is reserved together with a request, so that a short answer never
	// lacks memory.
	shortAnswerBytes = 512
)

// inputShareDivisor limits the read buffers of clients to 1/inputShareDivisor of the budget:
// incomplete commands must not keep complete ones from being served.
const inputShareDivisor = 2

// memoryBudget counts the bytes that are held for clients, from when they are taken until
// they are freed. Requests over the limit are refused, and long answers over it fail:
// holding them could run the process out of memory. What each connection needs at least is
// not counted, since the number of connections is limited.
type memoryBudget struct {
	limit  int64
	used   atomic.Int64
	usedBy [memoryUses]atomic.Int64
}

// reserve adds n bytes, unless that would exceed the limit. It reports whether it has
// added them, which is always so for none.
func (m *memoryBudget) reserve(use memoryUse, n int) bool {
	if n == 0 {
		return true
	}
	if m.used.Add(int64(n)) > m.limit {
		m.used.Add(-int64(n))
		return false
	}
	if m.usedBy[use].Add(int64(n)) > m.limitOf(use) {
		m.release(use, n)
		return false
	}
	return true
}

// limitOf returns how many bytes may be used for one use.
func (m *memoryBudget) limitOf(use memoryUse) int64 {
	if use == inputMemory {
		return m.limit / inputShareDivisor
	}
	return m.limit
}

// reserveRequest reserves what a request with a command of the given size needs until it is
// done with, and its slot until its answer is written. It reports whether it has reserved
// both.
func (m *memoryBudget) reserveRequest(size int) bool {
	if !m.reserve(requestMemory, size+requestOverheadBytes) {
		return false
	}
	if !m.reserve(answerMemory, slotOverheadBytes+shortAnswerBytes) {
		m.releaseRequest(size)
		return false
	}
	return true
}

// releaseRequest returns what was reserved for a request, without its slot.
func (m *memoryBudget) releaseRequest(size int) {
	m.release(requestMemory, size+requestOverheadBytes)
}

// forceReserve adds n bytes even over the limit, for data that can no longer be refused.
func (m *memoryBudget) forceReserve(use memoryUse, n int) {
	m.used.Add(int64(n))
	m.usedBy[use].Add(int64(n))
}

// release returns n reserved bytes to the budget.
func (m *memoryBudget) release(use memoryUse, n int) { m.forceReserve(use, -n) }

// report writes the use of memory to the log until done is closed. The difference between
// what the budget counts and what the garbage collector finds in use shows whether
// something is held that is not counted.
func (m *memoryBudget) report(log *eventlog.Log, done <-chan struct{}) {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/total:bytes"},
	}
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		metrics.Read(samples)
		log.MemoryUsed(eventlog.MemoryUsed{
			Limit:      m.limit,
			Requests:   m.usedBy[requestMemory].Load(),
			Answers:    m.usedBy[answerMemory].Load(),
			Input:      m.usedBy[inputMemory].Load(),
			Replies:    m.usedBy[replyMemory].Load(),
			LiveHeap:   int64(samples[0].Value.Uint64()),
			HeapInUse:  int64(samples[1].Value.Uint64()),
			FromSystem: int64(samples[2].Value.Uint64()),
		})
	}
}

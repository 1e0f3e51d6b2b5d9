package ingress

import "sync/atomic"

// memoryBudget counts the bytes that are held for clients: open requests, read
// buffers beyond their initial size, and answers not written yet. Requests over the
// limit are refused: holding them could run the process out of memory.
type memoryBudget struct {
	used  atomic.Int64
	limit int64
}

// reserve adds n bytes, unless that would exceed the limit. It reports whether it has
// added them.
func (m *memoryBudget) reserve(n int) bool {
	if m.used.Add(int64(n)) > m.limit {
		m.release(n)
		return false
	}
	return true
}

// forceReserve adds n bytes even over the limit, for data that can no longer be refused.
func (m *memoryBudget) forceReserve(n int) { m.used.Add(int64(n)) }

// release returns n reserved bytes to the budget.
func (m *memoryBudget) release(n int) { m.used.Add(-int64(n)) }

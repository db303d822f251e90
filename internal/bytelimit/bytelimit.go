// Package bytelimit limits the bytes that wait in a queue whose elements differ in size. A
// limit on their number alone does not bound the memory.
package bytelimit

import "sync/atomic"

// Limit counts the bytes that are held. It is safe for concurrent use.
type Limit struct {
	limit int64
	held  atomic.Int64
}

// New returns a limit of a number of bytes.
func New(limit int) *Limit { return &Limit{limit: int64(limit)} }

// Acquire reports whether size bytes more may be held, and counts them if so. While nothing
// is held, any size may: an element larger than the limit would never pass otherwise.
func (l *Limit) Acquire(size int) bool {
	held := l.held.Add(int64(size))
	if held <= l.limit || held == int64(size) {
		return true
	}
	l.held.Add(-int64(size))
	return false
}

// Release ends the hold on size bytes.
func (l *Limit) Release(size int) { l.held.Add(-int64(size)) }

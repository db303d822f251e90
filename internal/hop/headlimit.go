package hop

import (
	"errors"
	"io"
)

// ErrHeadTooLarge is returned when a message head exceeds its size limit.
var ErrHeadTooLarge = errors.New("the message head exceeds the size limit")

// HeadLimiter wraps the reader of a connection and fails once a message head exceeds
// its size limit. net/http's parser has no such limit and buffers the whole head in
// memory.
type HeadLimiter struct {
	reader  io.Reader
	left    int64 // bytes that may still be read while limited
	limited bool
}

// NewHeadLimiter returns a reader that is not limited until Allow is called.
func NewHeadLimiter(r io.Reader) *HeadLimiter { return &HeadLimiter{reader: r} }

// Allow limits further reads to n bytes in total. A buffered reader on top of l may
// read part of the body as well, which counts towards n.
func (l *HeadLimiter) Allow(n int64) { l.left, l.limited = n, true }

// RemoveLimit lifts the limit set by Allow.
func (l *HeadLimiter) RemoveLimit() { l.limited = false }

// Read returns ErrHeadTooLarge once the limit is reached.
func (l *HeadLimiter) Read(p []byte) (int, error) {
	if l.limited && l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(p)
	l.left -= int64(n)
	return n, err
}

package hop

import (
	"errors"
	"io"
)

// ErrHeadTooLarge says that a head is over its limit.
var ErrHeadTooLarge = errors.New("the head is over the limit")

// HeadLimiter reads from a connection and fails once a head exceeds its limit:
// net/http's parser holds a head in memory, however long it is.
type HeadLimiter struct {
	reader  io.Reader
	left    int64 // bytes
	limited bool
}

// NewHeadLimiter returns a reader without a limit.
func NewHeadLimiter(r io.Reader) *HeadLimiter { return &HeadLimiter{reader: r} }

// Allow bounds what is read from now on to n bytes. A buffered reader before it
// may read some bytes of the body, too.
func (l *HeadLimiter) Allow(n int64) { l.left, l.limited = n, true }

// RemoveLimit ends the bound.
func (l *HeadLimiter) RemoveLimit() { l.limited = false }

// Read fails with ErrHeadTooLarge once the bound is reached.
func (l *HeadLimiter) Read(p []byte) (int, error) {
	if l.limited && l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(p)
	l.left -= int64(n)
	return n, err
}

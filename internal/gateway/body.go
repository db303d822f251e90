package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// bufferedBody is the size in bytes below which a request body is buffered
	// completely, so that it can be sent again; larger ones are streamed.
	bufferedBody = 64 << 10
	// bufferedAnswer is the number of bytes of an answer that are read before any
	// is passed on: an answer that breaks off earlier can be replaced by another
	// target's.
	bufferedAnswer = 16 << 10
	// bufferedDownload replaces bufferedAnswer for downloads. It is smaller since
	// a download that is buffered to its end takes twice as long on a slow link.
	bufferedDownload = 2 << 10
	// heldAnswer replaces both if a request behind the answer was passed on: the answer
	// is not streamed up to this size, since the request would be lost if it broke off.
	// A longer answer is held as well, in steps of this size, while
	// Config.heldAnswerBytes allows it.
	heldAnswer = 64 << 10
)

var errBodyTooLarge = errors.New("the request body is over the limit")

// requestBody is the body of a caller's request.
type requestBody struct {
	prefix []byte
	rest   io.Reader // the bytes after prefix, nil if prefix is the whole body
	length int64     // of the whole body in bytes, -1 if unknown
	once   sync.Once
	done   chan struct{} // closed when nothing more is read from the caller for this body

	started atomic.Bool // the rest was claimed for a stream
	arrived atomic.Bool // the whole body was read from the caller
}

// readBody reads up to bufferedBody bytes of a request body; the rest is left to
// be streamed. It returns errBodyTooLarge if the body exceeds limit bytes, where 0
// means no limit.
func readBody(r *http.Request, limit int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, done: make(chan struct{})}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		b.markDone()
		return b, nil
	}
	if limit > 0 && r.ContentLength > limit {
		b.markDone()
		return b, errBodyTooLarge
	}
	prefix := make([]byte, 0, 1024)
	for len(prefix) < bufferedBody {
		if len(prefix) == cap(prefix) {
			prefix = append(prefix, 0)[:len(prefix)]
		}
		n, err := r.Body.Read(prefix[len(prefix):min(cap(prefix), bufferedBody)])
		prefix = prefix[:len(prefix)+n]
		if errors.Is(err, io.EOF) {
			b.prefix, b.length = prefix, int64(len(prefix))
			b.markDone()
			return b, nil
		}
		if err != nil {
			b.markDone()
			return b, err
		}
	}
	b.prefix = prefix
	b.rest = &boundedReader{reader: r.Body, left: limit - int64(len(prefix)), bounded: limit > 0, atEnd: func() { b.arrived.Store(true) }}
	return b, nil
}

// replayable reports whether the whole body can be sent, once more or for the first time.
func (b *requestBody) replayable() bool { return b.rest == nil || !b.started.Load() }

// start claims the rest of the body, for the one stream that reads it and then calls
// markDone. It returns false if it was claimed before.
func (b *requestBody) start() bool { return b.started.CompareAndSwap(false, true) }

// unread reports whether bytes of the body are still to be read from the caller's
// connection, so that no further request can be read from it.
func (b *requestBody) unread() bool { return b.rest != nil && !b.arrived.Load() }

// markDone records that nothing more is read from the caller for this body.
func (b *requestBody) markDone() { b.once.Do(func() { close(b.done) }) }

// boundedReader returns errBodyTooLarge once more bytes arrive than are allowed,
// and calls atEnd at the end of the body.
type boundedReader struct {
	reader  io.Reader
	left    int64
	bounded bool
	atEnd   func()
}

func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.atEnd()
	}
	if r.bounded {
		if r.left -= int64(n); r.left < 0 {
			return 0, errBodyTooLarge
		}
	}
	return n, err
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// bufferedBody bounds the body of a request that is held in memory as a
	// whole, so that it can be sent again; larger ones are passed on as they come.
	bufferedBody = 64 << 10
	// bufferedAnswer does the same for answers: one that breaks off early can be
	// replaced by another target's.
	bufferedAnswer = 16 << 10
	// bufferedDownload is less, since a download that waits at a slow link for
	// its own end takes twice as long.
	bufferedDownload = 2 << 10
)

var errBodyTooLarge = errors.New("the request body is over the limit")

// requestBody is the body of a caller's request.
type requestBody struct {
	prefix []byte
	rest   io.Reader // what follows prefix, nil if prefix is everything
	length int64     // of the whole body, -1 if unknown
	once   sync.Once
	done   chan struct{} // closed when nothing more is read from the caller for this body

	started atomic.Bool // a target is being sent the body
	arrived atomic.Bool // all of the body was read from the caller
}

// readBody reads the body of a request up to bufferedBody.
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

// repeatable reports whether the body can be sent again.
func (b *requestBody) repeatable() bool { return b.rest == nil }

// markStarted says that the body is passed on from now on, which ends by itself.
func (b *requestBody) markStarted() { b.started.Store(true) }

// unread reports whether the caller's connection still holds bytes of the body,
// so that no request can be read from it.
func (b *requestBody) unread() bool { return b.rest != nil && !b.arrived.Load() }

// markDone says that nothing more is read from the caller for this body.
func (b *requestBody) markDone() { b.once.Do(func() { close(b.done) }) }

// boundedReader fails once more bytes come than are allowed.
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

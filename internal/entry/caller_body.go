package entry

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// callerBody is the body of a caller's request. It knows how much of it was read.
type callerBody struct {
	src             io.Reader
	length          int64 // length that the caller announced, -1 if unknown
	expectsContinue bool  // the caller waits for "100 Continue" before it sends

	mu        sync.Mutex
	read      bool  // a byte was asked for
	bytesRead int64 // bytes read
	ended     bool  // the end was seen
	err       error // error of the caller's connection
}

// newCallerBody returns nil for a request without a body.
func newCallerBody(r *http.Request) *callerBody {
	if r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &callerBody{src: r.Body, length: r.ContentLength, expectsContinue: r.Header.Get("Expect") != ""}
}

// Read reads from the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.read = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesRead += int64(n)
	switch {
	case err == io.EOF:
		b.ended = true
	case err != nil:
		b.err = err
	}
	return n, err
}

func (b *callerBody) wasRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// failed returns the error that ended the upload early.
func (b *callerBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// hasMore reports whether a part of the body is still to come.
func (b *callerBody) hasMore() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && b.bytesRead != b.length
}

// Limits of what is read of a body that nobody needs, to keep the caller's connection usable.
const (
	maxDrain     = 64 << 10
	drainTimeout = time.Second
)

// discard is called before a response that does not need the body. It reads the
// rest of a short body, or has the connection closed after the response. net/http (Go 1.26) panics if a handler in full-duplex mode
// returns before the end of the body was seen and the connection goes on.
func (b *callerBody) discard(w http.ResponseWriter) {
	if b == nil {
		return
	}
	control := http.NewResponseController(w)
	waits := b.expectsContinue && !b.wasRead()
	if !waits && b.length <= maxDrain && b.failed() == nil {
		_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
		if b.drain() {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}

// drain reports whether the end of the body was reached within maxDrain bytes.
func (b *callerBody) drain() bool {
	_, err := io.CopyN(io.Discard, b, maxDrain+1)
	return err == io.EOF
}

// beforeResponse has the connection closed after a response that comes before
// the upload has ended, as the two may go on side by side.
func (b *callerBody) beforeResponse(w http.ResponseWriter) {
	if b != nil && b.hasMore() {
		w.Header().Set("Connection", "close")
	}
}

// afterResponse ends the upload with the response.
func (b *callerBody) afterResponse(w http.ResponseWriter) {
	if b == nil {
		return
	}
	if b.hasMore() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		return
	}
	b.drain() // all bytes were read, but perhaps not the end
}

package entry

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// callerBody is the body of a caller's request. It tracks how much of it was read.
type callerBody struct {
	src             io.Reader
	length          int64 // length that the caller announced, -1 if unknown
	expectsContinue bool  // the caller waits for "100 Continue" before it sends

	mu        sync.Mutex
	read      bool  // Read was called
	bytesRead int64 // bytes read
	ended     bool  // Read reached the end of the body
	err       error // error other than io.EOF that Read returned
}

// newCallerBody returns nil for a request without a body.
func newCallerBody(r *http.Request) *callerBody {
	if r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &callerBody{src: r.Body, length: r.ContentLength, expectsContinue: r.Header.Get("Expect") != ""}
}

// Read reads from the caller and records the progress.
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

// wasRead reports whether any of the body may have been read.
func (b *callerBody) wasRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// failed returns the error that ended the upload early, or nil.
func (b *callerBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// hasMore reports whether part of the body was not read yet.
func (b *callerBody) hasMore() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && b.bytesRead != b.length
}

// Limits on reading the rest of an unneeded body so that the caller's connection
// can be reused.
const (
	maxDrain     = 64 << 10
	drainTimeout = time.Second
)

// discard disposes of the body before a response that does not depend on it. It
// reads the rest of a short body and has the connection closed after the
// response otherwise. net/http (Go 1.26) panics if a handler in full-duplex mode
// returns before it has read the end of the body and the connection stays open.
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

// drain reads on and reports whether the body ended within maxDrain bytes.
func (b *callerBody) drain() bool {
	_, err := io.CopyN(io.Discard, b, maxDrain+1)
	return err == io.EOF
}

// beforeResponse has the connection closed after a response that begins before
// the upload has ended. Both may continue at the same time.
func (b *callerBody) beforeResponse(w http.ResponseWriter) {
	if b != nil && b.hasMore() {
		w.Header().Set("Connection", "close")
	}
}

// afterResponse ends an upload that outlasts the response.
func (b *callerBody) afterResponse(w http.ResponseWriter) {
	if b == nil {
		return
	}
	if b.hasMore() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		return
	}
	b.drain() // all bytes were read, but perhaps not io.EOF
}

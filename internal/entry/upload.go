package entry

import (
	"errors"
	"io"
	"sync"
)

var errDetached = errors.New("the attempt that read this body has ended")

// upload is the body of a request to a target. It has no GetBody and is never
// http.NoBody, so net/http cannot send the request a second time.
type upload struct {
	src io.Reader // nil for a request without a body

	mu       sync.Mutex
	read     bool // a byte was asked for, or the end was seen
	reading  bool
	detached bool
	err      error // error of the caller's connection
}

// Read reads from the caller until the upload is detached.
func (u *upload) Read(p []byte) (int, error) {
	if u.src == nil {
		return 0, io.EOF
	}
	u.mu.Lock()
	if u.detached {
		u.mu.Unlock()
		return 0, errDetached
	}
	u.read, u.reading = true, true
	u.mu.Unlock()
	n, err := u.src.Read(p)
	u.mu.Lock()
	u.reading = false
	if err != nil && err != io.EOF {
		u.err = err
	}
	u.mu.Unlock()
	return n, err
}

// Close leaves the caller's body to the server, which closes it.
func (u *upload) Close() error { return nil }

// detach ends all reading by the attempt. It reports whether a byte may have
// been read, and whether a read is still waiting for the caller.
func (u *upload) detach() (read, reading bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.detached = true
	return u.read, u.reading
}

// failed returns the error that ended the caller's upload.
func (u *upload) failed() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

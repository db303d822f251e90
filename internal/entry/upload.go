package entry

import (
	"errors"
	"io"
	"sync/atomic"
)

var errDetached = errors.New("the attempt that read this body has ended")

// upload is the body of a request to a target. It has no GetBody and is never
// http.NoBody, so net/http cannot send the request a second time.
type upload struct {
	body     *callerBody // nil for a request without a body
	detached atomic.Bool
}

// Read reads from the caller until the upload is detached.
func (u *upload) Read(p []byte) (int, error) {
	if u.body == nil {
		return 0, io.EOF
	}
	if u.detached.Load() {
		return 0, errDetached
	}
	return u.body.Read(p)
}

// Close does nothing: net/http closes the caller's body.
func (u *upload) Close() error { return nil }

// detach makes all further reads by the attempt fail.
func (u *upload) detach() { u.detached.Store(true) }

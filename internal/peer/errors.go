package peer

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrClosed is returned by calls on a closed client.
var ErrClosed = errors.New("peer client is closed")

// ErrQueueFull is returned when the send queue of the address is full.
var ErrQueueFull = errors.New("send queue is full")

// ErrConnectionLost is returned for calls whose connection ended before the reply
// arrived. The remote side may or may not have handled the call.
var ErrConnectionLost = errors.New("connection lost before the reply")

// RemoteError is an error returned by the remote side: by the handler, or because
// the method is unknown or the request cannot be decoded.
type RemoteError struct {
	Method string
	Code   string // machine-readable, empty for untyped errors
	Text   string
}

func (e *RemoteError) Error() string {
	if e.Code == "" {
		return fmt.Sprintf("%s: remote: %s", e.Method, e.Text)
	}
	return fmt.Sprintf("%s: remote: %s (%s)", e.Method, e.Text, e.Code)
}

// Coder is implemented by handler errors that carry a machine-readable code.
type Coder interface{ Code() string }

// DialError is returned if no connection to the address could be opened, so that
// nothing of the call was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// IsRefused reports whether err is a refused connection: no process listens on the
// address, so a process that listened there before has ended.
func IsRefused(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) && errors.Is(err, syscall.ECONNREFUSED)
}

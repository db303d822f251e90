package peer

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrClosed is returned by calls on a closed client.
var ErrClosed = errors.New("peer client is closed")

// ErrQueueFull is returned by Notify when the send queue of the address is full.
var ErrQueueFull = errors.New("send queue is full")

// ErrConnectionLost is returned for calls whose connection ended before the
// reply; the remote side may or may not have handled the call.
var ErrConnectionLost = errors.New("connection lost before the reply")

// RemoteError is an error that the handler on the remote side returned.
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

// DialError says that no connection to the address could be opened, so no byte of the call was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// IsRefused reports whether err says that no process listens at the address,
// which shows that the process that used to listen there has ended.
func IsRefused(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) && errors.Is(err, syscall.ECONNREFUSED)
}

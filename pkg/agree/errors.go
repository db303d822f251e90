package agree

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and membership changes.
var (
	ErrNotLeader     = errors.New("this server is not the leader")
	ErrTooMany       = errors.New("too many entries wait for a majority")
	ErrNotReady      = errors.New("the leader has not committed an entry of its term yet")
	ErrChangePending = errors.New("a membership change is not committed yet")
	ErrStillActive   = errors.New("the member's present incarnation is active")
	ErrUnknownMember = errors.New("no member has this name")
	ErrNotEmpty      = errors.New("the server already holds a history")
)

// InvariantError says that a message would break an invariant of the package
// doc; the server must stop.
type InvariantError struct{ Text string }

func (e *InvariantError) Error() string { return "agreement invariant broken: " + e.Text }

func invariant(format string, args ...any) error {
	return &InvariantError{Text: fmt.Sprintf(format, args...)}
}

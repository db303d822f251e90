package agree

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and membership changes.
var (
	ErrNotLeader          = errors.New("this server is not the leader")
	ErrTooManyUncommitted = errors.New("too many uncommitted entries")
	ErrNotReady           = errors.New("the leader has not committed an entry of its own term yet")
	ErrChangePending      = errors.New("the previous membership change is not committed yet")
	ErrStillActive        = errors.New("the member's current incarnation is still active")
	ErrUnknownMember      = errors.New("no member has this name")
	ErrNotEmpty           = errors.New("the server already holds entries or a snapshot")
)

// InvariantError reports that a message would break one of the invariants in
// the package documentation. The server must stop.
type InvariantError struct{ Text string }

func (e *InvariantError) Error() string { return "agreement invariant broken: " + e.Text }

func invariant(format string, args ...any) error {
	return &InvariantError{Text: fmt.Sprintf(format, args...)}
}

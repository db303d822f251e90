package controlapi

import (
	"context"
	"fmt"
)

// Group is the agreement group of the control hosts, which commits submissions.
type Group interface {
	// Propose commits a command and returns the reply of the state machine. If
	// this host is not the leader, it returns *NotLeaderError and the command is
	// not committed. After any other error, the command may or may not be
	// committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Read returns when the local state holds everything that was committed
	// before the call.
	Read(ctx context.Context) error
	// Leader returns the name of the leader, or an empty string if unknown.
	Leader() string
}

// NotLeaderError is returned by a host that is not the leader.
type NotLeaderError struct {
	Leader string // name of the leader, empty if unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this host does not lead and knows no leader"
	}
	return fmt.Sprintf("this host does not lead, %s does", e.Leader)
}

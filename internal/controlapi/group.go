package controlapi

import (
	"context"
	"fmt"
)

// Group is the agreement group that decides about submissions.
type Group interface {
	// Propose commits a command and returns the reply of the state machine. On a
	// host that does not lead it returns *NotLeaderError and commits nothing. Any
	// other error leaves open whether the command will be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Read returns when the local state holds everything that was committed
	// before the call.
	Read(ctx context.Context) error
	// Leader returns the name of the leading host, empty if there is none.
	Leader() string
}

// NotLeaderError says that another host leads.
type NotLeaderError struct {
	Leader string // name of the leading host, empty if unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this host does not lead and knows no leader"
	}
	return fmt.Sprintf("this host does not lead, %s does", e.Leader)
}

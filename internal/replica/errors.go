package replica

import (
	"errors"
	"fmt"
)

// ErrStopped is returned by calls on a group that was stopped or has failed.
var ErrStopped = errors.New("agreement group is stopped")

// NotLeaderError reports that this host is not the leader, so the command was not
// accepted.
type NotLeaderError struct{ Leader Member } // zero if unknown

func (e *NotLeaderError) Error() string {
	if e.Leader.Name == "" {
		return "this host does not lead and knows no leader"
	}
	return fmt.Sprintf("this host does not lead, the leader is %s at %s", e.Leader.Name, e.Leader.Peer)
}

// Code identifies the error to remote callers.
func (e *NotLeaderError) Code() string { return "not-leader" }

// UnknownResultError reports that the command may still be accepted, or may
// already have been.
type UnknownResultError struct{ Cause error }

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("result of the command is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// Code identifies the error to remote callers.
func (e *UnknownResultError) Code() string { return "unknown-result" }

var errLostLeadership = errors.New("leadership was lost")

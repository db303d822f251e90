package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// Replace admits the new incarnation of a member that lost its disk and returns
// once it is a voter. The leader also does this without a call of Replace when
// the host asks for admission. Messages go to the address in Config.Members; the
// one in m is used to ask the new host for its incarnation, and for hosts that
// Config.Members does not list.
func (g *Group) Replace(ctx context.Context, m Member) error {
	for {
		err := g.tryReplace(ctx, m)
		var retry *retryableError
		if !errors.As(err, &retry) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("replace %s: %w", m.Name, errors.Join(ctx.Err(), retry.cause))
		case <-g.quit:
			return g.stopCause()
		case <-time.After(retryInterval):
		}
	}
}

// retryableError wraps an error that may not recur when the call is repeated.
type retryableError struct{ cause error }

func (e *retryableError) Error() string { return e.cause.Error() }

// tryReplace makes one attempt to admit a member. It returns nil once the member is a
// committed voter, and *retryableError if a later attempt may succeed.
func (g *Group) tryReplace(ctx context.Context, m Member) error {
	attempt, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := g.hello(attempt, m)
	if err != nil {
		return &retryableError{cause: err}
	}
	server := agree.Server{ID: agree.ID{Name: m.Name, Incarnation: reply.Incarnation}, Peer: m.Peer}
	result := make(chan error, 1)
	if err := g.runInLoop(ctx, func() { result <- g.admit(server) }); err != nil {
		return err
	}
	err = <-result
	if errors.Is(err, agree.ErrNotReady) || errors.Is(err, agree.ErrChangePending) || errors.Is(err, agree.ErrStillActive) {
		return &retryableError{cause: err}
	}
	return err
}

// admit takes the next step to make a server a voter. It returns nil once the
// server is a committed voter, ErrChangePending while a step is in progress.
func (g *Group) admit(server agree.Server) error {
	s := g.node.Status()
	if s.Role == agree.Leader && s.Members.IsVoter(server.ID) && s.Members.Index <= s.Commit {
		return nil
	}
	err := g.node.Admit(g.now(), server)
	if errors.Is(err, agree.ErrNotLeader) {
		return g.notLeader()
	}
	if err != nil {
		return err
	}
	return agree.ErrChangePending
}

package replica

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// proposalResult is the result of StateMachine.Apply or the reason why there is none.
type proposalResult struct {
	value []byte
	err   error
}

// proposal is a proposed command whose entry is not committed yet.
type proposal struct {
	term   uint64
	result chan<- proposalResult // buffered, so that sending does not block
}

// Propose replicates a command and returns the result of Apply. *NotLeaderError
// means that this host does not lead or lost its entry, so the command was not
// accepted; *UnknownResultError means that it may still be accepted.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	result := make(chan proposalResult, 1)
	accepted := make(chan error, 1)
	err := g.runInLoop(ctx, func() { accepted <- g.propose(command, result) })
	if err != nil {
		return nil, err
	}
	if err := <-accepted; err != nil {
		return nil, err
	}
	select {
	case r := <-result:
		return r.value, r.err
	case <-ctx.Done():
		return nil, &UnknownResultError{Cause: ctx.Err()}
	case <-g.quit:
		return nil, &UnknownResultError{Cause: g.stopCause()}
	}
}

func (g *Group) propose(command []byte, result chan<- proposalResult) error {
	index, term, err := g.node.Propose(g.now(), command)
	if errors.Is(err, agree.ErrNotLeader) {
		return g.notLeader()
	}
	if err != nil {
		return err
	}
	g.pending[index] = proposal{term: term, result: result}
	return nil
}

// runInLoop passes f to the loop. It returns an error only if f did not and will
// not run.
func (g *Group) runInLoop(ctx context.Context, f func()) error {
	select {
	case g.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.quit:
		return g.stopCause()
	}
}

// stopCause returns ErrStopped, joined with the failure if there was one.
func (g *Group) stopCause() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return errors.Join(ErrStopped, g.err)
	}
	return ErrStopped
}

// failLostProposals answers the pending proposals of terms that this host no longer
// leads.
func (g *Group) failLostProposals() {
	s := g.node.Status()
	for index, p := range g.pending {
		if s.Role != agree.Leader || p.term != s.Term {
			p.result <- proposalResult{err: &UnknownResultError{Cause: errLostLeadership}}
			delete(g.pending, index)
		}
	}
}

// failPending answers all pending proposals and reads when the loop ends.
func (g *Group) failPending() {
	for _, p := range g.pending {
		p.result <- proposalResult{err: &UnknownResultError{Cause: g.stopCause()}}
	}
	for id, ch := range g.reads {
		ch <- agree.ReadResult{ID: id, Err: g.stopCause()}
	}
}

func (g *Group) notLeader() error { return &NotLeaderError{Leader: g.leader(g.node.Status())} }

// leader returns the leader that s names, zero if unknown.
func (g *Group) leader(s agree.Status) Member {
	if s.Leader == (agree.ID{}) {
		return Member{}
	}
	return Member{Name: s.Leader.Name, Peer: g.addressOf(s.Leader.Name, s.Members)}
}

package replica

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

type proposalResult struct {
	value []byte
	err   error
}

// proposal waits for its entry to be committed and applied.
type proposal struct {
	term   uint64
	result chan<- proposalResult // has room for the result
}

// Propose adds a command to the history and returns the result of Apply. On a
// host that does not lead it returns *NotLeaderError and the command was not
// accepted. *UnknownResultError says that the command may still be accepted.
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

// runInLoop runs f in the loop. It returns an error only if f did not and will not run.
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

func (g *Group) stopCause() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return errors.Join(ErrStopped, g.err)
	}
	return ErrStopped
}

// failLostProposals answers proposals of terms that this host no longer leads.
func (g *Group) failLostProposals() {
	s := g.node.Status()
	for index, p := range g.pending {
		if s.Role != agree.Leader || p.term != s.Term {
			p.result <- proposalResult{err: &UnknownResultError{Cause: errLostLeadership}}
			delete(g.pending, index)
		}
	}
}

// failPending answers all that waits when the loop ends.
func (g *Group) failPending() {
	for _, p := range g.pending {
		p.result <- proposalResult{err: &UnknownResultError{Cause: g.stopCause()}}
	}
	for id, ch := range g.reads {
		ch <- agree.ReadResult{ID: id, Err: g.stopCause()}
	}
}

func (g *Group) notLeader() error { return &NotLeaderError{Leader: g.leader(g.node.Status())} }

func (g *Group) leader(s agree.Status) Member {
	if s.Leader == (agree.ID{}) {
		return Member{}
	}
	return Member{Name: s.Leader.Name, Peer: g.addressOf(s.Leader.Name, s.Members)}
}

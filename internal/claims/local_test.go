package claims

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

var errLost = errors.New("message lost")

// localTransport calls stores in the same process. Its hooks can lose or delay messages.
type localTransport struct {
	c *cluster
	// before and after run around a vote at a store; an error loses the request or the reply.
	before, after func(store string) error
}

func (l *localTransport) node(s Store) (*StoreService, error) {
	for i, o := range l.c.stores {
		if o.Name == s.Name && !l.c.nodes[i].down.Load() {
			return l.c.nodes[i].service.Load(), nil
		}
	}
	return nil, errLost
}

func (l *localTransport) vote(ctx context.Context, to Store, req claim.VoteRequest) (claim.VoteReply, error) {
	if l.before != nil {
		if err := l.before(to.Name); err != nil {
			return claim.VoteReply{}, err
		}
	}
	s, err := l.node(to)
	if err != nil {
		return claim.VoteReply{}, err
	}
	reply, err := s.vote(ctx, "", req)
	if err == nil && l.after != nil {
		err = l.after(to.Name)
	}
	return reply, err
}

func (l *localTransport) finish(ctx context.Context, to Store, req claim.FinishRequest) error {
	s, err := l.node(to)
	if err == nil {
		_, err = s.finish(ctx, "", req)
	}
	return err
}

func (l *localTransport) release(ctx context.Context, to Store, req claim.ReleaseRequest) error {
	s, err := l.node(to)
	if err == nil {
		_, err = s.release(ctx, "", req)
	}
	return err
}

func (l *localTransport) read(ctx context.Context, to Store, req claim.ReadRequest) (claim.VoteReply, error) {
	s, err := l.node(to)
	if err != nil {
		return claim.VoteReply{}, err
	}
	return s.read(ctx, "", req)
}

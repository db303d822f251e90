package replica

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// readAttemptTimeout limits one attempt to get a read index; the next attempt may
// find another leader.
const readAttemptTimeout = time.Second

// Read returns once the local state machine has applied everything that was
// committed before the call. It retries until ctx ends or the group stops.
func (g *Group) Read(ctx context.Context) error {
	for {
		index, err := g.readIndex(ctx)
		if err == nil {
			return g.applier.wait(ctx, index, g.quit)
		}
		if errors.Is(err, ErrStopped) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-g.quit:
			return g.stopCause()
		case <-time.After(retryInterval):
		}
	}
}

// readIndex gets a read index from this host's node, or from the leader that it
// knows if it does not lead itself.
func (g *Group) readIndex(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readAttemptTimeout)
	defer cancel()
	index, err := g.localReadIndex(ctx)
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader.Peer == "" {
		return index, err
	}
	reply, err := peer.Call[wireRequest, wireReply](ctx, g.config.Client, notLeader.Leader.Peer, method, wireRequest{Kind: wireRead})
	return reply.Index, err
}

func (g *Group) localReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan agree.ReadResult, 1)
	err := g.runInLoop(ctx, func() {
		g.readID++
		if err := g.node.Read(g.now(), g.readID); err != nil {
			result <- agree.ReadResult{Err: err}
			return
		}
		g.reads[g.readID] = result
	})
	if err != nil {
		return 0, err
	}
	select {
	case r := <-result:
		if errors.Is(r.Err, agree.ErrNotLeader) {
			return 0, &NotLeaderError{Leader: g.leader(g.nodeStatus())}
		}
		return r.Index, r.Err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-g.quit:
		return 0, g.stopCause()
	}
}

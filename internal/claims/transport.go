package claims

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// transport sends requests of a Client to a store.
type transport interface {
	vote(ctx context.Context, to Store, req claim.VoteRequest) (claim.VoteReply, error)
	finish(ctx context.Context, to Store, req claim.FinishRequest) error
	release(ctx context.Context, to Store, req claim.ReleaseRequest) error
	read(ctx context.Context, to Store, req claim.ReadRequest) (claim.VoteReply, error)
}

// peerTransport is the transport over peer connections between processes.
type peerTransport struct{ c *peer.Client }

// vote retries once if the connection turns out to be lost, for example after a
// restart of the store. Vote requests are idempotent.
func (t peerTransport) vote(ctx context.Context, to Store, req claim.VoteRequest) (claim.VoteReply, error) {
	reply, err := t.voteOnce(ctx, to, req)
	if errors.Is(err, peer.ErrConnectionLost) && ctx.Err() == nil {
		reply, err = t.voteOnce(ctx, to, req)
	}
	return reply, err
}

func (t peerTransport) voteOnce(ctx context.Context, to Store, req claim.VoteRequest) (claim.VoteReply, error) {
	return peer.Call[claim.VoteRequest, claim.VoteReply](ctx, t.c, to.Peer, "claim.vote", req)
}

func (t peerTransport) finish(ctx context.Context, to Store, req claim.FinishRequest) error {
	_, err := peer.Call[claim.FinishRequest, claim.Ack](ctx, t.c, to.Peer, "claim.finish", req)
	return err
}

func (t peerTransport) release(ctx context.Context, to Store, req claim.ReleaseRequest) error {
	_, err := peer.Call[claim.ReleaseRequest, claim.Ack](ctx, t.c, to.Peer, "claim.release", req)
	return err
}

func (t peerTransport) read(ctx context.Context, to Store, req claim.ReadRequest) (claim.VoteReply, error) {
	return peer.Call[claim.ReadRequest, claim.VoteReply](ctx, t.c, to.Peer, "claim.read", req)
}

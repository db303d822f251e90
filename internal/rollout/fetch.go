package rollout

import (
	"context"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Source provides the versions newer than the one a host has. Holder and
// history.Machine implement it.
type Source interface {
	Since(version uint64, root bundle.Digest) (spread.Answer, error)
}

// ServeFetch registers the bundle.fetch method on s. newest returns the newest
// version number of the source. leader returns the peer address of the leader,
// or an empty string if it is unknown.
func ServeFetch(s *peer.Server, source Source, newest func() uint64, leader func() string) {
	peer.Register(s, MethodFetch, func(_ context.Context, _ string, req FetchRequest) (FetchReply, error) {
		if req.OnlyVersion {
			return FetchReply{Version: newest(), Leader: leader()}, nil
		}
		answer, err := source.Since(req.Version, req.Root)
		if err != nil {
			return FetchReply{}, err
		}
		reply, err := encodeAnswer(answer)
		reply.Version, reply.Leader = newest(), leader()
		return reply, err
	})
}

// fetch requests versions from addr until h is as new as addr. It returns the
// peer address of the leader, or an empty string if addr does not know it.
func fetch(ctx context.Context, c *peer.Client, h *Holder, addr string) (leader string, err error) {
	for {
		var req FetchRequest
		if a := h.Current(); a != nil {
			req.Version, req.Root = a.Version, a.Root
		}
		reply, err := peer.Call[FetchRequest, FetchReply](ctx, c, addr, MethodFetch, req)
		if err != nil {
			return "", err
		}
		changed, err := h.putAll(reply)
		if err != nil || !changed || h.Current().Version >= reply.Version {
			return reply.Leader, err
		}
	}
}

// putAll puts the versions of a reply in force, oldest first. It reports whether
// the version in force changed, also when it returns an error.
func (h *Holder) putAll(reply FetchReply) (changed bool, err error) {
	parts := reply.Deltas
	if reply.Snapshot != nil {
		parts = [][]byte{reply.Snapshot}
	}
	for _, data := range parts {
		signed, err := bundle.DecodeSigned(data)
		if err != nil {
			return changed, err
		}
		newer, err := h.Put(signed)
		if err != nil {
			return changed, err
		}
		changed = changed || newer
	}
	return changed, nil
}

package claims

import (
	"context"
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// copy serves one step of the copy to a store that lost its disk.
func (s *StoreService) copy(_ context.Context, _ string, req claim.CopyRequest) (claim.CopyReply, error) {
	if req.Step == claim.CopyRegister {
		err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.Met(req.Store, req.Fence) })
		if err != nil {
			return claim.CopyReply{}, err
		}
	}
	s.gateMu.RLock()
	reply := s.gate.CopyReply(req.Store)
	serves := s.gate.Serves(req)
	s.gateMu.RUnlock()
	if req.Step != claim.CopyPage {
		return reply, nil
	}
	if !serves || req.Page < 0 || req.Page >= shardCount {
		return claim.CopyReply{}, fmt.Errorf("store %s does not serve page %d to %s", s.o.Name, req.Page, req.Store)
	}
	sh := s.shards[req.Page]
	sh.mu.Lock()
	reply.Records, reply.Pages = sh.store.Records(), shardCount
	sh.mu.Unlock()
	return reply, nil
}

func (s *StoreService) askCopy(ctx context.Context, to Store, req claim.CopyRequest) (claim.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return peer.Call[claim.CopyRequest, claim.CopyReply](ctx, s.o.Peers, to.Peer, "claim.copy", req)
}

// copyFrom takes over all records of a store that has recorded our fence, and
// returns the last page.
func (s *StoreService) copyFrom(ctx context.Context, from Store, fence claim.Fence) (claim.CopyReply, error) {
	var last claim.CopyReply
	for page, pages := 0, 1; page < pages; page++ {
		reply, err := s.askCopy(ctx, from, claim.CopyRequest{Store: s.o.Name, Fence: fence, Step: claim.CopyPage, Page: page})
		if err != nil {
			return last, err
		}
		if page > 0 && reply.Fence != last.Fence {
			return last, fmt.Errorf("store %s lost its disk during the copy", from.Name)
		}
		if err := s.take(reply); err != nil {
			return last, err
		}
		last, pages = reply, reply.Pages
	}
	return last, nil
}

// take merges one page and waits until it is on disk.
func (s *StoreService) take(reply claim.CopyReply) error {
	err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.Learn(reply.Known, reply.Horizon) })
	if err != nil {
		return err
	}
	byShard := map[int][]claim.KeyRecord{}
	for _, kr := range reply.Records {
		byShard[shardOf(kr.Key)] = append(byShard[shardOf(kr.Key)], kr)
	}
	var last uint64
	for i, records := range byShard {
		sh := s.shards[i]
		s.gateMu.RLock()
		sh.mu.Lock()
		err := s.append(sh, sh.store.Merge(records)...)
		last = max(last, sh.last)
		sh.mu.Unlock()
		s.gateMu.RUnlock()
		if err != nil {
			return err
		}
	}
	return s.journal.wait(last)
}

package claims

import (
	"context"
	"encoding/binary"
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	"golang.org/x/sync/errgroup"
)

// copy handles one copy request of a joining store.
func (s *StoreService) copy(_ context.Context, _ string, req claim.CopyRequest) (claim.CopyReply, error) {
	if req.Step == claim.CopyRegister {
		err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.RecordFence(req.Store, req.Fence) })
		if err != nil {
			return claim.CopyReply{}, err
		}
	}
	s.gateMu.RLock()
	reply := s.gate.CopyReply(req.Store)
	serves := s.gate.Serves(req)
	s.gateMu.RUnlock()
	if req.Step != claim.CopyPage {
		reply.Count = s.Len()
		return reply, nil
	}
	if !serves || req.Parts < 1 || req.Page < 0 || req.Page >= shardCount*req.Parts {
		return claim.CopyReply{}, fmt.Errorf("store %s does not serve page %d of %d parts to %s", s.o.Name, req.Page, req.Parts, req.Store)
	}
	sh := s.shards[req.Page%shardCount]
	sh.mu.Lock()
	for _, kr := range sh.store.Records() {
		if partOf(kr.Key, req.Parts) == req.Page/shardCount {
			reply.Records = append(reply.Records, kr)
		}
	}
	sh.mu.Unlock()
	return reply, nil
}

// partOf returns the part of a shard that the key belongs to, from the last bytes
// of the key, which are random.
func partOf(k claim.Key, parts int) int {
	return int(binary.BigEndian.Uint32(k.ID[12:]) % uint32(parts))
}

func (s *StoreService) askCopy(ctx context.Context, to Store, req claim.CopyRequest) (claim.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return peer.Call[claim.CopyRequest, claim.CopyReply](ctx, s.o.Peers, to.Peer, "claim.copy", req)
}

// copyFrom copies all records of a store that has recorded our fence. It returns
// the status reply with the store's own fence, which must be the same on all
// pages, and the fences that the store has recorded.
func (s *StoreService) copyFrom(ctx context.Context, from Store, fence claim.Fence) (claim.CopyReply, error) {
	req := claim.CopyRequest{Store: s.o.Name, Fence: fence, Step: claim.CopyStatus}
	status, err := s.askCopy(ctx, from, req)
	if err != nil {
		return status, err
	}
	req.Step, req.Parts = claim.CopyPage, 1+status.Count/(shardCount*recordsPerPage)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(copyConcurrency)
	for page := range shardCount * req.Parts {
		req := req
		req.Page = page
		group.Go(func() error { return s.copyPage(ctx, from, status.Fence, req) })
	}
	return status, group.Wait()
}

func (s *StoreService) copyPage(ctx context.Context, from Store, source claim.Fence, req claim.CopyRequest) error {
	reply, err := s.askCopy(ctx, from, req)
	if err != nil {
		return err
	}
	if reply.Fence != source {
		return fmt.Errorf("store %s changed its fence during the copy: its data folder was replaced", from.Name)
	}
	return s.mergePage(reply)
}

// mergePage merges one page of a copy and waits until the changes are on disk.
func (s *StoreService) mergePage(reply claim.CopyReply) error {
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

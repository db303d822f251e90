package claims

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// join repeats join rounds until the store is ready and every other store has
// recorded its fence, or until the store is superseded or ctx ends.
func (s *StoreService) join(ctx context.Context) {
	s.gateMu.RLock()
	fence := s.gate.Fence()
	s.gateMu.RUnlock()
	others := s.others()
	j := claim.NewJoiner(fence, len(others), s.o.Founding)
	for ctx.Err() == nil {
		complete := s.joinRound(ctx, j, others)
		if j.Superseded() {
			s.supersede(j)
			return
		}
		if complete {
			return
		}
		pause := joinInterval
		if s.Ready() {
			pause = registerInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// supersede stops voting permanently. The operator must start the store with an
// empty folder.
func (s *StoreService) supersede(j *claim.Joiner) {
	err := s.changeGate((*claim.Gate).Supersede)
	s.o.Logger.Error("claim store has an outdated data folder and does not vote; start it with an empty folder",
		"store", s.o.Name, "incarnation", j.Fence().Incarnation, "err", err)
}

// joinRound contacts every other store once. It returns true if the store is
// ready and all others have recorded its fence.
func (s *StoreService) joinRound(ctx context.Context, j *claim.Joiner, others []Store) bool {
	complete := true
	for _, o := range others {
		if !s.joinOne(ctx, j, o) {
			complete = false
		}
	}
	s.setGeneration(j)
	if !s.Ready() && j.Done() {
		if err := s.changeGate((*claim.Gate).MarkReady); err != nil {
			s.o.Logger.Error("failed to record that the claim store is ready", "store", s.o.Name, "err", err)
			return false
		}
		s.o.Logger.Info("claim store is ready", "store", s.o.Name, "records", s.Len(), "generation", j.Fence().Generation)
	}
	return complete && s.Ready()
}

// joinOne queries, registers with and copies from one other store, as far as
// that is possible now. It returns true if that store has recorded our fence.
func (s *StoreService) joinOne(ctx context.Context, j *claim.Joiner, o Store) bool {
	if !j.Registered(o.Name) {
		step := claim.CopyStatus
		if s.setGeneration(j) {
			step = claim.CopyRegister
		}
		reply, err := s.askCopy(ctx, o, claim.CopyRequest{Store: s.o.Name, Fence: j.Fence(), Step: step})
		if err != nil {
			return false
		}
		j.HandleStatus(reply)
	}
	if s.Ready() || !j.Registered(o.Name) || j.HasCopied(o.Name) {
		return j.Registered(o.Name)
	}
	source, err := s.copyFrom(ctx, o, j.Fence())
	if err != nil {
		s.o.Logger.Debug("failed to copy claim records", "store", s.o.Name, "from", o.Name, "err", err)
		return true
	}
	j.Copied(o.Name, source.Fence, source.Known)
	return true
}

// setGeneration writes the generation to disk, before it is sent to other stores.
// It returns false if no generation has been chosen yet or the write failed.
func (s *StoreService) setGeneration(j *claim.Joiner) bool {
	generation := j.Fence().Generation
	if generation == 0 {
		return false
	}
	err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.SetGeneration(generation) })
	return err == nil
}

func (s *StoreService) others() []Store {
	var out []Store
	for _, o := range s.o.Stores() {
		if o.Name != s.o.Name {
			out = append(out, o)
		}
	}
	return out
}

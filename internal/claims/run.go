package claims

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

const (
	// joinInterval is the pause between rounds of a store that is not ready.
	joinInterval = 250 * time.Millisecond
	// registerInterval is the pause between rounds that register the own fence with stores that missed it.
	registerInterval = 5 * time.Second
	// copyTimeout bounds one step of a copy.
	copyTimeout = 5 * time.Second
	// keepInterval is the time between checks for old records and for the size of the log.
	keepInterval = time.Minute
	// snapshotEvery is the number of records after which a snapshot is taken.
	snapshotEvery = 100_000
)

// Run joins the store if its disk is new, drops old records and takes
// snapshots, until ctx ends. Votes that are waiting for the log then fail.
func (s *StoreService) Run(ctx context.Context) error {
	defer s.journal.close()
	joined := make(chan struct{})
	go func() { defer close(joined); s.join(ctx) }()
	defer func() { <-joined }()
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			s.keep()
		}
	}
}

// keep drops old records and takes a snapshot if the log has grown.
func (s *StoreService) keep() {
	if err := s.forget(); err != nil {
		s.o.Logger.Error("claim records not dropped", "store", s.o.Name, "err", err)
		return
	}
	if s.journal.last()-s.snapshotAt.Load() < snapshotEvery {
		return
	}
	if err := s.saveSnapshot(); err != nil {
		s.o.Logger.Error("claim snapshot failed", "store", s.o.Name, "err", err)
	}
}

// forget drops records past their lifetime. The horizon is on disk first.
func (s *StoreService) forget() error {
	err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.Forget(s.o.Now()) })
	if err != nil {
		return err
	}
	s.gateMu.RLock()
	horizon := s.gate.Horizon()
	s.gateMu.RUnlock()
	dropped := 0
	for _, sh := range s.shards {
		sh.mu.Lock()
		dropped += sh.store.Register.Drop(horizon)
		sh.mu.Unlock()
	}
	if dropped > 0 {
		s.o.Logger.Info("claim records dropped", "store", s.o.Name, "records", dropped)
	}
	return nil
}

// join makes the store ready and registers its fence with every other store.
func (s *StoreService) join(ctx context.Context) {
	s.gateMu.RLock()
	fence := s.gate.Fence()
	s.gateMu.RUnlock()
	others := s.others()
	j := claim.NewJoiner(fence, len(others), s.o.Founding)
	for ctx.Err() == nil {
		complete := s.joinRound(ctx, j, others)
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

// joinRound asks every other store once. It returns true if the store is
// ready and all others have its fence.
func (s *StoreService) joinRound(ctx context.Context, j *claim.Joiner, others []Store) bool {
	complete := true
	for _, o := range others {
		if !s.joinOne(ctx, j, o) {
			complete = false
		}
	}
	s.setGeneration(j)
	if !s.Ready() && j.Done() {
		if err := s.changeGate((*claim.Gate).Open); err != nil {
			s.o.Logger.Error("claim store cannot become ready", "store", s.o.Name, "err", err)
			return false
		}
		s.o.Logger.Info("claim store is ready", "store", s.o.Name, "records", s.Len(), "generation", j.Fence().Generation)
	}
	return complete && s.Ready()
}

// joinOne asks, registers with and copies from one store, as far as that is
// possible now. It returns true if the store has recorded our fence.
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
		j.Status(reply)
	}
	if s.Ready() || !j.Registered(o.Name) || j.HasCopied(o.Name) {
		return j.Registered(o.Name)
	}
	if err := s.copyFrom(ctx, o, j.Fence()); err != nil {
		s.o.Logger.Debug("claim copy failed", "store", s.o.Name, "from", o.Name, "err", err)
		return true
	}
	j.Copied(o.Name)
	return true
}

// setGeneration syncs the generation, if it is known, before it is told to others.
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

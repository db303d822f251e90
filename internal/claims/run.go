package claims

import (
	"context"
	"math"
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
	// pageRecords is the number of records in a page of a copy, about: even with
	// the largest bodies a page stays below the largest message of 128 MiB.
	pageRecords = 1000
	// copyCalls is the number of pages that are asked for at a time.
	copyCalls = 8
	// keepInterval is the time between checks for old records and for the size of the log.
	keepInterval = time.Minute
	// snapshotEvery is the number of records after which a snapshot is taken.
	snapshotEvery = 100_000
	// snapshotBytes is the size of records after which a snapshot is taken; records may hold 64 KiB bodies.
	snapshotBytes = 256 << 20
)

// Run joins the store if its disk is new, drops old records and takes
// snapshots, until ctx ends or the log fails. Votes that are waiting for the
// log then fail, and so do all later ones.
func (s *StoreService) Run(ctx context.Context) error {
	defer s.journal.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	joined := make(chan struct{})
	go func() { defer close(joined); s.join(ctx) }()
	defer func() { cancel(); <-joined }()
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.journal.ended:
			return s.journal.wait(math.MaxUint64)
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
	if s.journal.last()-s.snapshotAt.Load() < snapshotEvery && s.journal.bytes() < snapshotBytes {
		return
	}
	if err := s.saveSnapshot(); err != nil {
		s.o.Logger.Error("claim snapshot failed", "store", s.o.Name, "err", err)
	}
}

// forget drops records past their lifetime. The horizon is on disk first.
func (s *StoreService) forget() error {
	err := s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.AdvanceHorizon(s.o.Now()) })
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

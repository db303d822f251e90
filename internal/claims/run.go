package claims

import (
	"context"
	"math"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

const (
	// joinInterval is the pause between join rounds of a store that is not ready.
	joinInterval = 250 * time.Millisecond
	// registerInterval is the pause between join rounds of a ready store, which
	// register its fence with the stores that have not recorded it.
	registerInterval = 5 * time.Second
	// copyTimeout bounds one request of a copy.
	copyTimeout = 5 * time.Second
	// recordsPerPage is the approximate number of records in a page of a copy. Even
	// with the largest bodies a page stays below the message limit of 128 MiB.
	recordsPerPage = 1000
	// copyConcurrency is the number of pages that are requested at the same time.
	copyConcurrency = 8
	// maintenanceInterval is the time between checks for expired records and for the size of the log.
	maintenanceInterval = time.Minute
	// snapshotRecords is the number of log records after which a snapshot is taken.
	snapshotRecords = 100_000
	// snapshotBytes is the size of the log records, in bytes, after which a snapshot
	// is taken even if they are few: records may hold bodies of 64 KiB.
	snapshotBytes = 256 << 20
)

// Run joins the store if it is not ready, registers its fence with the other
// stores, drops expired records and takes snapshots, until ctx ends or the log
// fails. Votes that are waiting for the log then fail, and so do all later ones.
func (s *StoreService) Run(ctx context.Context) error {
	defer s.journal.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	joined := make(chan struct{})
	go func() { defer close(joined); s.join(ctx) }()
	defer func() { cancel(); <-joined }()
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.journal.ended:
			return s.journal.wait(math.MaxUint64)
		case <-tick.C:
			s.maintain()
		}
	}
}

// maintain drops expired records and takes a snapshot if the log has grown enough.
func (s *StoreService) maintain() {
	if err := s.dropExpired(); err != nil {
		s.o.Logger.Error("failed to drop expired claim records", "store", s.o.Name, "err", err)
		return
	}
	if s.journal.lastSynced()-s.snapshotAt.Load() < snapshotRecords && s.journal.bytesSinceSnapshot() < snapshotBytes {
		return
	}
	if err := s.saveSnapshot(); err != nil {
		s.o.Logger.Error("failed to save claim snapshot", "store", s.o.Name, "err", err)
	}
}

// dropExpired drops records past their lifetime. The new horizon is on disk
// before any record is dropped.
func (s *StoreService) dropExpired() error {
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
		s.o.Logger.Info("expired claim records dropped", "store", s.o.Name, "records", dropped)
	}
	return nil
}

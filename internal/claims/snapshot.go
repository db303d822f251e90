package claims

import (
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// restore rebuilds the state from a snapshot and the log records after it. The
// snapshot may already contain some of them; replay is idempotent.
func (s *StoreService) restore(r *Recovered) error {
	now := s.o.Now()
	state := claim.NewGate(s.o.Name, r.Incarnation, now).State()
	if len(r.Snapshot) > 0 {
		snap, err := claim.DecodeSnapshot(r.Snapshot)
		if err != nil {
			return fmt.Errorf("decode claim snapshot at index %d: %w", r.SnapshotIndex, err)
		}
		state = snap.Gate
		for _, kr := range snap.Records {
			s.set(kr.Key, kr.Record)
		}
	}
	for i, data := range r.Records {
		m, err := claim.DecodeMutation(data)
		if err != nil {
			return fmt.Errorf("decode claim record %d after index %d: %w", i, r.SnapshotIndex, err)
		}
		if m.Gate != nil {
			state = *m.Gate
		}
		if m.Key != nil && m.Record != nil {
			s.set(*m.Key, m.Record)
		}
	}
	s.gate = claim.RestoreGate(s.o.Name, state, now)
	for _, sh := range s.shards {
		sh.store.Gate = s.gate
		sh.store.Register.Drop(s.gate.Horizon())
	}
	return nil
}

func (s *StoreService) set(k claim.Key, r *claim.Record) {
	s.shards[shardOf(k)].store.Register.Set(k, r)
}

// saveSnapshot saves a snapshot of the state. The index is read before the state,
// so the snapshot may contain later changes too, which are then replayed again.
func (s *StoreService) saveSnapshot() error {
	index := s.journal.lastSynced()
	var snap claim.Snapshot
	s.gateMu.RLock()
	snap.Gate = s.gate.State()
	s.gateMu.RUnlock()
	for _, sh := range s.shards {
		sh.mu.Lock()
		snap.Records = append(snap.Records, sh.store.Records()...)
		sh.mu.Unlock()
	}
	data, err := snap.Encode()
	if err != nil {
		return fmt.Errorf("encode claim snapshot: %w", err)
	}
	if err := s.o.Log.SaveSnapshot(index, data); err != nil {
		return fmt.Errorf("save claim snapshot at index %d: %w", index, err)
	}
	s.snapshotAt.Store(index)
	s.journal.resetSize()
	return nil
}

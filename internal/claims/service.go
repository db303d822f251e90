package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

var errStopped = errors.New("claim store has stopped")

// Store is the name of a claim store and its peer address, IP:port.
type Store struct{ Name, Peer string }

// StoreOptions configures a StoreService.
type StoreOptions struct {
	Name      string
	Log       Log
	Recovered *Recovered
	// Stores returns all stores of the deployment, this one included.
	Stores func() []Store
	Peers  *peer.Client
	// Founding is set if the operator declares all stores new. It takes effect only
	// with an empty folder, and only if no other store has recorded an earlier
	// incarnation of this store.
	Founding bool
	Now      func() time.Time
	Logger   *log.Logger
}

// StoreService runs one claim store: it answers requests and keeps the store's
// state in a durable log.
type StoreService struct {
	o       StoreOptions
	journal *journal
	// snapshotAt is the log index of the last snapshot.
	snapshotAt atomic.Uint64

	// gateMu guards gate. It is locked before the lock of any shard.
	gateMu sync.RWMutex
	gate   *claim.Gate
	shards [shardCount]*shard
}

// NewStoreService restores the store from its log.
func NewStoreService(o StoreOptions) (*StoreService, error) {
	s := &StoreService{o: o}
	if s.o.Logger == nil {
		s.o.Logger = log.Default()
	}
	for i := range s.shards {
		s.shards[i] = &shard{store: &claim.Store{Register: claim.NewRegister()}}
	}
	if err := s.restore(o.Recovered); err != nil {
		return nil, err
	}
	s.snapshotAt.Store(o.Recovered.SnapshotIndex)
	s.journal = newJournal(o.Log, o.Recovered.LastIndex)
	return s, s.changeGate(func(g *claim.Gate) *claim.Mutation { return g.Mutation() })
}

// Register registers the RPC methods of the store with the server.
func (s *StoreService) Register(srv *peer.Server) {
	peer.Register(srv, "claim.vote", s.vote)
	peer.Register(srv, "claim.finish", s.finish)
	peer.Register(srv, "claim.release", s.release)
	peer.Register(srv, "claim.read", s.read)
	peer.Register(srv, "claim.copy", s.copy)
}

// Ready reports whether the store votes for all keys.
func (s *StoreService) Ready() bool {
	s.gateMu.RLock()
	defer s.gateMu.RUnlock()
	return s.gate.Ready()
}

// Len returns the number of records.
func (s *StoreService) Len() int {
	n := 0
	for _, sh := range s.shards {
		sh.mu.Lock()
		n += sh.store.Register.Len()
		sh.mu.Unlock()
	}
	return n
}

func (s *StoreService) vote(_ context.Context, _ string, req claim.VoteRequest) (claim.VoteReply, error) {
	var reply claim.VoteReply
	err := s.applyAndSync(req.Key, func(st *claim.Store) (m *claim.Mutation) {
		reply, m = st.Vote(s.o.Now(), req)
		return m
	})
	return reply, err
}

func (s *StoreService) finish(_ context.Context, _ string, req claim.FinishRequest) (claim.Ack, error) {
	err := s.applyAndSync(req.Key, func(st *claim.Store) *claim.Mutation { return st.Finish(s.o.Now(), req) })
	return claim.Ack{Store: s.o.Name}, err
}

func (s *StoreService) release(_ context.Context, _ string, req claim.ReleaseRequest) (claim.Ack, error) {
	err := s.applyAndSync(req.Key, func(st *claim.Store) *claim.Mutation { return st.Release(s.o.Now(), req) })
	return claim.Ack{Store: s.o.Name}, err
}

func (s *StoreService) read(_ context.Context, _ string, req claim.ReadRequest) (claim.VoteReply, error) {
	var reply claim.VoteReply
	err := s.applyAndSync(req.Key, func(st *claim.Store) *claim.Mutation {
		reply = st.Read(s.o.Now(), req)
		return nil
	})
	return reply, err
}

// applyAndSync runs f under the lock of the key's shard and returns once its change,
// and all earlier ones of the shard, are on disk.
func (s *StoreService) applyAndSync(k claim.Key, f func(*claim.Store) *claim.Mutation) error {
	sh := s.shards[shardOf(k)]
	s.gateMu.RLock()
	sh.mu.Lock()
	err := s.append(sh, f(sh.store))
	last := sh.last
	sh.mu.Unlock()
	s.gateMu.RUnlock()
	if err != nil {
		return err
	}
	return s.journal.wait(last)
}

// append queues changes of a shard for the log. The shard's lock is held, so
// that changes are logged in the order in which they were applied in memory.
func (s *StoreService) append(sh *shard, ms ...*claim.Mutation) error {
	for _, m := range ms {
		if m == nil {
			continue
		}
		data, err := m.Encode()
		if err != nil {
			return fmt.Errorf("encode claim record: %w", err)
		}
		sh.last = s.journal.add(data)
	}
	return nil
}

// changeGate changes the state that applies to all keys and waits until the
// change is on disk.
func (s *StoreService) changeGate(f func(*claim.Gate) *claim.Mutation) error {
	s.gateMu.Lock()
	m := f(s.gate)
	if m == nil {
		s.gateMu.Unlock()
		return nil
	}
	data, err := m.Encode()
	if err != nil {
		s.gateMu.Unlock()
		return fmt.Errorf("encode claim gate: %w", err)
	}
	index := s.journal.add(data)
	s.gateMu.Unlock()
	return s.journal.wait(index)
}

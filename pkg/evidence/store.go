package evidence

import "sync"

// Store holds the evidence about all targets. It is safe for concurrent use.
type Store struct {
	mu      sync.RWMutex
	targets map[Key]*Target
}

// Key identifies one life (incarnation) of a target.
type Key struct {
	Name string
	Life int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{targets: map[Key]*Target{}} }

// For returns the evidence about a target. It creates an empty record if there is none.
func (s *Store) For(k Key) *Target {
	s.mu.RLock()
	t, ok := s.targets[k]
	s.mu.RUnlock()
	if ok {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok = s.targets[k]; !ok {
		t = &Target{}
		s.targets[k] = t
	}
	return t
}

// Retain drops the evidence about all targets for which keep returns false.
func (s *Store) Retain(keep func(Key) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.targets {
		if !keep(k) {
			delete(s.targets, k)
		}
	}
}

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
func (b *Store) For(k Key) *Target {
	b.mu.RLock()
	t, ok := b.targets[k]
	b.mu.RUnlock()
	if ok {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t, ok = b.targets[k]; !ok {
		t = &Target{}
		b.targets[k] = t
	}
	return t
}

// Retain drops the evidence about all targets for which keep returns false.
func (b *Store) Retain(keep func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.targets {
		if !keep(k) {
			delete(b.targets, k)
		}
	}
}

package evidence

import "sync"

// Store holds the evidence about all targets.
type Store struct {
	mu      sync.RWMutex
	targets map[Key]*Target
}

// Key names one life of a target.
type Key struct {
	Name string
	Life int64
}

// NewStore returns an empty board.
func NewStore() *Store { return &Store{targets: map[Key]*Target{}} }

// For returns the evidence about a target.
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

// Retain drops the evidence about targets that keep does not hold.
func (b *Store) Retain(keep func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.targets {
		if !keep(k) {
			delete(b.targets, k)
		}
	}
}

package evidence

import "sync"

// Board holds the evidence about all targets.
type Board struct {
	mu      sync.RWMutex
	targets map[Key]*Target
}

// Key names one life of a target.
type Key struct {
	Name string
	Life int64
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{targets: map[Key]*Target{}} }

// Of returns the evidence about a target.
func (b *Board) Of(k Key) *Target {
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

// Keep drops the evidence about targets that keep does not hold.
func (b *Board) Keep(keep func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.targets {
		if !keep(k) {
			delete(b.targets, k)
		}
	}
}

package evidence

import (
	"maps"
	"sync"
	"time"
)

// MaxPause bounds the time for which a target may ask not to be sent requests, so that
// one faulty answer cannot take a target out of use for long.
const MaxPause = time.Minute

// pauseSweepSize is the number of pauses above which expired ones are removed.
const pauseSweepSize = 256

// Pauses holds the targets that have asked this host to send no requests for a time.
// It is safe for concurrent use.
type Pauses struct {
	mu   sync.Mutex
	ends map[Key]time.Duration
}

// NewPauses returns an empty set.
func NewPauses() *Pauses { return &Pauses{ends: map[Key]time.Duration{}} }

// Add records that a target asked for a pause. A shorter pause does not end a longer
// one, and one that is not positive is ignored.
func (p *Pauses) Add(now time.Duration, k Key, pause time.Duration) {
	if pause <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ends) >= pauseSweepSize {
		maps.DeleteFunc(p.ends, func(_ Key, end time.Duration) bool { return end <= now })
	}
	p.ends[k] = max(p.ends[k], now+min(pause, MaxPause))
}

// Left returns how long a target's pause still lasts, 0 if there is none.
func (p *Pauses) Left(now time.Duration, k Key) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	end, ok := p.ends[k]
	if ok && end <= now {
		delete(p.ends, k)
	}
	return max(0, end-now)
}

package roster

import "time"

// Heartbeat says that a target has announced itself again without a change.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Life     Life
	Sequence uint64
	AgeMs    int64 // milliseconds since the announcement
}

// NewHeartbeat prepares the last announcement of a target for another host that holds
// what the target says of itself.
func NewHeartbeat(t *Target, now time.Duration) Heartbeat {
	return Heartbeat{Name: t.Name, Life: t.Life, Sequence: t.Sequence, AgeMs: (now - t.LastHeard).Milliseconds()}
}

// ApplyHeartbeat takes a beat. It reports whether the roster changed in a way that
// others have to know, and whether the target's life is known.
func (r *Roster) ApplyHeartbeat(now time.Duration, b Heartbeat) (changed, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[b.Name]
	if !ok || t.Life < b.Life {
		return false, false
	}
	if t.Life > b.Life || t.Sequence > b.Sequence {
		return false, true
	}
	t.Sequence = b.Sequence
	t.LastHeard = max(t.LastHeard, now-time.Duration(b.AgeMs)*time.Millisecond)
	if !t.Silent {
		return false, true
	}
	t.Silent = false
	r.markChanged(t)
	return true, true
}

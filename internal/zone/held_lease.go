package zone

import "time"

// heldLease is the lease as this host holds it. It is replaced, never changed, so
// that requests read it without the lock of the election.
type heldLease struct {
	coordinator *coordinator
	until       time.Time // end of the lease
}

// lease returns the coordinator and the end of its lease, or nil if this host
// does not hold the lease now.
func (z *Zone) lease() (*coordinator, time.Time) {
	l := z.held.Load()
	if l == nil || !z.cfg.Now().Before(l.until) {
		return nil, time.Time{}
	}
	return l.coordinator, l.until
}

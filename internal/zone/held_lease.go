package zone

import "time"

// heldLease is the lease that this host holds. It is immutable and replaced as a
// whole, so that requests read it without taking leaseMu.
type heldLease struct {
	coordinator *coordinator
	until       time.Time // end of the lease
}

// lease returns this host's coordinator state and the end of its lease, or nil if
// the host does not hold the lease now.
func (z *Zone) lease() (*coordinator, time.Time) {
	l := z.held.Load()
	if l == nil || !z.cfg.Now().Before(l.until) {
		return nil, time.Time{}
	}
	return l.coordinator, l.until
}

package zone

import "time"

// office is the lease as this host holds it. It is replaced, never changed, so
// that requests read it without the lock of the election.
type office struct {
	coordinator *coordinator
	until       time.Time // end of the lease
}

// lease returns the coordinator and the end of its lease, or nil if this host
// does not hold the lease now.
func (z *Zone) lease() (*coordinator, time.Time) {
	o := z.office.Load()
	if o == nil || !z.cfg.Now().Before(o.until) {
		return nil, time.Time{}
	}
	return o.coordinator, o.until
}

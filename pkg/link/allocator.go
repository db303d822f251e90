package link

import "time"

// Route is one direction of a link between two regions.
type Route struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
}

// minLeaseFraction is the fraction of the pool that any host with demand is
// offered, as far as it is free. Without it the first requests after an idle
// period would wait at the floor rate.
const minLeaseFraction = 1.0 / 32

// Allocator holds the leader's state of one route: the demands of its hosts
// and the shares leased to them. It is not safe for concurrent use.
type Allocator struct {
	pool    float64   // bytes per second that can be leased
	since   time.Time // start of the leadership
	holders map[string]*holder
}

// holder holds the last demand and the unexpired leases of one host.
type holder struct {
	demand      float64 // bytes per second
	lastRequest time.Time
	// leases holds all leases that the host may still use. An older, larger
	// lease counts until it expires, since the reply with the smaller one may
	// have been lost.
	leases []Lease
}

// NewAllocator returns the allocator of a host that has led since the given time.
func NewAllocator(capBytesPerSecond float64, since time.Time) *Allocator {
	return &Allocator{pool: Pool(capBytesPerSecond), since: since, holders: map[string]*holder{}}
}

// SetCap changes the cap. Leases granted under a higher cap stay valid until
// they expire.
func (a *Allocator) SetCap(capBytesPerSecond float64) { a.pool = Pool(capBytesPerSecond) }

// Ask records a host's demand and returns the share, in bytes per second above
// the floor, that it may use for LeaseDuration from the moment it sent the
// request. The share is 0 until LeaderWait has passed since the leadership began.
func (a *Allocator) Ask(now time.Time, host string, demand float64) float64 {
	h, ok := a.holders[host]
	if !ok {
		h = &holder{}
		a.holders[host] = h
	}
	h.demand, h.lastRequest = max(demand, 0), now
	if demand > 0 {
		h.demand = max(demand, a.pool*minLeaseFraction)
	}
	a.expire(now)
	if now.Before(a.since.Add(LeaderWait)) {
		return 0
	}
	free := a.pool - a.leasedToOthers(host)
	share := max(min(a.fairShare(host), free), 0)
	if share > 0 {
		h.leases = append(h.leases, Lease{BytesPerSecond: share, Until: now.Add(LeaseDuration)})
	}
	return share
}

// Leased returns the sum of the shares that hosts may use now, in bytes per second.
func (a *Allocator) Leased(now time.Time) float64 {
	a.expire(now)
	return a.leasedToOthers("")
}

// leasedToOthers returns the bytes per second leased to all hosts but the given one.
func (a *Allocator) leasedToOthers(host string) float64 {
	sum := 0.0
	for name, h := range a.holders {
		if name != host {
			sum += h.largestLease()
		}
	}
	return sum
}

// largestLease returns the largest share that the host may still use, in bytes
// per second.
func (h *holder) largestLease() float64 {
	most := 0.0
	for _, l := range h.leases {
		most = max(most, l.BytesPerSecond)
	}
	return most
}

// expire removes expired leases, and hosts without one that have sent no
// request for LeaseDuration.
func (a *Allocator) expire(now time.Time) {
	for name, h := range a.holders {
		kept := h.leases[:0]
		for _, l := range h.leases {
			if now.Before(l.Until) {
				kept = append(kept, l)
			}
		}
		h.leases = kept
		if now.Sub(h.lastRequest) >= LeaseDuration && len(kept) == 0 {
			delete(a.holders, name)
		}
	}
}

// fairShare returns the host's max-min fair share of the pool, in bytes per
// second, at the current demands.
func (a *Allocator) fairShare(host string) float64 {
	demands := make([]float64, 0, len(a.holders))
	for _, h := range a.holders {
		demands = append(demands, h.demand)
	}
	return min(a.holders[host].demand, FairLevel(a.pool, demands))
}

package link

import "time"

// Route is one direction of a link between two regions.
type Route struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
}

// minLeasePart of the pool is leased to any host with demand, as far as it is
// free: the first requests after an idle time then need not wait at the floor.
const minLeasePart = 1.0 / 32

// Allocator is the leader's state of one route: which shares its hosts may
// use. It is not safe for concurrent use.
type Allocator struct {
	pool    float64 // bytes per second to lease
	since   time.Time
	holders map[string]*holder
}

// holder is what the leader knows of one host.
type holder struct {
	demand float64
	asked  time.Time
	// leases that the host may still use. An older, larger lease counts until
	// it expires, since the reply with the smaller one may have been lost.
	leases []Lease
}

// NewAllocator returns the state of a host that leads since the given time.
func NewAllocator(capBytesPerSecond float64, since time.Time) *Allocator {
	return &Allocator{pool: Pool(capBytesPerSecond), since: since, holders: map[string]*holder{}}
}

// SetCap changes the cap. Leases above a lowered cap run out by time.
func (a *Allocator) SetCap(capBytesPerSecond float64) { a.pool = Pool(capBytesPerSecond) }

// Ask records a host's demand and returns the share it may use above its
// floor for LeaseDuration from the moment it sent the request.
func (a *Allocator) Ask(now time.Time, host string, demand float64) float64 {
	h, ok := a.holders[host]
	if !ok {
		h = &holder{}
		a.holders[host] = h
	}
	h.demand, h.asked = max(demand, 0), now
	if demand > 0 {
		h.demand = max(demand, a.pool*minLeasePart)
	}
	a.expire(now)
	if now.Before(a.since.Add(LeaderWait)) {
		return 0
	}
	free := a.pool - a.leasedToOthers(host)
	share := max(min(a.fair(host), free), 0)
	if share > 0 {
		h.leases = append(h.leases, Lease{BytesPerSecond: share, Until: now.Add(LeaseDuration)})
	}
	return share
}

// Leased returns the sum of shares that hosts may use now, in bytes per second.
func (a *Allocator) Leased(now time.Time) float64 {
	a.expire(now)
	return a.leasedToOthers("")
}

func (a *Allocator) leasedToOthers(host string) float64 {
	sum := 0.0
	for name, h := range a.holders {
		if name != host {
			sum += h.largest()
		}
	}
	return sum
}

func (h *holder) largest() float64 {
	most := 0.0
	for _, l := range h.leases {
		most = max(most, l.BytesPerSecond)
	}
	return most
}

// expire removes leases that have run out and hosts that stopped asking.
func (a *Allocator) expire(now time.Time) {
	for name, h := range a.holders {
		kept := h.leases[:0]
		for _, l := range h.leases {
			if now.Before(l.Until) {
				kept = append(kept, l)
			}
		}
		h.leases = kept
		if now.Sub(h.asked) >= LeaseDuration && len(kept) == 0 {
			delete(a.holders, name)
		}
	}
}

// fair returns the host's max-min fair part of the pool by current demands.
func (a *Allocator) fair(host string) float64 {
	demands := make([]float64, 0, len(a.holders))
	for _, h := range a.holders {
		demands = append(demands, h.demand)
	}
	return min(a.holders[host].demand, FairLevel(a.pool, demands))
}

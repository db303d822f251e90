package link

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Shaper is one host's token bucket for one link and direction. It is not
// safe for concurrent use.
type Shaper struct {
	floor float64 // bytes per second without a lease
	lease Lease

	tokens float64 // bytes that may pass now
	last   time.Time
	queues [traffic.Bulk + 1]queue
	usage  usage
}

// Lease is a share with the time until which its holder may use it.
type Lease struct {
	BytesPerSecond float64 // above the floor
	Until          time.Time
}

// NewShaper returns a shaper with an empty bucket.
func NewShaper(floor float64, now time.Time) *Shaper {
	return &Shaper{floor: floor, last: now}
}

// SetFloor changes the share without a lease.
func (s *Shaper) SetFloor(now time.Time, floor float64) {
	s.refill(now)
	s.floor = floor
	s.clip(now)
}

// SetLease replaces the lease, also by a smaller one.
func (s *Shaper) SetLease(now time.Time, l Lease) {
	s.refill(now)
	s.lease = l
	s.clip(now)
}

// Share returns the share at a time, in bytes per second.
func (s *Shaper) Share(now time.Time) float64 {
	if now.Before(s.lease.Until) {
		return s.floor + s.lease.BytesPerSecond
	}
	return s.floor
}

// Chunk returns the largest number of bytes that passes as a whole at any
// time, also right after a lease has expired. Larger requests pass too, but
// only after they have been paid in parts, so that their bytes then exceed the window.
func (s *Shaper) Chunk() int { return max(int(burst(s.floor)), 1) }

// HasLease reports whether a lease is in use.
func (s *Shaper) HasLease(now time.Time) bool { return now.Before(s.lease.Until) }

// Ask queues a request for bytes; Advance grants it.
func (s *Shaper) Ask(c traffic.Class, bytes int) *Request {
	r := &Request{class: c, bytes: bytes, unpaid: float64(bytes)}
	s.queues[c].push(r)
	return r
}

// Cancel removes a request that has not been granted. Parts that were paid are lost.
func (s *Shaper) Cancel(r *Request) { s.queues[r.class].remove(r) }

// Advance grants queued requests, short before bulk and in order within a
// class, and returns the time at which to call it again; zero if nothing waits.
func (s *Shaper) Advance(now time.Time) (granted []*Request, next time.Time) {
	s.refill(now)
	for {
		r := s.head()
		if r == nil {
			return granted, time.Time{}
		}
		if !s.pay(now, r) {
			return granted, s.when(now, r)
		}
		s.queues[r.class].pop()
		s.usage.add(now, float64(r.bytes))
		granted = append(granted, r)
	}
}

// TryNow grants bytes at once if nothing waits and the bucket holds them.
func (s *Shaper) TryNow(now time.Time, bytes int) bool {
	if s.head() != nil {
		return false
	}
	s.refill(now)
	if s.tokens < float64(bytes) {
		return false
	}
	s.tokens -= float64(bytes)
	s.usage.add(now, float64(bytes))
	return true
}

// Used returns the bytes per second that passed lately.
func (s *Shaper) Used(now time.Time) float64 { return s.usage.rate(now) }

// Demand returns the bytes per second the host could use: what passed lately
// and what waits, with room for growth.
func (s *Shaper) Demand(now time.Time) float64 {
	waiting := 0.0
	for i := range s.queues {
		waiting += s.queues[i].bytes()
	}
	return s.Used(now)*demandGrowth + waiting/RenewInterval.Seconds()
}

// demandGrowth lets a host that uses all of its share ask for more. At 1.25 a
// host that lost a fifth of its tokens to late wake-ups asked for less each
// time, and shares shrank until half of the link stood idle.
const demandGrowth = 2

func (s *Shaper) head() *Request {
	for i := range s.queues {
		if r := s.queues[i].head(); r != nil {
			return r
		}
	}
	return nil
}

// pay takes the bytes from the bucket. A request larger than the bucket pays
// in parts; one that fits pays as a whole, so that nothing is paid ahead.
func (s *Shaper) pay(now time.Time, r *Request) bool {
	if r.unpaid > burst(s.Share(now)) {
		part := min(r.unpaid, s.tokens)
		r.unpaid -= part
		s.tokens -= part
		return r.unpaid <= 0
	}
	if s.tokens < r.unpaid {
		return false
	}
	s.tokens -= r.unpaid
	r.unpaid = 0
	return true
}

// when returns the time at which the head may be able to pay.
func (s *Shaper) when(now time.Time, r *Request) time.Time {
	share := s.Share(now)
	missing := min(r.unpaid, burst(share)) - s.tokens
	if share <= 0 {
		return now.Add(Window)
	}
	// One more nanosecond makes up for rounding down.
	next := now.Add(time.Duration(missing/rate(share)*float64(time.Second)) + 1)
	if s.HasLease(now) && next.After(s.lease.Until) {
		return s.lease.Until
	}
	return next
}

// refill adds tokens for the time since the last call, at the share of each
// part of that time. A clock that steps back adds nothing.
func (s *Shaper) refill(now time.Time) {
	if !now.After(s.last) {
		return
	}
	if s.last.Before(s.lease.Until) && now.After(s.lease.Until) {
		s.fill(s.lease.Until.Sub(s.last), s.floor+s.lease.BytesPerSecond)
		s.last = s.lease.Until
	}
	s.fill(now.Sub(s.last), s.Share(s.last))
	s.last = now
	s.clip(now)
}

func (s *Shaper) fill(d time.Duration, share float64) {
	s.tokens = min(s.tokens+rate(share)*d.Seconds(), burst(share))
}

func (s *Shaper) clip(now time.Time) { s.tokens = min(s.tokens, burst(s.Share(now))) }

// burst returns the size of the bucket in bytes.
func burst(share float64) float64 {
	window := share * Window.Seconds()
	return max(window*burstPart, min(minBurst, window*maxBurstPart))
}

// rate returns the bytes per second that refill the bucket: a full bucket and
// the refill of one window add up to the share.
func rate(share float64) float64 { return share - burst(share)/Window.Seconds() }

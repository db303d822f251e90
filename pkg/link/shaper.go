package link

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Shaper is the token bucket of one host for one link and direction, with a
// queue for each class of traffic. It is not safe for concurrent use.
type Shaper struct {
	floor float64 // bytes per second without a lease
	lease Lease

	tokens float64                 // bytes that may pass now
	last   time.Time               // time of the last refill
	queues [traffic.Bulk + 1]queue // by class
	usage  usage
}

// Lease is a share with its expiry time.
type Lease struct {
	BytesPerSecond float64 // above the floor
	Until          time.Time
}

// NewShaper returns a shaper with an empty bucket, no lease and the given floor
// in bytes per second.
func NewShaper(floor float64, now time.Time) *Shaper {
	return &Shaper{floor: floor, last: now}
}

// SetFloor changes the floor, in bytes per second.
func (s *Shaper) SetFloor(now time.Time, floor float64) {
	s.refill(now)
	s.floor = floor
	s.clampTokens(now)
}

// SetLease replaces the lease, even if the new one is smaller.
func (s *Shaper) SetLease(now time.Time, l Lease) {
	s.refill(now)
	s.lease = l
	s.clampTokens(now)
}

// Share returns the floor plus the lease in force at the given time, in bytes
// per second.
func (s *Shaper) Share(now time.Time) float64 {
	if now.Before(s.lease.Until) {
		return s.floor + s.lease.BytesPerSecond
	}
	return s.floor
}

// Chunk returns the largest number of bytes that the bucket can always hold,
// even right after a lease has expired. A larger request takes its tokens in
// parts and then passes all at once, so its bytes may exceed the share of the
// window.
func (s *Shaper) Chunk() int { return max(int(burst(s.floor)), 1) }

// HasLease reports whether the lease is in force at the given time.
func (s *Shaper) HasLease(now time.Time) bool { return now.Before(s.lease.Until) }

// Ask queues a request for bytes; Advance grants it.
func (s *Shaper) Ask(c traffic.Class, bytes int) *Request {
	r := &Request{class: c, bytes: bytes, remaining: float64(bytes)}
	s.queues[c].push(r)
	return r
}

// Cancel removes a request that has not been granted. Tokens already taken for
// it are lost.
func (s *Shaper) Cancel(r *Request) { s.queues[r.class].remove(r) }

// Advance grants queued requests, short before bulk and in order of arrival
// within a class. It returns the time at which to call it again, or the zero
// time if the queues are empty.
func (s *Shaper) Advance(now time.Time) (granted []*Request, next time.Time) {
	s.refill(now)
	for {
		r := s.head()
		if r == nil {
			return granted, time.Time{}
		}
		if !s.charge(now, r) {
			return granted, s.nextAttempt(now, r)
		}
		s.queues[r.class].pop()
		s.usage.add(now, float64(r.bytes))
		granted = append(granted, r)
	}
}

// TryNow grants bytes at once if no request is queued and the bucket holds
// enough tokens. It reports whether it did.
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

// Used returns the average of the bytes per second granted over the last second.
func (s *Shaper) Used(now time.Time) float64 { return s.usage.rate(now) }

// Demand returns the bytes per second to request: the recent usage times
// demandGrowth, plus the rate that empties the queues within RenewInterval.
func (s *Shaper) Demand(now time.Time) float64 {
	waiting := 0.0
	for i := range s.queues {
		waiting += s.queues[i].bytes()
	}
	return s.Used(now)*demandGrowth + waiting/RenewInterval.Seconds()
}

// demandGrowth lets a host that uses all of its share request more. At 1.25, a
// host that lost a fifth of its tokens to late timer wake-ups requested less
// each time, and shares shrank until half of the link was unused.
const demandGrowth = 2

// head returns the next request to grant, or nil if the queues are empty.
func (s *Shaper) head() *Request {
	for i := range s.queues {
		if r := s.queues[i].head(); r != nil {
			return r
		}
	}
	return nil
}

// charge takes tokens for a request and reports whether it is fully charged. A
// request larger than the bucket is charged in parts. One that fits is charged
// all at once, so that no tokens are taken before it can pass.
func (s *Shaper) charge(now time.Time, r *Request) bool {
	if r.remaining > burst(s.Share(now)) {
		part := min(r.remaining, s.tokens)
		r.remaining -= part
		s.tokens -= part
		return r.remaining <= 0
	}
	if s.tokens < r.remaining {
		return false
	}
	s.tokens -= r.remaining
	r.remaining = 0
	return true
}

// nextAttempt returns the time at which the bucket may hold enough tokens for r,
// the request at the head, or at which the lease expires.
func (s *Shaper) nextAttempt(now time.Time, r *Request) time.Time {
	share := s.Share(now)
	missing := min(r.remaining, burst(share)) - s.tokens
	if share <= 0 {
		return now.Add(Window)
	}
	// The conversion rounds down; one more nanosecond makes up for it.
	next := now.Add(time.Duration(missing/rate(share)*float64(time.Second)) + 1)
	if s.HasLease(now) && next.After(s.lease.Until) {
		return s.lease.Until
	}
	return next
}

// refill adds tokens for the time since the last call. If the lease expired
// during that time, the two parts are refilled at their own shares. A clock that
// steps back adds nothing.
func (s *Shaper) refill(now time.Time) {
	if !now.After(s.last) {
		return
	}
	if s.last.Before(s.lease.Until) && now.After(s.lease.Until) {
		s.addTokens(s.lease.Until.Sub(s.last), s.floor+s.lease.BytesPerSecond)
		s.last = s.lease.Until
	}
	s.addTokens(now.Sub(s.last), s.Share(s.last))
	s.last = now
	s.clampTokens(now)
}

// addTokens adds the refill of a period at a constant share, up to the bucket size.
func (s *Shaper) addTokens(d time.Duration, share float64) {
	s.tokens = min(s.tokens+rate(share)*d.Seconds(), burst(share))
}

// clampTokens drops tokens above the bucket size of the current share.
func (s *Shaper) clampTokens(now time.Time) { s.tokens = min(s.tokens, burst(s.Share(now))) }

// burst returns the bucket size, in bytes, for a share in bytes per second.
func burst(share float64) float64 {
	window := share * Window.Seconds()
	return max(window*burstFraction, min(minBurst, window*maxBurstFraction))
}

// rate returns the refill rate in bytes per second. It is lowered so that a full
// bucket and the refill of one window add up to the share.
func rate(share float64) float64 { return share - burst(share)/Window.Seconds() }

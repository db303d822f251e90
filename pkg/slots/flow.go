package slots

import "time"

// flow estimates the time between two slots becoming free while requests wait,
// and how long a request holds a slot.
type flow struct {
	hold time.Duration // moving average
	gap  time.Duration // moving average
	last time.Time     // last slot freed, or start of the queue
}

const (
	// gapWeight is the weight of the newest gap in the average.
	gapWeight = 8
	// holdWeight is the weight of the newest holding time in the average.
	holdWeight = 32
	// queueHolds bounds the expected wait of a queued request, in mean holding
	// times. Without a bound an overloaded queue grows until every wait equals
	// the deadline, and targets work on requests that miss it. At 85% of slots
	// busy a region of 16 slots or more waits longer less than once in 10,000.
	queueHolds = 4
)

// held notes how long a finished request held its slot.
func (f *flow) held(d time.Duration) {
	if f.hold == 0 {
		f.hold = d
		return
	}
	f.hold += (d - f.hold) / holdWeight
}

// limit returns the longest wait worth queueing for, given the time left until
// the deadline: it leaves time for the work, at most half of what is left.
func (f *flow) limit(left time.Duration) time.Duration { return left - min(f.hold, left/2) }

// admits reports whether a request may join the queue.
func (f *flow) admits(expected, limit time.Duration) bool {
	if f.hold > 0 {
		limit = min(limit, queueHolds*f.hold)
	}
	return expected < limit
}

// start marks the moment at which the queue was empty and gets its first request.
func (f *flow) start(now time.Time) { f.last = now }

// freed notes a slot that became free while requests waited.
func (f *flow) freed(now time.Time) {
	gap := max(now.Sub(f.last), 0)
	if f.gap == 0 {
		f.gap = gap
	} else {
		f.gap += (gap - f.gap) / gapWeight
	}
	f.last = now
}

// wait is the expected time until the slot after n others becomes free. A
// flow that has stopped counts with the time since its last slot, so that a
// stall raises the estimate at once.
func (f *flow) wait(now time.Time, n int) time.Duration {
	return time.Duration(n+1) * max(f.gap, now.Sub(f.last))
}

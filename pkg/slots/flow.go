package slots

import "time"

// flow estimates the time between two slots becoming free while requests wait.
type flow struct {
	gap  time.Duration // moving average
	last time.Time     // last slot freed, or start of the queue
}

// gapWeight is the weight of the newest gap in the average.
const gapWeight = 8

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

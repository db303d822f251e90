package slots

import "time"

// estimator tracks, for one service, the interval at which slots become free
// while requests are queued and how long a request holds a slot.
type estimator struct {
	hold time.Duration // moving average of the holding time
	gap  time.Duration // moving average of the interval between two freed slots
	last time.Time     // when the last slot was freed, or the queue became non-empty
}

const (
	// gapWeight is the inverse of the newest gap's weight in the moving average.
	gapWeight = 8
	// holdWeight is the inverse of the newest holding time's weight in the moving average.
	holdWeight = 32
	// maxQueueHolds bounds the expected wait of a queued request, in mean holding
	// times. Without a bound an overloaded queue grows until every request waits
	// until its deadline, and targets work on requests that then miss it. With
	// 85% of the slots busy, in a region of 16 slots or more, fewer than one
	// request in 10,000 waits longer than this.
	maxQueueHolds = 4
)

// held adds the holding time of a completed request to the average.
func (e *estimator) held(d time.Duration) {
	if e.hold == 0 {
		e.hold = d
		return
	}
	e.hold += (d - e.hold) / holdWeight
}

// maxWait returns the longest useful wait, given the time left until the
// deadline. It reserves the mean holding time for the work itself, but no more
// than half of the time left.
func (e *estimator) maxWait(left time.Duration) time.Duration { return left - min(e.hold, left/2) }

// admits reports whether a request with the expected wait may join the queue.
func (e *estimator) admits(expected, limit time.Duration) bool {
	if e.hold > 0 {
		limit = min(limit, maxQueueHolds*e.hold)
	}
	return expected < limit
}

// queueStarted records that the queue has just become non-empty.
func (e *estimator) queueStarted(now time.Time) { e.last = now }

// slotFreed records that a slot became free while requests were queued.
func (e *estimator) slotFreed(now time.Time) {
	gap := max(now.Sub(e.last), 0)
	if e.gap == 0 {
		e.gap = gap
	} else {
		e.gap += (gap - e.gap) / gapWeight
	}
	e.last = now
}

// waitBehind returns the expected wait behind n other requests, until n+1 slots
// have become free. If the time since the last freed slot exceeds the average
// gap, it is used instead, so that a stall raises the estimate at once.
func (e *estimator) waitBehind(now time.Time, n int) time.Duration {
	return time.Duration(n+1) * max(e.gap, now.Sub(e.last))
}

package evidence

import (
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the time for which an unreachable target is
	// not used. It doubles with each consecutive failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// outcomeDecay is the time without new outcomes after which old ones have no weight.
	outcomeDecay = 4 * time.Second
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = time.Second
	// doubtfulFailureRatio is the share of failed work above which a target is doubtful.
	// It does not apply to fewer than minOutcomes outcomes, counted with decay.
	doubtfulFailureRatio = 0.25
	minOutcomes          = 2.5
)

// Load is the load that a target reports: requests running, requests waiting, and the
// requests that it can run at the same time.
type Load struct {
	Running, Waiting, Slots int
}

// Target collects the evidence about one life (incarnation) of a target. It is safe
// for concurrent use.
type Target struct {
	mu        sync.Mutex
	downUntil time.Duration // end of the current backoff
	backoff   time.Duration // current backoff, 0 while the target is reachable
	good, bad float64       // outcomes, weighted by age
	updated   time.Duration
	load      Load
	loaded    time.Duration // when load was reported, 0 if never
	inFlight  int           // requests of this host at the target
}

// TryAcquire counts a request that is about to be sent. It returns false, and counts
// nothing, if limit requests of this host are in flight to the target.
func (t *Target) TryAcquire(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= limit {
		return false
	}
	t.inFlight++
	return true
}

// Release ends the count of a request that TryAcquire admitted.
func (t *Target) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// RecordUnreachable records a connection that could not be opened or that ended
// without a response. During a backoff it has no effect, so that requests that fail
// together do not lengthen it.
func (t *Target) RecordUnreachable(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.downUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, initialBackoff), maxBackoff)
	t.downUntil = now + t.backoff
}

// RecordSuccess records a response that shows that the target works. It ends a backoff.
func (t *Target) RecordSuccess(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.good++
	t.backoff, t.downUntil = 0, 0
}

// RecordFailure records work that the target failed.
func (t *Target) RecordFailure(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.bad++
}

// decay reduces the weight of earlier outcomes. The caller holds mu.
func (t *Target) decay(now time.Duration) {
	if past := now - t.updated; past > 0 {
		factor := max(0, 1-float64(past)/float64(outcomeDecay))
		t.good *= factor
		t.bad *= factor
	}
	t.updated = now
}

// RecordLoad records a load that the target reported.
func (t *Target) RecordLoad(now time.Duration, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.loaded = l, now
}

// Verdict is the health of a target. Targets with lower values are preferred.
type Verdict uint8

// Verdicts, best first.
const (
	Good     Verdict = iota
	Full             // as many requests wait at the target as it has slots
	Outlier          // it fails more work than others of its service, by the reports of all hosts
	Doubtful         // it fails a considerable share of its work
	Down             // it cannot be reached
)

func (v Verdict) String() string {
	return [...]string{"good", "full", "outlier", "doubtful", "down"}[v]
}

// Verdict returns the health of the target by the evidence of this host. It never
// returns Outlier, which takes the reports of all hosts.
func (t *Target) Verdict(now time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.downUntil {
		return Down
	}
	t.decay(now)
	if total := t.good + t.bad; total >= minOutcomes && t.bad > doubtfulFailureRatio*total {
		return Doubtful
	}
	if t.loaded > 0 && now-t.loaded < maxLoadAge && t.load.Slots > 0 && t.load.Waiting >= t.load.Slots {
		return Full
	}
	return Good
}

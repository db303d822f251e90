package evidence

import (
	"sync"
	"time"
)

const (
	// initialBackoff and longestPause bound the time that an unreachable target is left alone.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// outcomeDecay is the time after which an outcome has lost most of its weight.
	outcomeDecay = 4 * time.Second
	// maxLoadAge is how long a reported load says something.
	maxLoadAge = time.Second
	// doubtfulFailureRatio is the share of failed work from which a target is avoided.
	doubtfulFailureRatio = 0.25
	minOutcomes          = 2.5
)

// Load is what a target reported of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Target collects evidence about one life of a target. It is safe for concurrent use.
type Target struct {
	mu        sync.Mutex
	downUntil time.Duration
	backoff   time.Duration
	good, bad float64 // outcomes, decaying
	updated   time.Duration
	load      Load
	loaded    time.Duration
	inFlight  int // requests of this host at the target
}

// TryAcquire notes a request that is to be sent. It reports false, and notes
// nothing, if limit requests of this host are at the target already.
func (t *Target) TryAcquire(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= limit {
		return false
	}
	t.inFlight++
	return true
}

// Release notes the end of a request.
func (t *Target) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// RecordUnreachable notes a connection that could not be opened or that broke
// without an answer.
func (t *Target) RecordUnreachable(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.downUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, initialBackoff), maxBackoff)
	t.downUntil = now + t.backoff
}

// RecordSuccess notes an answer that shows that the target works.
func (t *Target) RecordSuccess(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.good++
	t.backoff, t.downUntil = 0, 0
}

// RecordFailure notes work that the target failed.
func (t *Target) RecordFailure(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.bad++
}

func (t *Target) decay(now time.Duration) {
	if past := now - t.updated; past > 0 {
		factor := max(0, 1-float64(past)/float64(outcomeDecay))
		t.good *= factor
		t.bad *= factor
	}
	t.updated = now
}

// RecordLoad notes a reported load.
func (t *Target) RecordLoad(now time.Duration, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.loaded = l, now
}

// Verdict is how willingly a target is used.
type Verdict uint8

// Verdicts, best first.
const (
	Good     Verdict = iota
	Full             // its slots and as many waiting places are taken
	Outlier          // it fails more than others of its service, as all hosts together see
	Doubtful         // it fails part of its work
	Down             // it cannot be reached
)

func (v Verdict) String() string {
	return [...]string{"good", "full", "outlier", "doubtful", "down"}[v]
}

// Verdict judges the target.
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

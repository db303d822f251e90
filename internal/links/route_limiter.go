package links

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// routeLimiter runs the shaper of one route on a clock and blocks requests until
// their bytes are granted. It is safe for concurrent use.
type routeLimiter struct {
	route link.Route
	now   func() time.Time
	// requestLease is called without mu when a request has to wait and no lease
	// is in force.
	requestLease func()

	mu      sync.Mutex
	shaper  *link.Shaper
	waiters map[*link.Request]chan struct{} // closed when the request is granted
	timer   *time.Timer
}

func newRouteLimiter(r link.Route, floor float64, now func() time.Time, requestLease func()) *routeLimiter {
	return &routeLimiter{route: r, now: now, requestLease: requestLease, shaper: link.NewShaper(floor, now()), waiters: map[*link.Request]chan struct{}{}}
}

// wait blocks until the bytes are granted or ctx ends.
func (rl *routeLimiter) wait(ctx context.Context, c traffic.Class, bytes int) error {
	rl.mu.Lock()
	now := rl.now()
	if rl.shaper.TryNow(now, bytes) {
		rl.mu.Unlock()
		return nil
	}
	r := rl.shaper.Ask(c, bytes)
	done := make(chan struct{})
	rl.waiters[r] = done
	rl.advance(now)
	leased := rl.shaper.HasLease(now)
	rl.mu.Unlock()
	if !leased {
		rl.requestLease()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return rl.cancel(r, ctx.Err())
	}
}

// cancel removes a waiting request and returns err. A request that has been
// granted in the meantime is charged and may pass, so cancel returns nil for it.
func (rl *routeLimiter) cancel(r *link.Request, err error) error {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if _, waiting := rl.waiters[r]; !waiting {
		return nil
	}
	delete(rl.waiters, r)
	rl.shaper.Cancel(r)
	rl.advance(rl.now())
	return err
}

// advance grants the requests that may pass now and sets the timer for the next
// grant. The caller holds mu.
func (rl *routeLimiter) advance(now time.Time) {
	granted, next := rl.shaper.Advance(now)
	for _, r := range granted {
		close(rl.waiters[r])
		delete(rl.waiters, r)
	}
	if next.IsZero() {
		return
	}
	if rl.timer == nil {
		rl.timer = time.AfterFunc(next.Sub(now), rl.tick)
	} else {
		rl.timer.Reset(next.Sub(now))
	}
}

func (rl *routeLimiter) tick() { rl.update(func(*link.Shaper, time.Time) {}) }

// update applies f to the shaper and then grants the requests that may pass.
func (rl *routeLimiter) update(f func(*link.Shaper, time.Time)) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	f(rl.shaper, now)
	rl.advance(now)
}

// read returns the result of f on the shaper at the current time.
func (rl *routeLimiter) read(f func(*link.Shaper, time.Time) float64) float64 {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return f(rl.shaper, rl.now())
}

package links

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// pipe runs the shaper of one route against the clock.
type pipe struct {
	route link.Route
	now   func() time.Time
	// starved is called when requests wait without a lease.
	starved func()

	mu     sync.Mutex
	shaper *link.Shaper
	waits  map[*link.Request]chan struct{}
	timer  *time.Timer
}

func newPipe(r link.Route, floor float64, now func() time.Time, starved func()) *pipe {
	return &pipe{route: r, now: now, starved: starved, shaper: link.NewShaper(floor, now()), waits: map[*link.Request]chan struct{}{}}
}

// wait blocks until the bytes may pass.
func (p *pipe) wait(ctx context.Context, c traffic.Class, bytes int) error {
	p.mu.Lock()
	now := p.now()
	if p.shaper.TryNow(now, bytes) {
		p.mu.Unlock()
		return nil
	}
	r := p.shaper.Ask(c, bytes)
	done := make(chan struct{})
	p.waits[r] = done
	p.advance(now)
	leased := p.shaper.HasLease(now)
	p.mu.Unlock()
	if !leased {
		p.starved()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return p.cancel(r, ctx.Err())
	}
}

// cancel withdraws a request. One that was granted meanwhile has been charged and may pass.
func (p *pipe) cancel(r *link.Request, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waiting := p.waits[r]; !waiting {
		return nil
	}
	delete(p.waits, r)
	p.shaper.Cancel(r)
	p.advance(p.now())
	return err
}

// advance grants what may pass and arms the timer for the next grant. The lock is held.
func (p *pipe) advance(now time.Time) {
	granted, next := p.shaper.Advance(now)
	for _, r := range granted {
		close(p.waits[r])
		delete(p.waits, r)
	}
	if next.IsZero() {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(next.Sub(now), p.tick)
	} else {
		p.timer.Reset(next.Sub(now))
	}
}

func (p *pipe) tick() { p.update(func(*link.Shaper, time.Time) {}) }

// update changes the shaper and grants what may pass then.
func (p *pipe) update(f func(*link.Shaper, time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	f(p.shaper, now)
	p.advance(now)
}

// read returns what f reads from the shaper.
func (p *pipe) read(f func(*link.Shaper, time.Time) float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f(p.shaper, p.now())
}

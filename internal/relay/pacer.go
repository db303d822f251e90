package relay

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// paceBurst is the burst of the rate limiter and the size of the parts in which
// response bodies are copied, in bytes.
const paceBurst = 8 << 10

// pacer limits the rate of responses to one entry host. Only bulk responses wait for
// the link; other responses are sent at once but counted, so that bulk ones wait longer.
type pacer struct {
	limiter  *rate.Limiter
	lastUsed time.Time // time of the last response; guarded by the mutex of pacers
}

func newPacer(bytesPerSecond float64) *pacer {
	return &pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurst)}
}

func (p *pacer) setRate(now time.Time, bytesPerSecond float64) {
	if limit := rate.Limit(bytesPerSecond); p.limiter.Limit() != limit {
		p.limiter.SetLimitAt(now, limit)
	}
}

// reserve counts n bytes, at most paceBurst, that are about to be sent. For a bulk
// response it waits until the link has capacity for them, or returns the error of ctx.
func (p *pacer) reserve(ctx context.Context, n int, bulk bool) error {
	reserved := p.limiter.ReserveN(time.Now(), n)
	if !bulk {
		return nil // counted, so that later bulk responses wait longer
	}
	timer := time.NewTimer(reserved.Delay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reserved.Cancel()
		return ctx.Err()
	}
}

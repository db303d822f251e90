package relay

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// paceBurst is the number of bytes that may be sent at once to an entry host,
// and the size of the parts in which answers are passed on.
const paceBurst = 8 << 10

// pacer bounds the bytes on their way to one entry host. Bulk answers wait until
// its link has carried all others, which never wait.
type pacer struct {
	limiter  *rate.Limiter
	lastUsed time.Time // by the last answer; owned by pacers
}

func newPacer(bytesPerSecond float64) *pacer {
	return &pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurst)}
}

func (p *pacer) setRate(now time.Time, bytesPerSecond float64) {
	if limit := rate.Limit(bytesPerSecond); p.limiter.Limit() != limit {
		p.limiter.SetLimitAt(now, limit)
	}
}

// reserve counts n bytes, paceBurst at most, that are about to be sent. Bulk
// answers wait until the link has room for them; the error is that of ctx.
func (p *pacer) reserve(ctx context.Context, n int, bulk bool) error {
	reserved := p.limiter.ReserveN(time.Now(), n)
	if !bulk {
		return nil // bulk answers wait the longer
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

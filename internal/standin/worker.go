package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// worker holds the slots of a target and draws the times that simulated work takes.
type worker struct {
	slots chan struct{}
	mean  time.Duration
	mu    sync.Mutex
	rand  *rand.Rand
}

func newWorker(slots int, mean time.Duration, seed uint64) *worker {
	return &worker{slots: make(chan struct{}, slots), mean: mean, rand: rand.New(rand.NewPCG(seed, seed))}
}

// duration draws a work time from the exponential distribution with the mean w.mean.
func (w *worker) duration() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rand.ExpFloat64() * float64(w.mean))
}

// acquire waits for a free slot and takes it. It returns false if ctx ended first.
func (w *worker) acquire(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *worker) release() { <-w.slots }

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

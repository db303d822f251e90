package claims

import (
	"context"
	"sync"
	"time"
)

const (
	// reportTimeout bounds one try to deliver a report to a store.
	reportTimeout = time.Second
	// reportBytes is the estimated memory of a report without its answer.
	reportBytes = 512
	// backlogBytes bounds the memory of reports queued for one unreachable store.
	// Beyond it the oldest are dropped; the other stores have them.
	backlogBytes = 2 << 20
	// backlogConcurrency is the number of concurrent tries per store.
	backlogConcurrency = 16
	// backlogPause is the time between tries of an unreachable store.
	backlogPause = 250 * time.Millisecond
)

// report is a result or a release that one store has not acknowledged yet.
type report struct {
	size int
	send func(context.Context) error
}

// reporter delivers results and releases to stores, and retries until the store
// acknowledges them.
type reporter struct {
	mu       sync.Mutex
	backlogs map[string]*backlog // by address
	pending  int                 // reports neither acknowledged nor dropped
	dropped  int
	idle     *sync.Cond
}

func newReporter() *reporter {
	r := &reporter{backlogs: map[string]*backlog{}}
	r.idle = sync.NewCond(&r.mu)
	return r
}

// send delivers a report to all stores concurrently and retries failed deliveries
// in the background. The channel is closed after the first try at every store.
func (r *reporter) send(to []Store, size int, f func(context.Context, Store) error) <-chan struct{} {
	r.mu.Lock()
	r.pending += len(to)
	r.mu.Unlock()
	tried := make(chan struct{})
	var wg sync.WaitGroup
	for _, s := range to {
		rep := report{size: size, send: func(ctx context.Context) error { return f(ctx, s) }}
		wg.Go(func() {
			if rep.try() {
				r.settle(1, 0)
				return
			}
			r.backlog(s.Peer).add(rep)
		})
	}
	go func() { wg.Wait(); close(tried) }()
	return tried
}

// try sends the report once and reports whether the store acknowledged it.
func (rep report) try() bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return rep.send(ctx) == nil
}

// settle removes n reports from the pending ones, of which dropped were not delivered.
func (r *reporter) settle(n, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending -= n
	r.dropped += dropped
	if r.pending == 0 {
		r.idle.Broadcast()
	}
}

// backlog returns the backlog of the store with the given address.
func (r *reporter) backlog(addr string) *backlog {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.backlogs[addr]
	if !ok {
		b = &backlog{reporter: r}
		r.backlogs[addr] = b
	}
	return b
}

// drain waits until no report is pending, or ctx ends.
func (r *reporter) drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.idle.Broadcast()
	})
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.pending > 0 && ctx.Err() == nil {
		r.idle.Wait()
	}
	return ctx.Err()
}

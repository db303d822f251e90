package zone

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
	"golang.org/x/sync/errgroup"
)

// Zone is the zone runtime of one entry host. It is safe for concurrent use.
type Zone struct {
	cfg     Config
	started time.Time
	layouts atomic.Pointer[layout]

	leaseMu   sync.Mutex
	voter     *zonelease.Voter
	candidate *zonelease.Candidate

	held atomic.Pointer[heldLease] // nil while another host coordinates

	holder    *holder
	directory *directory

	inFlight atomic.Int64
	leaving  atomic.Bool
	calls    *tasks // goroutines that may outlive the call that started them
}

// New returns the zone runtime and registers its methods on the peer server.
func New(c Config) *Zone {
	if c.Now == nil {
		c.Now = time.Now
	}
	now := c.Now()
	z := &Zone{
		cfg: c, started: now,
		voter:     zonelease.NewVoter(now),
		candidate: zonelease.NewCandidate(c.Host, c.Incarnation, rand.Float64),
		holder:    newHolder(),
		directory: newDirectory(),
		calls:     newTasks(),
	}
	peer.Register(c.Server, "zone.vote", z.handleVote)
	peer.Register(c.Server, "zone.beat", z.handleBeat)
	peer.Register(c.Server, "zone.summary", z.handleSummary)
	peer.Register(c.Server, "slots.acquire", z.handleAcquire)
	peer.Register(c.Server, "slots.release", z.handleRelease)
	peer.Register(c.Server, "slots.renew", z.handleRenew)
	peer.Register(c.Server, "slots.held", z.handleHeld)
	peer.Register(c.Server, "target.announce", z.handleAnnounce)
	return z
}

// Run takes part in the election, coordinates the zone while it holds the lease,
// and sends heartbeats until ctx ends. It then releases the lease and waits for
// its background goroutines.
func (z *Zone) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, task := range []struct {
		interval time.Duration
		step     func(context.Context)
	}{
		{leaseTick, z.leaseStep},
		{poolTick, z.poolStep},
		{beatInterval, z.beatStep},
		{summaryInterval, z.summaryStep},
		{heldInterval, z.recoveryStep},
		{renewTick, z.renewStep},
		{permitTick, z.permitStep},
	} {
		g.Go(func() error { every(ctx, task.interval, task.step); return nil })
	}
	err := g.Wait()
	z.releaseLease()
	z.calls.Wait()
	return err
}

// SetInFlight sets the number of requests in flight that heartbeats report.
func (z *Zone) SetInFlight(inFlight int) { z.inFlight.Store(int64(inFlight)) }

// Leave reports the host as leaving from the next heartbeat on and releases the
// lease, so that another host can take over the coordination at once.
func (z *Zone) Leave() {
	z.leaving.Store(true)
	z.releaseLease()
}

// layout returns the index of the bundle in force.
func (z *Zone) layout() *layout {
	b := z.cfg.Bundle()
	previous := z.layouts.Load()
	if previous != nil && (previous.bundle == b || b == nil) {
		return previous
	}
	l := newLayout(z.cfg.Now(), b, previous)
	if !z.layouts.CompareAndSwap(previous, l) {
		return z.layouts.Load() // another goroutine has stored its layout first
	}
	return l
}

// every runs step immediately and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ask calls a method of a host. If it is this host, the handler local is called
// directly.
func ask[Req, Resp any](ctx context.Context, z *Zone, host, method string, req Req,
	local func(context.Context, string, Req) (Resp, error)) (Resp, error) {
	if host == z.cfg.Host {
		return local(ctx, host, req)
	}
	addr, ok := z.layout().peer[host]
	if !ok {
		var none Resp
		return none, &UnknownHostError{Host: host}
	}
	return peer.Call[Req, Resp](ctx, z.cfg.Client, addr, method, req)
}

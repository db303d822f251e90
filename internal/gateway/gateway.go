package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/bytelimit"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/admission"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

const (
	// stopAcceptDelay is how long after the start of a shutdown requests are still
	// accepted, but for half of the shutdown at most. By then callers no longer use the
	// host, and the requests accepted last still have time to finish.
	stopAcceptDelay = 2800 * time.Millisecond
	// stopCheck is the interval at which a shutdown checks for requests in flight.
	stopCheck   = 50 * time.Millisecond
	acceptPause = 10 * time.Millisecond // after a failed accept
	// housekeepingInterval is the interval at which gauges, loads and evidence are
	// updated.
	housekeepingInterval = 500 * time.Millisecond
)

// Gateway is a running entry host.
type Gateway struct {
	config        Config
	log           *log.Logger
	start         time.Time
	started       int64
	view          *view
	watch         *watch
	pool          *hop.Pool
	evidenceStore *evidence.Store
	budgets       *budgets
	splits        *splitters
	cold          *coldLimiter
	reports       *reports
	balance       *affinity.Balancer
	gate          *admission.Gate
	timeouts      *timeouts
	downloadLimit *downloads
	held          *bytelimit.Limit // bytes of held answers beyond heldAnswer of each
	relays        *relays
	pauses        *evidence.Pauses
	departures    *departures
	reach         *reach
	meters        *meters
	answerGrace   time.Duration // how long answers are awaited after a route's timeout

	stopCalled atomic.Bool
	stopEnd    atomic.Int64 // end of the shutdown in nanoseconds since start, set before stopCalled
	mu         sync.Mutex
	callers    map[*callerConn]bool
	listener   net.Listener
}

// New returns an entry host; Run starts it.
func New(c Config) *Gateway {
	g := &Gateway{config: c, log: c.Log, start: time.Now(), started: time.Now().UnixNano(),
		evidenceStore: evidence.NewStore(), callers: map[*callerConn]bool{}, splits: newSplitters(),
		reports: newReports(), balance: affinity.NewBalancer(), gate: admission.NewGate(), timeouts: newTimeouts(),
		pauses: evidence.NewPauses(), departures: newDepartures(), reach: newReach(), meters: newMeters(), answerGrace: defaultAnswerGrace}
	g.downloadLimit = newDownloads(c.LinkRate)
	g.held = bytelimit.New(c.heldAnswerBytes())
	g.view = newView(&g.config)
	g.watch = newWatch(&g.config, g.view, g.now, g.self, g.reports, g.departures, g.meters)
	g.pool = hop.NewPool(c.Codec, g.now, c.MaxIdleConnections)
	g.pool.Bind(c.Address)
	g.relays = newRelays(g.watch, g.pool, c.LinkRate)
	g.budgets = newBudgets(&g.config)
	g.cold = newColdLimiter(&g.config, g.view)
	return g
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// self returns the description of this host that is sent to the control hosts.
func (g *Gateway) self() fleet.Entry {
	e := g.config.entry()
	e.Started, e.Ready = g.started, g.Ready()
	return e
}

// Ready reports whether callers should use this host.
func (g *Gateway) Ready() bool {
	return !g.stopCalled.Load() && g.watch.informed() && g.view.current() != nil && !g.unreachable()
}

// stopping reports whether Stop was called.
func (g *Gateway) stopping() bool { return g.stopCalled.Load() }

// endsBefore reports whether a shutdown is in progress and ends before a time, so that a
// request that lasts until then would be cut off.
func (g *Gateway) endsBefore(at time.Duration) bool {
	return g.stopping() && at > time.Duration(g.stopEnd.Load())
}

// SetSeeds adds control hosts to try.
func (g *Gateway) SetSeeds(seeds []string) { g.watch.setSeeds(seeds) }

// Run serves callers on l until ctx ends.
func (g *Gateway) Run(ctx context.Context, l net.Listener) {
	g.mu.Lock()
	g.listener = l
	g.mu.Unlock()
	go g.watch.run(ctx)
	go g.housekeeping(ctx)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || g.stopping() {
				return
			}
			g.log.Warn("connection cannot be accepted", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		c := newCallerConn(g, conn)
		g.mu.Lock()
		g.callers[c] = true
		g.mu.Unlock()
		go func() {
			c.serve()
			g.mu.Lock()
			delete(g.callers, c)
			g.mu.Unlock()
		}()
	}
}

// housekeeping updates gauges, balance, admission control and evidence until ctx
// ends.
func (g *Gateway) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.updateGauges()
		g.watch.checkContact()
		g.relays.abortSilent()
		g.probeTargets()
		g.view.targets.Forget(g.now())
		loads := g.reports.averages(func(name string) bool { _, ok := g.view.targets.Find(name); return ok })
		g.balance.Step(housekeepingInterval, loads)
		g.gate.Step(housekeepingInterval, g.admissionLoads(loads))
		g.evidenceStore.Retain(func(k evidence.Key) bool {
			t, ok := g.view.targets.Find(k.Name)
			return ok && int64(t.Life) == k.Life
		})
	}
}

// admissionLoads combines the load of each target with the share of its service's
// requests that time out.
func (g *Gateway) admissionLoads(loads map[string]float64) map[string]admission.Load {
	now, shares := g.now(), map[string]float64{}
	list := make(map[string]admission.Load, len(loads))
	for name, load := range loads {
		t, _ := g.view.targets.Find(name)
		if _, ok := shares[t.Service]; !ok {
			shares[t.Service] = g.timeouts.share(now, t.Service)
		}
		list[name] = admission.Load{PerSlot: load, TimedOut: shares[t.Service]}
	}
	return list
}

// Stop shuts the host down within limit: it reports the host as not ready, still
// accepts requests for stopAcceptDelay unless they may outlast the shutdown, then closes
// the listener and idle connections and waits for the requests in flight.
func (g *Gateway) Stop(limit time.Duration) {
	begin := time.Now()
	g.stopEnd.Store(int64(g.now() + limit))
	g.stopCalled.Store(true)
	acceptDelay := min(stopAcceptDelay, limit/2)
	g.log.Info("stopping", "limit", limit)
	for time.Since(begin) < limit {
		if time.Since(begin) > acceptDelay && g.closeIdle() == 0 {
			break
		}
		time.Sleep(stopCheck)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Info("stopped", "after", time.Since(begin), "open", len(g.callers))
}

// closeIdle closes the listener and all connections without requests in flight. It
// returns the number of the others, which close after their last answer.
func (g *Gateway) closeIdle() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		_ = g.listener.Close()
	}
	busy := 0
	for c := range g.callers {
		c.mu.Lock()
		c.closing = true
		idle := c.pending == 0
		c.mu.Unlock()
		if !idle {
			busy++
			continue
		}
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	return busy
}

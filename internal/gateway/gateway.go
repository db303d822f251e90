package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/admission"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

const (
	// takeFor is how long after the begin of a stop requests are still taken:
	// callers have stopped to use the host by then, and what is taken has time
	// to end.
	takeFor = 2800 * time.Millisecond
	// stopCheck is how often a stop looks whether all work has ended.
	stopCheck   = 50 * time.Millisecond
	acceptPause = 10 * time.Millisecond
	// housekeepingInterval is the pause between looks at gauges, loads and evidence.
	housekeepingInterval = 500 * time.Millisecond
)

// Gateway is a running entry host.
type Gateway struct {
	config  Config
	log     *log.Logger
	start   time.Time
	started int64
	view    *view
	watch   *watch
	pool    *hop.Pool
	board   *evidence.Board
	budgets *budgets
	splits  *splitters
	cold    *coldLimiter
	reports *reports
	balance *affinity.Balance
	gate    *admission.Gate
	losses  *losses
	large   *downloads
	relays  *relays
	meters  *meters

	leaving  atomic.Bool
	mu       sync.Mutex
	callers  map[*caller]bool
	listener net.Listener
}

// New returns an entry host; Run starts it.
func New(c Config) *Gateway {
	g := &Gateway{config: c, log: c.Log, start: time.Now(), started: time.Now().UnixNano(),
		board: evidence.NewBoard(), callers: map[*caller]bool{}, splits: newSplitters(),
		reports: newReports(), balance: affinity.NewBalance(), gate: admission.NewGate(), losses: newLosses(), meters: newMeters()}
	g.large = newDownloads(c.LinkRate)
	g.view = newView(&g.config)
	g.watch = newWatch(&g.config, g.view, g.now, g.self, g.reports, g.meters)
	g.pool = hop.NewPool(c.Codec, g.now, c.MostIdle)
	g.relays = newRelays(g.watch, g.pool, c.LinkRate)
	g.budgets = newBudgets(&g.config)
	g.cold = newColdLimiter(&g.config, g.view)
	return g
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// self describes this host for the control hosts.
func (g *Gateway) self() fleet.Entry {
	e := g.config.entry()
	e.Started, e.Ready = g.started, g.Ready()
	return e
}

// Ready reports whether callers should use this host.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.watch.informed() && g.view.current() != nil
}

func (g *Gateway) stopping() bool { return g.leaving.Load() }

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
		c := newCaller(g, conn)
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

func (g *Gateway) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.observe()
		g.watch.checkContact()
		g.relays.check()
		loads := g.reports.averages(func(name string) bool { _, ok := g.view.targets.Find(name); return ok })
		g.balance.Step(housekeepingInterval, loads)
		g.gate.Step(housekeepingInterval, g.work(loads))
		g.board.Keep(func(k evidence.Key) bool {
			t, ok := g.view.targets.Find(k.Name)
			return ok && int64(t.Life) == k.Life
		})
	}
}

// work joins the loads of targets with what their services lose.
func (g *Gateway) work(loads map[string]float64) map[string]admission.Load {
	now, lost := g.now(), map[string]float64{}
	list := make(map[string]admission.Load, len(loads))
	for name, load := range loads {
		t, _ := g.view.targets.Find(name)
		if _, ok := lost[t.Service]; !ok {
			lost[t.Service] = g.losses.share(now, t.Service)
		}
		list[name] = admission.Load{PerSlot: load, TimedOut: lost[t.Service]}
	}
	return list
}

// Stop ends the host's work within limit: it leaves the directory, finishes
// what it has read and closes idle connections.
func (g *Gateway) Stop(limit time.Duration) {
	begin := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "limit", limit)
	for time.Since(begin) < limit {
		if time.Since(begin) > takeFor && g.takeNoMore() == 0 {
			break
		}
		time.Sleep(stopCheck)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Info("stopped", "after", time.Since(begin), "open", len(g.callers))
}

// takeNoMore closes the listener and all connections without work. It returns
// how many connections have work, which end with the last answer.
func (g *Gateway) takeNoMore() int {
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

package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/claims"
	"github.com/hornbeamstack/hornbeamstack/internal/entry"
	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
	"github.com/hornbeamstack/hornbeamstack/internal/zone"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	// drainTimeout bounds the delivery of claim results at the end of a shutdown.
	drainTimeout = 5 * time.Second
	// loadInterval is how often the number of requests in flight is updated for the
	// heartbeats of the zone.
	loadInterval = 100 * time.Millisecond
)

// errNoBundle is the readiness error of a host without a bundle.
var errNoBundle = errors.New("no bundle is in force yet")

// Entry is a running entry host.
type Entry struct {
	*base
	settings   *settings.Entry
	holder     *rollout.Holder
	reporter   *rollout.Reporter
	zone       *zone.Zone
	permits    entry.Permits
	claims     *claims.Client
	limiter    *limiter
	lookups    *lookups
	directory  *directory
	httpServer *entry.HTTPServer
	stopTasks  context.CancelFunc // ends pulls, offer forwarding, zone and look-ups, but not the HTTP server, links and load
	puller     *rollout.Puller
	hasBundle  atomic.Bool
}

// EntryOption replaces a component of an entry host, for benchmarks that compare
// policies.
type EntryOption func(*Entry)

// WithPermits replaces the slot permits of the availability zones.
func WithPermits(p entry.Permits) EntryOption { return func(e *Entry) { e.permits = p } }

// Zone returns the zone runtime of the host.
func (e *Entry) Zone() *zone.Zone { return e.zone }

// Traffic returns the number of bytes sent to and received from other processes of
// the system.
func (e *Entry) Traffic() int64 { return e.server.Traffic().Total() + e.client.Traffic().Total() }

// StartEntry opens the ports and starts all components of an entry host.
func StartEntry(s *settings.Entry, options ...EntryOption) (*Entry, error) {
	keys, err := settings.PublicKeys(s.OperatorKeys)
	if err != nil {
		return nil, err
	}
	b, err := newBase(identity{"hornbeam-entry", s.Host, s.Peer, s.PeerListen, s.HTTP, s.LogLevel, s.TraceFile})
	if err != nil {
		return nil, err
	}
	e := &Entry{base: b, settings: s, holder: rollout.NewHolder(keys), directory: &directory{zone: s.AvailabilityZone}}
	e.build()
	for _, o := range options {
		o(e)
	}
	ctx := b.start()
	if err := e.buildHTTPServer(); err != nil {
		return nil, errors.Join(err, b.end())
	}
	e.startTasks(ctx)
	b.log.Info("entry host started", "zone", s.AvailabilityZone, "peer", s.Peer, "http", s.HTTP)
	return e, nil
}

// build creates the components that exchange messages and registers their methods.
func (e *Entry) build() {
	incarnation := newIncarnation()
	e.zone = zone.New(zone.Config{
		Host: e.settings.Host, Incarnation: incarnation, AvailabilityZone: e.settings.AvailabilityZone,
		Bundle: e.bundle, Server: e.server, Client: e.client, Log: e.log,
	})
	e.permits = permits{e.zone}
	e.claims = claims.NewClient(e.settings.Host, incarnation, e.claimStores, e.client, time.Now)
	e.lookups = &lookups{zone: e.settings.AvailabilityZone, view: e.zone.View, log: e.log}
	e.reporter = rollout.NewReporter(e.settings.Host, e.settings.AvailabilityZone, e.holder, e.client, e.headroom)
	rollout.ServeFetch(e.server, e.holder, e.Version, e.leader)
	e.limiter = newLimiter()
	e.holder.Subscribe(e.useBundle)
}

// useBundle updates the components that index the bundle. The first version also
// creates the link limiter, which needs the region of this host.
func (e *Entry) useBundle(a *rollout.ActiveVersion) {
	e.directory.use(a)
	e.lookups.use(a)
	if !e.hasBundle.Swap(true) {
		e.limiter.set(links.NewLimiter(e.settings.Host, e.directory.Region(),
			func() []links.Link { return linksOf(e.bundle()) }, e.leaderAddress, e.client, time.Now))
	}
	e.log.Info("bundle in force", "version", a.Version, "root", a.Root)
}

func (e *Entry) buildHTTPServer() error {
	var err error
	e.httpServer, err = entry.NewHTTPServer(entry.Config{
		Listener: e.http, Host: e.settings.Host, Directory: e.directory, Permits: e.permits,
		Claims: claimSource{e.claims}, Links: e.limiter, Lookups: e.lookups, Targets: targets{e.zone},
		Ready: e.ready, Registry: e.registry, Tracing: e.tracing, Log: e.log,
	})
	return err
}

// startTasks starts the tasks of the host. Those with tasksCtx end at stopTasks, the
// others only with ctx, because requests in flight need them.
func (e *Entry) startTasks(ctx context.Context) {
	tasksCtx, stop := context.WithCancel(ctx)
	e.stopTasks = stop
	receiver := rollout.NewReceiver(tasksCtx, e.server, e.client, e.settings.Peer, e.holder, e.reporter, e.log)
	e.puller = &rollout.Puller{
		Host: e.settings.Host, Zone: e.settings.AvailabilityZone, ControlHosts: e.settings.ControlHosts,
		ZoneHosts: e.settings.ZoneHosts, Holder: e.holder, Client: e.client, Reporter: e.reporter, Log: e.log,
	}
	e.run("bundle pull", func() error {
		for !e.puller.Start(tasksCtx) && tasksCtx.Err() == nil {
			e.log.Debug("waiting for a bundle")
		}
		e.puller.Run(tasksCtx)
		receiver.Wait()
		return nil
	})
	e.run("zone", func() error { return e.zone.Run(tasksCtx) })
	e.run("links", func() error { return e.limiter.run(ctx) })
	e.run("look-ups", func() error { return e.lookups.run(tasksCtx) })
	e.run("load", func() error { return e.reportLoad(ctx) })
	e.run("http", func() error { return e.httpServer.Serve(context.WithoutCancel(ctx)) })
}

// Stop shuts the host down without aborting requests: look-up answers stop naming
// it, it keeps serving until cached answers have expired, then it completes the
// requests in flight. Body transfers have no time limit other than that of ctx.
func (e *Entry) Stop(ctx context.Context) error {
	shutdown := entry.Shutdown{HTTPServer: e.httpServer, Membership: membership{e}, Pause: wait.For, Log: e.log}
	err := shutdown.Run(ctx)
	e.drainClaims(ctx)
	e.stopTasks()
	err = errors.Join(err, e.end())
	e.log.Info("entry host ended", "err", err)
	return err
}

// drainClaims waits until the claim stores have received all results. The wait is
// bounded, so that a store that is down does not prevent the shutdown; the other
// stores have the results.
func (e *Entry) drainClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := e.claims.Drain(ctx); err != nil {
		e.log.Warn("claim results not delivered to every store", "err", err)
	}
}

func (e *Entry) bundle() *bundle.Bundle {
	if a := e.holder.Current(); a != nil {
		return a.Bundle
	}
	return nil
}

// Ready reports whether the host has queried its peers and has a bundle in force.
func (e *Entry) Ready() bool { return e.ready() == nil }

// Version returns the bundle version in force, or 0 if there is none.
func (e *Entry) Version() uint64 {
	if a := e.holder.Current(); a != nil {
		return a.Version
	}
	return 0
}

func (e *Entry) leader() string { addr, _ := e.leaderAddress(); return addr }

func (e *Entry) leaderAddress() (string, bool) {
	addr := e.reporter.Leader()
	return addr, addr != ""
}

func (e *Entry) claimStores() []claims.Store {
	return storesOf(e.settings.ControlHosts)
}

func (e *Entry) ready() error {
	if !e.puller.Started() {
		return errNoBundle
	}
	return nil
}

// reportLoad passes the number of requests in flight to the zone until ctx ends.
func (e *Entry) reportLoad(ctx context.Context) error {
	return every(ctx, loadInterval, func() { e.zone.SetInFlight(int(e.httpServer.InFlight())) })
}

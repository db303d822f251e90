package rollout

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	zonePullInterval    = time.Second
	controlPullInterval = 2 * time.Second
	// pullTimeout bounds one pull. It is long enough for a snapshot with 640,000
	// caller blocks.
	pullTimeout = 5 * time.Second
	// startQueryTimeout bounds the version queries at start-up. Hosts that do not
	// reply in time count as unreachable.
	startQueryTimeout = time.Second
	// startRetryDelay is the pause between attempts at start-up while no version
	// is in force.
	startRetryDelay = 100 * time.Millisecond
)

// Puller polls the other entry hosts of the zone and the control hosts for newer
// versions, on behalf of an entry host.
type Puller struct {
	Host         string
	Zone         string
	ControlHosts []settings.Member
	ZoneHosts    []settings.Member // used until a bundle is in force, which lists the hosts of the zone
	Holder       *Holder
	Client       *peer.Client
	Reporter     *Reporter
	Log          *log.Logger

	started atomic.Bool
}

// Started reports whether Start has succeeded: all peers were queried and a
// version is in force. An entry host is not ready before.
func (p *Puller) Started() bool { return p.started.Load() }

// Start queries the versions of all zone peers and control hosts, waits until each
// has replied or timed out, and fetches the newest. It reports whether a version
// is in force. The host must not serve requests before Start returns true; it may
// be called repeatedly.
func (p *Puller) Start(ctx context.Context) bool {
	for _, a := range p.queryVersions(ctx) {
		if current := p.Holder.Current(); current != nil && current.Version >= a.version {
			break
		}
		fetchCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		p.ask(fetchCtx, a.addr)
		cancel()
	}
	if p.Holder.Current() != nil {
		p.started.Store(true)
		return true
	}
	select { // avoids a busy loop when Start is called again at once
	case <-time.After(startRetryDelay):
	case <-ctx.Done():
	}
	return false
}

// peerVersion is the newest version that a peer has.
type peerVersion struct {
	addr    string
	version uint64
}

// queryVersions returns the newest version numbers of all peers that reply, newest
// first. It requests no content, so that a large snapshot is transferred from one
// peer only.
func (p *Puller) queryVersions(ctx context.Context) []peerVersion {
	ctx, cancel := context.WithTimeout(ctx, startQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []peerVersion
	var wg sync.WaitGroup
	for _, addr := range append(p.zonePeers(), p.controlPeers()...) {
		wg.Go(func() {
			reply, err := peer.Call[FetchRequest, FetchReply](ctx, p.Client, addr, MethodFetch, FetchRequest{OnlyVersion: true})
			if err != nil || reply.Version == 0 {
				return
			}
			p.Reporter.SetLeader(reply.Leader)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, peerVersion{addr, reply.Version})
		})
	}
	wg.Wait()
	slices.SortFunc(all, func(x, y peerVersion) int { return cmp.Compare(y.version, x.version) })
	return all
}

// Run polls a random zone peer each zonePullInterval and a random control host each
// controlPullInterval, until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.loop(ctx, zonePullInterval, p.zonePeers, func() {}) })
	wg.Go(func() { p.loop(ctx, controlPullInterval, p.controlPeers, p.Reporter.Report) })
	wg.Wait()
}

// loop pulls from one of peers, chosen at random, at each interval and then calls
// after, until ctx ends.
func (p *Puller) loop(ctx context.Context, interval time.Duration, peers func() []string, after func()) {
	// A random initial delay spreads the polls of hosts that started together.
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if addrs := peers(); len(addrs) > 0 {
			ask, cancel := context.WithTimeout(ctx, pullTimeout)
			p.ask(ask, addrs[rand.IntN(len(addrs))])
			cancel()
		}
		after()
		timer.Reset(interval)
	}
}

// ask fetches newer versions from addr and reports a changed version to the leader.
func (p *Puller) ask(ctx context.Context, addr string) {
	before := p.Holder.Current()
	leader, err := fetch(ctx, p.Client, p.Holder, addr)
	p.Reporter.SetLeader(leader)
	if err != nil {
		p.Log.Debug("bundle fetch failed", "addr", addr, "err", err)
	}
	if after := p.Holder.Current(); after != before {
		p.Log.Info("bundle fetched", "version", after.Version, "from", addr)
		p.Reporter.Report()
	}
}

// zonePeers returns the peer addresses of the other entry hosts of the zone. They
// come from the bundle in force, or from the settings if there is none.
func (p *Puller) zonePeers() []string {
	var addrs []string
	if a := p.Holder.Current(); a != nil {
		for _, h := range a.Bundle.Hosts {
			if h.Role == bundle.RoleEntry && h.AvailabilityZone == p.Zone && h.Name != p.Host {
				addrs = append(addrs, h.Peer)
			}
		}
		return addrs
	}
	for _, m := range p.ZoneHosts {
		addrs = append(addrs, m.Peer)
	}
	return addrs
}

func (p *Puller) controlPeers() []string {
	var addrs []string
	for _, m := range p.ControlHosts {
		addrs = append(addrs, m.Peer)
	}
	return addrs
}

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
	// pullTimeout bounds one question; it admits a snapshot of 640,000 caller blocks.
	pullTimeout = 5 * time.Second
	// startTimeout bounds the questions at start-up. Hosts that do not answer
	// within it count as out of reach.
	startTimeout = time.Second
	// startPause separates attempts at start-up while no peer has a version.
	startPause = 100 * time.Millisecond
)

// Puller of an entry host asks zone peers and control hosts for newer versions.
type Puller struct {
	Host         string
	Zone         string
	ControlHosts []settings.Member
	ZoneHosts    []settings.Member // used until a bundle names the hosts of the zone
	Holder       *Holder
	Client       *peer.Client
	Reporter     *Reporter
	Log          *log.Logger

	started atomic.Bool
}

// Started reports whether Start has asked all peers and a version is in force;
// an entry host is not ready before.
func (p *Puller) Started() bool { return p.started.Load() }

// Start asks all zone peers and control hosts for their versions, fetches the
// newest and returns when each has answered or is out of reach. It reports
// whether a version is in force; the host must not serve before that. It may be
// called again until it does.
func (p *Puller) Start(ctx context.Context) bool {
	for _, a := range p.askVersions(ctx) {
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
	select { // keeps a caller that tries again from doing so without a pause
	case <-time.After(startPause):
	case <-ctx.Done():
	}
	return false
}

// versionAt is the version that a peer has.
type versionAt struct {
	addr    string
	version uint64
}

// askVersions returns the versions of all peers that answer, newest first. Only
// numbers are asked for, so that a large snapshot comes from one peer only.
func (p *Puller) askVersions(ctx context.Context) []versionAt {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []versionAt
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
			all = append(all, versionAt{addr, reply.Version})
		})
	}
	wg.Wait()
	slices.SortFunc(all, func(x, y versionAt) int { return cmp.Compare(y.version, x.version) })
	return all
}

// Run pulls until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.loop(ctx, zonePullInterval, p.zonePeers, func() {}) })
	wg.Go(func() { p.loop(ctx, controlPullInterval, p.controlPeers, p.Reporter.Report) })
	wg.Wait()
}

func (p *Puller) loop(ctx context.Context, interval time.Duration, peers func() []string, after func()) {
	// A random first wait spreads the questions of hosts that started together.
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

// zonePeers returns the other entry hosts of the zone: from the bundle if there
// is one, else from the settings.
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

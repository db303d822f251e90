package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// leaderCheckInterval is how soon a new leader offers the newest version, which
// its predecessor may have accepted without sending it on.
const leaderCheckInterval = 100 * time.Millisecond

// HostStatus is the last report of a host with its time of arrival.
type HostStatus struct {
	Status
	Received time.Time `json:"received"`
}

// Distributor runs on each control host. While this host leads, it offers each
// accepted version to all entry hosts and records what they have in force.
type Distributor struct {
	self     string // own peer address
	client   *peer.Client
	isLeader func() bool
	log      *log.Logger
	wake     chan struct{}

	mu      sync.Mutex
	version *bundle.Version
	signed  bundle.Signed
	hosts   map[string]HostStatus
	changed chan struct{} // closed on the next report
}

// NewDistributor registers host.status. Pass OnAccepted to history.Machine.Subscribe.
func NewDistributor(s *peer.Server, c *peer.Client, self string, isLeader func() bool, l *log.Logger) *Distributor {
	d := &Distributor{self: self, client: c, isLeader: isLeader, log: l, wake: make(chan struct{}, 1),
		hosts: map[string]HostStatus{}, changed: make(chan struct{})}
	peer.Register(s, MethodStatus, func(_ context.Context, _ string, status Status) (struct{}, error) {
		d.note(status)
		return struct{}{}, nil
	})
	return d
}

// OnAccepted tells of an accepted version. It does not block.
func (d *Distributor) OnAccepted(v *bundle.Version, signed bundle.Signed) {
	d.mu.Lock()
	if d.version == nil || v.Header.Version > d.version.Header.Version {
		d.version, d.signed = v, signed
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run offers versions until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	offered := uint64(0) // newest version that this host offered
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-ticker.C:
		}
		if !d.isLeader() {
			continue
		}
		f, version := d.fanOut()
		if f == nil || version <= offered {
			continue
		}
		offered = version
		d.log.Info("bundle offered", "version", version, "hosts", len(f.order), "bytes", len(f.offer.Signed))
		wg.Go(func() { f.send(ctx, spread.Root) })
	}
}

// fanOut prepares the offer of the newest version, nil if there is none.
func (d *Distributor) fanOut() (*fanOut, uint64) {
	d.mu.Lock()
	v, signed := d.version, d.signed
	d.mu.Unlock()
	if v == nil {
		return nil, 0
	}
	if signed.Delta == nil && signed.Snapshot == nil { // restored from a snapshot of the log
		snapshot, err := spread.Snapshot(v)
		if err != nil {
			d.log.Error("bundle cannot be encoded", "version", v.Header.Version, "err", err)
			return nil, 0
		}
		signed = *snapshot
	}
	data, err := signed.Encode()
	if err != nil {
		d.log.Error("bundle cannot be encoded", "version", v.Header.Version, "err", err)
		return nil, 0
	}
	return &fanOut{client: d.client, log: d.log, order: spread.Order(v.Bundle),
		offer: OfferRequest{Signed: data, Sender: d.self, Leader: d.self}}, v.Header.Version
}

// note records a report. Reports may arrive out of order, so a host's version never falls.
func (d *Distributor) note(s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.hosts[s.Host]; ok && old.Version > s.Version && time.Since(old.Received) < reportOrderWindow {
		return
	}
	d.hosts[s.Host] = HostStatus{Status: s, Received: time.Now()}
	close(d.changed)
	d.changed = make(chan struct{})
}

// reportOrderWindow is how long a report of an older version is taken as late.
// After it, the host has lost its version, as a restarted host has.
const reportOrderWindow = 500 * time.Millisecond

// Hosts returns the last report of each host.
func (d *Distributor) Hosts() map[string]HostStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make(map[string]HostStatus, len(d.hosts))
	for name, s := range d.hosts {
		hosts[name] = s
	}
	return hosts
}

// Missing returns the hosts that have not reported the version or a newer one.
func (d *Distributor) Missing(hosts []string, version uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var missing []string
	for _, name := range hosts {
		if d.hosts[name].Version < version {
			missing = append(missing, name)
		}
	}
	return missing
}

// WaitInForce returns the hosts that still miss the version when all have it or ctx ends.
func (d *Distributor) WaitInForce(ctx context.Context, hosts []string, version uint64) []string {
	for {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		missing := d.Missing(hosts, version)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return missing
		}
	}
}

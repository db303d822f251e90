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

// leaderCheckInterval is how often a control host checks whether it has become
// leader. A new leader offers the newest version, because its predecessor may
// have failed after accepting it and before offering it.
const leaderCheckInterval = 100 * time.Millisecond

// HostStatus is the last status report of a host and the time it was received.
type HostStatus struct {
	Status
	Received time.Time `json:"received"`
}

// Distributor runs on each control host. While this host leads, it offers each
// accepted version to all entry hosts and records the version that each of them
// has in force.
type Distributor struct {
	self     string // own peer address
	client   *peer.Client
	isLeader func() bool
	log      *log.Logger
	wake     chan struct{} // buffered signal that a version was accepted

	mu      sync.Mutex
	version *bundle.Version       // newest accepted version, nil if there is none
	signed  bundle.Signed         // signed form of version
	hosts   map[string]HostStatus // last report by host name
	changed chan struct{}         // closed on the next report
}

// NewDistributor returns a distributor and registers its host.status method on s.
// The owner must pass OnAccepted to history.Machine.Subscribe and call Run.
func NewDistributor(s *peer.Server, c *peer.Client, self string, isLeader func() bool, l *log.Logger) *Distributor {
	d := &Distributor{self: self, client: c, isLeader: isLeader, log: l, wake: make(chan struct{}, 1),
		hosts: map[string]HostStatus{}, changed: make(chan struct{})}
	peer.Register(s, MethodStatus, func(_ context.Context, _ string, status Status) (struct{}, error) {
		d.recordStatus(status)
		return struct{}{}, nil
	})
	return d
}

// OnAccepted records an accepted version, to be offered by Run if it is the
// newest. It does not block.
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

// Run offers accepted versions while this host is the leader, until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	offered := uint64(0) // newest version that this host has offered
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

// fanOut returns the offer of the newest version and its number. It returns nil
// if no version has been accepted or the version cannot be encoded.
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

// recordStatus stores a status report. Reports may arrive out of order: within
// reportOrderWindow of the last report, one with an older version is ignored.
func (d *Distributor) recordStatus(s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.hosts[s.Host]; ok && old.Version > s.Version && time.Since(old.Received) < reportOrderWindow {
		return
	}
	d.hosts[s.Host] = HostStatus{Status: s, Received: time.Now()}
	close(d.changed)
	d.changed = make(chan struct{})
}

// reportOrderWindow is the time after a report during which a report of an older
// version counts as delayed in transit. After that the older version is believed:
// the host has restarted and lost the newer one.
const reportOrderWindow = 500 * time.Millisecond

// Hosts returns a copy of the last report of each host, by host name.
func (d *Distributor) Hosts() map[string]HostStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make(map[string]HostStatus, len(d.hosts))
	for name, s := range d.hosts {
		hosts[name] = s
	}
	return hosts
}

// Missing returns those of the given hosts that have not reported the version or
// a newer one.
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

// WaitInForce waits until all given hosts have reported the version or a newer
// one, or ctx ends. It returns the hosts that have not.
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

package rollout

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// host is a running entry host of a fleet.
type host struct {
	name    string
	server  *peer.Server
	client  *peer.Client
	holder  *Holder
	puller  *Puller
	inForce sync.Map // version (uint64) to the time.Time at which it was put in force
	stop    func()
}

// fleet runs one control host and the entry hosts of a bundle in one process, each
// on its own port.
type fleet struct {
	t        testing.TB
	bundle   *bundle.Bundle
	machine  *history.Machine
	dist     *Distributor
	control  settings.Member
	isLeader atomic.Bool
	traffic  []*peer.Traffic // of the control host's server and client
	hosts    []*host
	order    []bundle.Host   // the entry hosts, in the order of hosts
	last     *bundle.Version // last accepted version
}

var discardLogger = log.New(io.Discard)

// newFleet starts a control host and all entry hosts of a bundle. It replaces the
// peer addresses of the entry hosts by loopback addresses with free ports.
func newFleet(t testing.TB, b *bundle.Bundle) *fleet {
	f := &fleet{t: t, bundle: b, machine: history.New(operatorKeys)}
	f.isLeader.Store(true)
	listeners := map[string]net.Listener{}
	b.Hosts = slices.Clone(b.Hosts)
	for i := range b.Hosts {
		h := &b.Hosts[i]
		if h.Role == bundle.RoleEntry {
			l := f.listen()
			listeners[h.Name], h.Peer = l, l.Addr().String()
			f.order = append(f.order, *h)
		}
	}
	f.startControl()
	for i := range f.order {
		f.hosts = append(f.hosts, f.startHost(&f.order[i], listeners[f.order[i].Name]))
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}
	})
	return f
}

// listen opens a free port on the loopback interface.
func (f *fleet) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

// run serves s on l and runs tasks until the returned function is called.
func run(s *peer.Server, l net.Listener, tasks ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

func (f *fleet) startControl() {
	server, client, l := peer.NewServer("control-1"), peer.NewClient("control-1"), f.listen()
	f.control = settings.Member{Name: "control-1", Peer: l.Addr().String()}
	f.traffic = []*peer.Traffic{server.Traffic(), client.Traffic()}
	f.dist = NewDistributor(server, client, f.control.Peer, f.isLeader.Load, discardLogger)
	f.machine.Subscribe(f.dist.OnAccepted)
	ServeFetch(server, f.machine, func() uint64 {
		if v := f.machine.Current(); v != nil {
			return v.Header.Version
		}
		return 0
	}, func() string { return f.control.Peer })
	stop := run(server, l, f.dist.Run)
	f.t.Cleanup(func() { stop(); client.Close() })
}

// startHost starts an entry host without running its puller.
func (f *fleet) startHost(h *bundle.Host, l net.Listener) *host {
	started := &host{name: h.Name, server: peer.NewServer(h.Name), client: peer.NewClient(h.Name), holder: NewHolder(operatorKeys)}
	reporter := NewReporter(h.Name, h.AvailabilityZone, started.holder, started.client, nil)
	started.puller = &Puller{Host: h.Name, Zone: h.AvailabilityZone, ControlHosts: []settings.Member{f.control}, ZoneHosts: f.zoneMembers(h),
		Holder: started.holder, Client: started.client, Reporter: reporter, Log: discardLogger}
	started.holder.Subscribe(func(a *ActiveVersion) { started.inForce.Store(a.Version, time.Now()) })
	ServeFetch(started.server, started.holder, func() uint64 {
		if a := started.holder.Current(); a != nil {
			return a.Version
		}
		return 0
	}, func() string { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	receiver := NewReceiver(ctx, started.server, started.client, h.Peer, started.holder, reporter, discardLogger)
	stop := run(started.server, l)
	var once sync.Once
	started.stop = func() {
		once.Do(func() { cancel(); stop(); receiver.Wait(); started.client.Close() })
	}
	return started
}

func (f *fleet) zoneMembers(h *bundle.Host) []settings.Member {
	var members []settings.Member
	for _, o := range f.order {
		if o.AvailabilityZone == h.AvailabilityZone && o.Name != h.Name {
			members = append(members, settings.Member{Name: o.Name, Peer: o.Peer})
		}
	}
	return members
}

// accept commits the next version, which differs from the last one in the request
// timeout of the first service, and returns its number.
func (f *fleet) accept() uint64 {
	next := *f.bundle
	var base *bundle.Bundle
	var root bundle.Digest
	next.Version = 1
	if f.last != nil {
		base, root, next.Version = f.last.Bundle, f.last.Header.Root, f.last.Header.Version+1
	}
	next.Services = slices.Clone(f.bundle.Services)
	next.Services[0].RequestTimeoutMs = 1000 + int(next.Version)
	signed, err := bundle.NewSigned(bundle.Sign(next.Version, root, next.Root(), "ann", annKey), &next, base)
	if err != nil {
		f.t.Fatal(err)
	}
	data, err := signed.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	result, err := history.DecodeResult(f.machine.Apply(next.Version, data))
	if err != nil || result.Outcome != history.Accepted {
		f.t.Fatalf("version %d: %v %s %v", next.Version, err, result.Message, result.Findings)
	}
	f.last = f.machine.Current()
	return next.Version
}

// waitAcknowledged waits until all hosts, apart from those in except, have reported
// the version, or wait has passed. It returns the hosts that have not.
func (f *fleet) waitAcknowledged(version uint64, wait time.Duration, except ...string) []string {
	var names []string
	for _, h := range f.order {
		if !slices.Contains(except, h.Name) {
			names = append(names, h.Name)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return f.dist.WaitInForce(ctx, names, version)
}

// scaledIreland returns the Ireland bundle with perZone entry hosts in each zone.
func scaledIreland(t testing.TB, perZone int) *bundle.Bundle {
	b := example(t, "ireland.toml")
	var hosts []bundle.Host
	for _, h := range b.Hosts {
		if h.Role == bundle.RoleControl {
			hosts = append(hosts, h)
		}
	}
	for zone, z := range b.Zones {
		for i := range perZone {
			hosts = append(hosts, bundle.Host{Name: fmt.Sprintf("%s-entry-%03d", z.Name, i), AvailabilityZone: z.Name, Role: bundle.RoleEntry,
				Peer: fmt.Sprintf("127.1.%d.%d:7000", zone+1, i+20), HTTP: fmt.Sprintf("127.1.%d.%d:8000", zone+1, i+20)})
		}
	}
	b.Hosts = hosts
	b.Canonicalize()
	return b
}

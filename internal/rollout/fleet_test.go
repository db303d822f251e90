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

// host is an entry host of a fleet.
type host struct {
	name    string
	server  *peer.Server
	client  *peer.Client
	holder  *Holder
	puller  *Puller
	inForce sync.Map // version to time
	stop    func()
}

// fleet is a control host and entry hosts in one process, each with its own port.
type fleet struct {
	t       testing.TB
	bundle  *bundle.Bundle
	machine *history.Machine
	dist    *Distributor
	control settings.Member
	leads   atomic.Bool
	traffic []*peer.Traffic // of the control host: server and client
	hosts   []*host
	order   []bundle.Host
	last    *bundle.Version
}

var quiet = log.New(io.Discard)

// newFleet starts the control host and all entry hosts of a bundle whose
// addresses it replaces by free ports.
func newFleet(t testing.TB, b *bundle.Bundle) *fleet {
	f := &fleet{t: t, bundle: b, machine: history.New(annOnly)}
	f.leads.Store(true)
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

func (f *fleet) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

// run serves until the returned function is called.
func run(s *peer.Server, l net.Listener, more ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	for _, each := range more {
		wg.Go(func() { each(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

func (f *fleet) startControl() {
	server, client, l := peer.NewServer("control-1"), peer.NewClient("control-1"), f.listen()
	f.control = settings.Member{Name: "control-1", Peer: l.Addr().String()}
	f.traffic = []*peer.Traffic{server.Traffic(), client.Traffic()}
	f.dist = NewDistributor(server, client, f.control.Peer, f.leads.Load, quiet)
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

// startHost starts an entry host without pulls; see pull.
func (f *fleet) startHost(h *bundle.Host, l net.Listener) *host {
	started := &host{name: h.Name, server: peer.NewServer(h.Name), client: peer.NewClient(h.Name), holder: NewHolder(annOnly)}
	reporter := NewReporter(h.Name, h.AvailabilityZone, started.holder, started.client, nil)
	started.puller = &Puller{Host: h.Name, Zone: h.AvailabilityZone, ControlHosts: []settings.Member{f.control}, ZoneHosts: f.zoneOf(h),
		Holder: started.holder, Client: started.client, Reporter: reporter, Log: quiet}
	started.holder.Subscribe(func(a *ActiveVersion) { started.inForce.Store(a.Version, time.Now()) })
	ServeFetch(started.server, started.holder, func() uint64 {
		if a := started.holder.Current(); a != nil {
			return a.Version
		}
		return 0
	}, func() string { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	receiver := NewReceiver(ctx, started.server, started.client, h.Peer, started.holder, reporter, quiet)
	stop := run(started.server, l)
	var once sync.Once
	started.stop = func() {
		once.Do(func() { cancel(); stop(); receiver.Wait(); started.client.Close() })
	}
	return started
}

func (f *fleet) zoneOf(h *bundle.Host) []settings.Member {
	var members []settings.Member
	for _, o := range f.order {
		if o.AvailabilityZone == h.AvailabilityZone && o.Name != h.Name {
			members = append(members, settings.Member{Name: o.Name, Peer: o.Peer})
		}
	}
	return members
}

// accept commits the next version, with another timeout of the first service.
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

// waitAcknowledged returns the hosts without the version when all except some
// have reported it or the wait ends.
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

// wide returns the Ireland bundle with perZone entry hosts in each zone and a link cap that carries their floors.
func wide(t testing.TB, perZone int) *bundle.Bundle {
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

package node

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hornbeamstack/hornbeamstack/internal/claims"
	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/replica"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

var (
	errClaimStore = errors.New("the claim store has not copied the records of other stores yet")
	errNotVoter   = errors.New("this host is no voter of the agreement group yet")
)

// operatorTimeout bounds one operator request, including the time of an election.
const operatorTimeout = 30 * time.Second

// reportInterval is the time between status reports of a control host to the leader.
const reportInterval = time.Second

// Control is a running control host.
type Control struct {
	*base
	settings    *settings.Control
	machine     *history.Machine
	group       *replica.Supervisor
	store       *claims.Supervisor
	distributor *rollout.Distributor
	http        *khttp.Server
}

// StartControl opens the data folder and the ports and starts all components of a
// control host. founding declares that this is the first start of the deployment,
// so that all its claim stores are new.
func StartControl(s *settings.Control, founding bool) (*Control, error) {
	keys, err := settings.PublicKeys(s.OperatorKeys)
	if err != nil {
		return nil, err
	}
	b, err := newBase(identity{"hornbeam-control", s.Host, s.Peer, s.PeerListen, s.HTTP, s.LogLevel, s.TraceFile})
	if err != nil {
		return nil, err
	}
	c := &Control{base: b, settings: s, machine: history.New(keys)}
	ctx := b.start()
	if err := c.build(ctx, founding); err != nil {
		return nil, errors.Join(err, b.end())
	}
	b.log.Info("control host started", "zone", s.AvailabilityZone, "peer", s.Peer, "http", s.HTTP, "data", s.DataFolder)
	return c, nil
}

// build creates all components, registers their methods and starts their tasks.
func (c *Control) build(ctx context.Context, founding bool) error {
	c.distributor = rollout.NewDistributor(c.server, c.client, c.settings.Peer, c.isLeader, c.log)
	c.machine.Subscribe(c.distributor.OnAccepted)
	c.group = replica.NewSupervisor(replica.Config{
		Host: c.settings.Host, Folder: filepath.Join(c.settings.DataFolder, "agree"), Members: c.members(),
		Server: c.server, Client: c.client, Machine: c.machine, Log: c.log,
	})
	if err := c.group.Open(); err != nil {
		return err
	}
	c.run("agreement", func() error { c.group.Run(ctx); return nil })
	if err := c.buildClaims(founding); err != nil {
		return err
	}
	rollout.ServeFetch(c.server, c.machine, c.version, func() string { return c.group.Status().Leader.Peer })
	allocator := links.NewAllocatorService(func() []links.Link { return linksOf(c.bundle()) }, c.leadership, time.Now)
	allocator.Register(c.server)
	c.buildHTTP()
	c.run("distributor", func() error { c.distributor.Run(ctx); return nil })
	c.run("claims", func() error { return c.store.Run(ctx) })
	c.run("http", func() error { return c.http.Start(context.WithoutCancel(ctx)) })
	c.run("status report", func() error { return every(ctx, reportInterval, c.report) })
	return nil
}

func (c *Control) buildClaims(founding bool) error {
	open := func() (claims.ClosingLog, *claims.Recovered, error) {
		return openClaimLog(c.settings.DataFolder, c.settings.Host)
	}
	var err error
	c.store, err = claims.NewSupervisor(claims.StoreOptions{
		Name: c.settings.Host, Stores: c.stores, Peers: c.client, Founding: founding, Now: time.Now, Logger: c.log,
	}, open, c.server)
	return err
}

func (c *Control) buildHTTP() {
	c.http = khttp.NewServer(khttp.Listener(c.base.http), khttp.Address(c.settings.HTTP), khttp.Timeout(operatorTimeout))
	api := &controlapi.API{
		Host: c.settings.Host, Members: c.settings.Members, Group: group{c.group}, Machine: c.machine,
		Distributor: c.distributor, Metrics: c.registry, Log: c.log, Client: &http.Client{Timeout: operatorTimeout},
		Ready: c.ready,
	}
	api.Register(c.http)
}

// ready returns the reason why this host cannot contribute to a quorum yet, as after
// a start or the loss of its disk, or nil.
func (c *Control) ready() error {
	if !c.store.Ready() {
		return errClaimStore
	}
	s := c.group.Status()
	for _, m := range s.Members {
		if m.Name == s.Host && m.Incarnation == s.Incarnation && m.Voter {
			return nil
		}
	}
	return errNotVoter
}

// report sends the version of this host to the leader, if there is one.
func (c *Control) report() {
	leader := c.group.Status().Leader
	v := c.machine.Current()
	if leader.Peer == "" || v == nil {
		return
	}
	// The next report makes up for a lost one.
	_ = peer.Notify(c.client, leader.Peer, rollout.MethodStatus, rollout.Status{
		Host: c.settings.Host, AvailabilityZone: c.settings.AvailabilityZone, Version: v.Header.Version, Root: v.Header.Root,
	})
}

// Traffic returns the number of bytes sent to and received from other processes of
// the system.
func (c *Control) Traffic() int64 { return c.server.Traffic().Total() + c.client.Traffic().Total() }

// IsLeader reports whether this host is the leader of the agreement group.
func (c *Control) IsLeader() bool { return c.isLeader() }

// Stop stops the host after the operator requests in flight, which ctx may cut short.
func (c *Control) Stop(ctx context.Context) error {
	err := c.http.Stop(ctx)
	err = errors.Join(err, c.end())
	c.log.Info("control host ended", "err", err)
	return err
}

// isLeader is false until the group has started, because the distributor is created
// before it.
func (c *Control) isLeader() bool {
	if c.group == nil {
		return false
	}
	return c.group.Status().IsLeader
}

// leadership returns when this host became leader, when its leader lease ends and
// whether it is the leader.
func (c *Control) leadership() (since, until time.Time, isLeader bool) {
	s := c.group.Status()
	return s.LeaderSince, s.LeaseEnd, s.IsLeader
}

func (c *Control) bundle() *bundle.Bundle {
	if v := c.machine.Current(); v != nil {
		return v.Bundle
	}
	return nil
}

func (c *Control) version() uint64 {
	if v := c.machine.Current(); v != nil {
		return v.Header.Version
	}
	return 0
}

func (c *Control) members() []replica.Member {
	members := make([]replica.Member, len(c.settings.Members))
	for i, m := range c.settings.Members {
		members[i] = replica.Member{Name: m.Name, Peer: m.Peer}
	}
	return members
}

func (c *Control) stores() []claims.Store {
	return storesOf(c.settings.Members)
}

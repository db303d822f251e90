package platformnode

import (
	"context"
	"net"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/core"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

const (
	// directoryTTL is the time for which callers cache a directory response, in seconds.
	directoryTTL = 2.0
	// relayObserveInterval is the interval at which the relay's gauges are updated.
	relayObserveInterval = time.Second
)

// RunCore runs a control host and the relay of its availability zone until SIGTERM.
func RunCore(s *platform.Settings) error {
	p, err := startProcess("hornbeam-core", s)
	if err != nil {
		return err
	}
	defer p.shutdown()
	listener, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return err
	}
	server := peer.NewServer(s.Ip)
	n := core.Start(p.ctx, core.Config{
		Name: s.Ip, Peer: s.PeerAddress(), Relay: s.RelayAddress(), Zone: s.Zone, Region: s.Region, Folder: s.DataDir,
		Seeds: s.SeedPeers(), Founding: s.Bootstrap, Heartbeat: s.Heartbeat(),
		ToleratedLosses: s.Tolerate.Machines,
		Server:          server, Client: p.client, Log: p.log,
	})
	go func() { _ = server.Serve(p.ctx, listener) }() // returns when p.ctx ends
	r := relay.New(relay.Config{Codec: platform.Codec{}, Address: net.ParseIP(s.Ip), MaxIdleConnections: s.MaxIdleConnections(), Find: n.TargetAt, ReportLeaving: n.ReportLeaving, Metrics: n.Metrics(), Log: p.log})
	if err := p.serveCore(n, r); err != nil {
		return err
	}
	p.log.Info("control host started", "zone", s.Zone, "region", s.Region, "seeds", s.Seeds, "first", s.Bootstrap, "relay", s.RelayAddress())
	p.logUnusableSeeds(s)
	go p.reloadLoop(func(s *platform.Settings) { n.SetSeeds(s.SeedPeers()) })
	p.awaitStop()
	r.Stop(p.stopTimeout())
	p.cancel()
	n.Wait()
	p.log.Info("control host stopped")
	return nil
}

// serveCore starts to serve all addresses of a control host except the peer address.
func (p *process) serveCore(n *core.Node, r *relay.Server) error {
	s := p.settings
	if err := serveRelay(p.ctx, s, r); err != nil {
		return err
	}
	if err := serveHTTP(p.ctx, s.Listen.Control, platform.ControlHandler(n, p.log), p.log); err != nil {
		return err
	}
	if s.Listen.Directory != "" {
		if err := serveHTTP(p.ctx, s.Listen.Directory, platform.DirectoryHandler(n, directoryTTL), p.log); err != nil {
			return err
		}
	}
	return p.serveMetrics(n.Metrics())
}

// serveRelay starts the relay and the updates of its gauges, both until ctx ends.
// It does nothing if the settings have no port for the relay.
func serveRelay(ctx context.Context, s *platform.Settings, r *relay.Server) error {
	if s.RelayAddress() == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.RelayAddress())
	if err != nil {
		return err
	}
	go r.Serve(ctx, listener)
	go func() {
		ticker := time.NewTicker(relayObserveInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			r.Observe()
			<-ticker.C
		}
	}()
	return nil
}

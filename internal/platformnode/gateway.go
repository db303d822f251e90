package platformnode

import (
	"net"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/gateway"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

// RunGateway runs an entry host until SIGTERM.
func RunGateway(s *platform.Settings) error {
	p, err := startProcess("hornbeam-gateway", s)
	if err != nil {
		return err
	}
	defer p.shutdown()
	g := gateway.New(gateway.Config{
		Name: s.NodeName, Front: s.Listen.Front, Zone: s.Zone, Region: s.Region, Regions: s.Zones, Seeds: s.SeedPeers(),
		RetryRatio: s.Bound("RetryBudgetRatio", 0.2), RetrySlack: s.Bound("RetryBudgetSlack", 10),
		RetryWindow: s.BoundDuration("BudgetWindowS", 10*time.Second),
		ColdOverage: s.Bound("ColdOverage", 1), ColdSlack: s.Bound("ColdSlack", 0),
		Address:            net.ParseIP(s.Ip),
		MaxIdleConnections: s.MaxIdleConnections(),
		ApplyLimit:         s.BoundDuration("ConfigApplyS", 0),
		LinkRate:           s.Limits.LinkMbps * 1e6 / 8,
		MemoryBytes:        int(s.Limits.MemoryMb << 20),
		Codec:              platform.Codec{}, Decode: platform.DecodePolicy, Client: p.client, Log: p.log,
	})
	front, err := net.Listen("tcp", s.Listen.Front)
	if err != nil {
		return err
	}
	if err := serveHTTP(p.ctx, s.Listen.Ready, platform.ReadyHandler(g.Ready), p.log); err != nil {
		return err
	}
	if err := p.serveMetrics(g.Metrics()); err != nil {
		return err
	}
	p.log.Info("entry host started", "zone", s.Zone, "region", s.Region, "front", s.Listen.Front, "seeds", s.Seeds)
	go g.Run(p.ctx, front)
	p.logUnusableSeeds(s)
	go p.reloadLoop(func(s *platform.Settings) { g.SetSeeds(s.SeedPeers()) })
	p.awaitStop()
	g.Stop(p.stopTimeout())
	return nil
}

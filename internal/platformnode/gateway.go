package platformnode

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/gateway"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

// RunGateway runs an entry host until SIGTERM.
func RunGateway(s *platform.Settings) error {
	limitMemory(s)
	l, w, err := newLogger("hornbeam-gateway", s.NodeName)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := peer.NewClient(s.Ip)
	client.Bind(net.ParseIP(s.Ip))
	g := gateway.New(gateway.Config{
		Name: s.NodeName, Front: s.Listen.Front, Zone: s.Zone, Region: s.Region, Regions: s.Zones, Seeds: s.SeedPeers(),
		RetryRatio: s.Bound("RetryBudgetRatio", 0.2), RetrySlack: s.Bound("RetryBudgetSlack", 10),
		RetryWindow: s.BoundTime("BudgetWindowS", 10*time.Second),
		ColdOverage: s.Bound("ColdOverage", 1), ColdSlack: s.Bound("ColdSlack", 0),
		MostIdle: s.MostIdle(),
		LinkRate: s.Limits.LinkMbps * 1e6 / 8,
		Codec:    platform.Codec{}, Decode: platform.DecodePolicy, Client: client, Log: l,
	})
	front, err := net.Listen("tcp", s.Listen.Front)
	if err != nil {
		return err
	}
	if err := serveHTTP(ctx, s.Listen.Ready, platform.ReadyHandler(g.Ready), l); err != nil {
		return err
	}
	if err := serveMetrics(ctx, s, g.Metrics(), w, l); err != nil {
		return err
	}
	l.Info("entry host started", "zone", s.Zone, "region", s.Region, "front", s.Listen.Front, "seeds", s.Seeds)
	go g.Run(ctx, front)
	go reload(ctx, l, func(s *platform.Settings) { g.SetSeeds(s.SeedPeers()) })
	<-signals
	g.Stop(stopLimit(s))
	return nil
}

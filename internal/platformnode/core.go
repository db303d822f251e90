package platformnode

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamstack/hornbeamstack/internal/core"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

// directoryTTL is how many seconds callers keep an answer of the directory.
const directoryTTL = 2.0

// RunCore runs a control host until SIGTERM.
func RunCore(s *platform.Settings) error {
	limitMemory(s)
	l, err := newLogger("hornbeam-core", s.NodeName)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, client := peer.NewServer(s.Ip), peer.NewClient(s.Ip)
	client.Bind(net.ParseIP(s.Ip))
	listener, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return err
	}
	n := core.Start(ctx, core.Config{
		Name: s.Ip, Peer: s.PeerAddress(), Zone: s.Zone, Region: s.Region, Folder: s.DataDir, Seeds: s.SeedPeers(),
		Found: s.Bootstrap, Heartbeat: s.Heartbeat(),
		Server: server, Client: client, Log: l,
	})
	go func() { _ = server.Serve(ctx, listener) }() // it ends with ctx
	if err := serveHTTP(ctx, s.Listen.Control, platform.ControlHandler(n, l), l); err != nil {
		return err
	}
	if s.Listen.Directory != "" {
		if err := serveHTTP(ctx, s.Listen.Directory, platform.DirectoryHandler(n, directoryTTL), l); err != nil {
			return err
		}
	}
	if err := serveMetrics(ctx, s, n.Metrics(), l); err != nil {
		return err
	}
	l.Info("control host started", "zone", s.Zone, "region", s.Region, "seeds", s.Seeds, "first", s.Bootstrap)
	go reload(ctx, l, func(s *platform.Settings) { n.SetSeeds(s.SeedPeers()) })
	<-ctx.Done()
	l.Info("control host stopped")
	return nil
}

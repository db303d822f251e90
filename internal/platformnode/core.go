package platformnode

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/core"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

const (
	// directoryTTL is how many seconds callers keep an answer of the directory.
	directoryTTL = 2.0
	// relayObserve is the pause between readings of the relay's gauges.
	relayObserve = time.Second
)

// RunCore runs a control host, with the relay of its availability zone, until SIGTERM.
func RunCore(s *platform.Settings) error {
	limitMemory(s)
	l, w, err := newLogger("hornbeam-core", s.NodeName)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, client := peer.NewServer(s.Ip), peer.NewClient(s.Ip)
	client.Bind(net.ParseIP(s.Ip))
	listener, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return err
	}
	n := core.Start(ctx, core.Config{
		Name: s.Ip, Peer: s.PeerAddress(), Relay: s.RelayAddress(), Zone: s.Zone, Region: s.Region, Folder: s.DataDir,
		Seeds: s.SeedPeers(), Found: s.Bootstrap, Heartbeat: s.Heartbeat(),
		Server: server, Client: client, Log: l,
	})
	go func() { _ = server.Serve(ctx, listener) }() // it ends with ctx
	r := relay.New(relay.Config{Codec: platform.Codec{}, MostIdle: s.MostIdle(), Known: n.TargetAt, Metrics: n.Metrics(), Log: l})
	if err := serveRelay(ctx, s, r); err != nil {
		return err
	}
	if err := serveHTTP(ctx, s.Listen.Control, platform.ControlHandler(n, l), l); err != nil {
		return err
	}
	if s.Listen.Directory != "" {
		if err := serveHTTP(ctx, s.Listen.Directory, platform.DirectoryHandler(n, directoryTTL), l); err != nil {
			return err
		}
	}
	if err := serveMetrics(ctx, s, n.Metrics(), w, l); err != nil {
		return err
	}
	l.Info("control host started", "zone", s.Zone, "region", s.Region, "seeds", s.Seeds, "first", s.Bootstrap, "relay", s.RelayAddress())
	go reload(ctx, l, func(s *platform.Settings) { n.SetSeeds(s.SeedPeers()) })
	<-signals
	r.Stop(stopLimit(s))
	cancel()
	n.Wait()
	l.Info("control host stopped")
	return nil
}

// serveRelay serves entry hosts until ctx ends, if the settings have a port for it.
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
		ticker := time.NewTicker(relayObserve)
		defer ticker.Stop()
		for ctx.Err() == nil {
			r.Observe()
			<-ticker.C
		}
	}()
	return nil
}

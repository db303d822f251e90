package links

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
	. "github.com/smartystreets/goconvey/convey"
)

// serveLeases runs an allocator service whose host has led since the given time,
// and returns its address.
func serveLeases(t *testing.T, links func() []Link, since time.Time) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := peer.NewServer("control")
	NewAllocatorService(links, func() (time.Time, time.Time, bool) {
		return since, time.Now().Add(time.Hour), true
	}, time.Now).Register(srv)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func TestLimiter(t *testing.T) {
	Convey("Given a link of two regions", t, func() {
		links := func() []Link {
			return []Link{{Regions: [2]string{"west", "south"}, BytesPerSecond: 1e6, Hosts: 2}}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(cancel)
		client := peer.NewClient("entry")
		Reset(client.Close)

		Convey("without a leader the host may use its floor", func() {
			l := NewLimiter("a", "west", links, func() (string, bool) { return "", false }, client, time.Now)
			_, share := l.Headroom("south", traffic.Outbound)
			So(share, ShouldEqual, 25_000)
			So(l.Chunk("south", traffic.Outbound), ShouldEqual, 1250)
			So(l.Wait(ctx, "west", traffic.Outbound, traffic.Bulk, 1<<30), ShouldBeNil)
			So(l.Wait(ctx, "south", traffic.Outbound, traffic.Bulk, 500), ShouldBeNil)
			So(l.Wait(ctx, "north", traffic.Outbound, traffic.Bulk, 500), ShouldNotBeNil)
			used, _ := l.Headroom("south", traffic.Outbound)
			So(used, ShouldEqual, 500)
		})
		Convey("a cancelled request returns and does not block later ones", func() {
			l := NewLimiter("a", "west", links, func() (string, bool) { return "", false }, client, time.Now)
			short, stop := context.WithTimeout(ctx, time.Millisecond)
			defer stop()
			So(l.Wait(short, "south", traffic.Outbound, traffic.Short, 1<<30), ShouldEqual, context.DeadlineExceeded)
			So(l.Wait(ctx, "south", traffic.Outbound, traffic.Short, 500), ShouldBeNil)
		})
		Convey("a host with demand gets a lease from a leader that has led for LeaderWait", func() {
			addr := serveLeases(t, links, time.Now().Add(-link.LeaderWait))
			l := NewLimiter("a", "west", links, func() (string, bool) { return addr, true }, client, time.Now)
			runCtx, stop := context.WithCancel(ctx)
			done := make(chan struct{})
			go func() { defer close(done); _ = l.Run(runCtx) }()
			defer func() { stop(); <-done }()
			// At the floor alone, 1.2 MB would take 27 s.
			So(l.Wait(ctx, "south", traffic.Inbound, traffic.Bulk, 1_200_000), ShouldBeNil)
			_, share := l.Headroom("south", traffic.Inbound)
			So(share, ShouldBeGreaterThan, 50_000)
		})
	})
}

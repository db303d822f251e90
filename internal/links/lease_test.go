package links

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
	. "github.com/smartystreets/goconvey/convey"
)

// clock is a manual clock that only the test advances.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1_800_000_000, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// TestLeases guards against shares that a host still uses after the leader has
// leased them to other hosts.
func TestLeases(t *testing.T) {
	Convey("Given a leader, a host and a clock", t, func() {
		const floor = 25_000
		c := &clock{}
		c.advance(time.Hour)
		links := func() []Link {
			return []Link{{Regions: [2]string{"west", "south"}, BytesPerSecond: 1e6, Hosts: 2}}
		}
		since, until, leads := c.now().Add(-link.LeaderWait), c.now().Add(time.Minute), true
		service := NewAllocatorService(links, func() (time.Time, time.Time, bool) { return since, until, leads }, c.now)
		var delay time.Duration // between the leader's reply and its arrival
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := peer.NewServer("control")
		peer.Register(srv, "link.lease", func(ctx context.Context, from string, req link.LeaseRequest) (link.LeaseReply, error) {
			for i := range req.Demands {
				req.Demands[i].Demand = 1e6
			}
			reply, err := service.lease(ctx, from, req)
			c.advance(delay)
			return reply, err
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = srv.Serve(ctx, l) }()
		client := peer.NewClient("entry")
		Reset(func() { client.Close(); cancel(); <-done })
		limiter := NewLimiter("a", "west", links, func() (string, bool) { return l.Addr().String(), true }, client, c.now)
		share := func() float64 {
			_, s := limiter.Headroom("south", traffic.Outbound)
			return s
		}

		Convey("a lease is timed from its request, and its expiry lowers the share to the floor", func() {
			So(limiter.renew(ctx), ShouldBeTrue)
			So(share(), ShouldEqual, 905_000)
			c.advance(link.UsableLeaseDuration - 1)
			So(share(), ShouldEqual, 905_000)
			c.advance(1)
			So(share(), ShouldEqual, floor)
		})
		Convey("a reply that a freeze delayed grants no lease", func() {
			delay = link.UsableLeaseDuration
			limiter.renew(ctx)
			So(share(), ShouldEqual, floor)
		})
		Convey("a host that does not lead, or whose quorum lease has expired, grants no lease", func() {
			leads = false
			So(limiter.renew(ctx), ShouldBeFalse)
			leads, until = true, c.now()
			So(limiter.renew(ctx), ShouldBeFalse)
			So(share(), ShouldEqual, floor)
		})
		Convey("a new election restarts LeaderWait", func() {
			So(limiter.renew(ctx), ShouldBeTrue)
			since = c.now()
			limiter.renew(ctx)
			So(share(), ShouldEqual, floor)
			c.advance(link.LeaderWait)
			limiter.renew(ctx)
			So(share(), ShouldEqual, 905_000)
		})
		Convey("an unknown route gets no share", func() {
			reply, err := service.lease(ctx, "", link.LeaseRequest{Host: "x", Demands: []link.RouteDemand{{Route: link.Route{From: "west", To: "east"}, Demand: 1}}})
			So(err, ShouldBeNil)
			So(reply.Shares, ShouldResemble, []float64{0})
		})
	})
}

package claims

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	. "github.com/smartystreets/goconvey/convey"
)

// TestFaults covers failures of messages, logs and clocks around Begin.
func TestFaults(t *testing.T) {
	Convey("Given three stores and two entry hosts", t, func() {
		c := startCluster(t, 3)
		a, net := c.local("a")
		b, _ := c.local("b")
		ctx := testContext(t)
		key := newKey()
		// usable checks that another host can claim the key, so no vote of the ended attempt remains.
		usable := func() {
			So(a.Drain(ctx), ShouldBeNil)
			h, _, err := b.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Unknown()
		}

		Convey("votes whose grants were lost are withdrawn", func() {
			net.after = func(store string) error {
				if store != "control-0" {
					return errLost
				}
				return nil
			}
			_, _, err := a.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "not-run claim-no-quorum")
			usable()
		})
		Convey("a vote request that arrives after its withdrawal leaves no vote", func() {
			hold, late := make(chan struct{}), make(chan struct{}, 3)
			net.before = func(string) error { <-hold; return nil }
			net.after = func(string) error { late <- struct{}{}; return nil }
			short, stop := context.WithTimeout(ctx, time.Millisecond)
			defer stop()
			_, _, err := a.Begin(short, "bookings", key)
			So(outcome(err), ShouldEqual, "not-run claim-no-quorum")
			So(a.Drain(ctx), ShouldBeNil)
			close(hold)
			for range 3 {
				<-late
			}
			usable()
		})
		Convey("an attempt that froze during Begin does not send", func() {
			net.after = func(string) error { c.clockOffset.Store(int64(maxAttemptAge)); return nil }
			_, _, err := a.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "not-run claim-no-quorum")
			usable()
		})
		Convey("a store whose log failed grants nothing until it has restarted", func() {
			disk := c.nodes[0].log.(*memoryLog)
			disk.mu.Lock()
			disk.fail = errors.New("disk full")
			disk.mu.Unlock()
			k, _ := claim.ParseKey("bookings", key)
			for range 2 { // the second request finds the vote in memory only
				_, err := c.nodes[0].service.Load().vote(ctx, "", claim.VoteRequest{Key: k, Attempt: claim.Attempt{Host: "x"}})
				So(err, ShouldNotBeNil)
			}
			So((<-c.nodes[0].ended).Error(), ShouldContainSubstring, "disk full")
			disk.mu.Lock()
			disk.fail = nil
			disk.mu.Unlock()
			_, err := c.nodes[0].service.Load().vote(ctx, "", claim.VoteRequest{Key: k, Attempt: claim.Attempt{Host: "x"}})
			So(err, ShouldNotBeNil)
			c.restart(0, false)
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 0)
			usable()
		})
		Convey("a snapshot and the records after it restore the store", func() {
			for i := range 10 {
				h, _, err := a.Begin(ctx, "bookings", newKey())
				So(err, ShouldBeNil)
				h.Finish(answer("booked"))
				So(a.Drain(ctx), ShouldBeNil)
				if i == 5 {
					So(c.nodes[0].service.Load().saveSnapshot(), ShouldBeNil)
				}
			}
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 10)
			c.restart(0, false)
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 10)
			So(c.nodes[0].service.Load().Ready(), ShouldBeTrue)
		})
		Convey("records past their lifetime are dropped and stay dropped", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Finish(answer("booked"))
			So(a.Drain(ctx), ShouldBeNil)
			c.clockOffset.Store(int64(claim.Lifetime + 3*claim.MaxClockSkew))
			So(c.nodes[0].service.Load().dropExpired(), ShouldBeNil)
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 0)
			c.clockOffset.Store(0)
			c.restart(0, false)
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 0)
			k, _ := claim.ParseKey("bookings", key)
			reply, err := c.nodes[0].service.Load().vote(ctx, "", claim.VoteRequest{Key: k, Attempt: claim.Attempt{Host: "x"}})
			So(err, ShouldBeNil)
			So(reply.Verdict, ShouldEqual, claim.TooOld)
		})
	})
}

// TestBacklog guards against unbounded memory use while a store is unreachable.
func TestBacklog(t *testing.T) {
	Convey("A backlog drops the oldest reports beyond its size limit", t, func() {
		r := newReporter()
		r.pending = 5
		b := &backlog{reporter: r, running: true}
		for range 5 {
			b.add(report{size: backlogBytes / 4})
		}
		So(len(b.queue), ShouldEqual, 4)
		So(r.dropped, ShouldEqual, 1)
		So(r.pending, ShouldEqual, 4)
	})
}

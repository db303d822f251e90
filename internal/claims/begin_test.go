package claims

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	. "github.com/smartystreets/goconvey/convey"
)

func outcome(err error) string {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Outcome + " " + r.Code
	}
	return ""
}

// TestContract checks the contract of Begin over every transport between entry
// hosts and stores.
func TestContract(t *testing.T) {
	Convey("Over internal/peer", t, func() {
		contract(t, func(c *cluster, host string) *Client { return c.client(host) })
	})
	Convey("In one process", t, func() {
		contract(t, func(c *cluster, host string) *Client { cl, _ := c.local(host); return cl })
	})
}

func contract(t *testing.T, client func(c *cluster, host string) *Client) {
	Convey("given three stores and two entry hosts", func() {
		c := startCluster(t, 3)
		a, b := client(c, "a"), client(c, "b")
		ctx := testContext(t)
		key := newKey()

		Convey("the first attempt may send and a resend gets the recorded answer", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			_, _, err = b.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "in-progress claim-in-progress")
			h.Finish(answer("booked"))
			So(a.Drain(ctx), ShouldBeNil)
			_, got, err := b.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			So(string(got.Body), ShouldEqual, "booked")
		})
		Convey("an answer keeps its header, and a body above the limit is left out", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Finish(claim.Answer{Status: 200, Header: map[string][]string{"Etag": {"1"}}, Body: make([]byte, claim.MaxBody+1)})
			So(a.Drain(ctx), ShouldBeNil)
			_, got, err := b.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, &claim.Answer{Status: 200, Header: map[string][]string{"Etag": {"1"}}, BodyDropped: true})
		})
		// Guards against a delayed earlier send that runs after the caller was told "not run".
		Convey("a released key is refused during the hold-down and may be used again after it", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Release()
			So(a.Drain(ctx), ShouldBeNil)
			_, _, err = b.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "not-run claim-hold-down")
			c.clockOffset.Add(int64(claim.HoldDown))
			h, _, err = b.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Unknown()
			So(b.Drain(ctx), ShouldBeNil)
			_, _, err = a.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "unknown claim-unknown")
		})
		Convey("of many concurrent attempts at most one may send", func() {
			var won atomic.Int32
			var wg sync.WaitGroup
			for i := range 8 {
				cl := client(c, string(rune('c'+i)))
				wg.Go(func() {
					if h, _, _ := cl.Begin(ctx, "bookings", key); h != nil {
						won.Add(1)
						h.Unknown()
					}
				})
			}
			wg.Wait()
			So(won.Load(), ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("Begin succeeds with two of three stores and is refused with one", func() {
			c.nodes[0].stop()
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Release()
			c.nodes[1].stop()
			_, _, err = b.Begin(ctx, "bookings", newKey())
			So(outcome(err), ShouldEqual, "not-run claim-no-quorum")
			_, _, err = b.BeginResend(ctx, "bookings", newKey())
			So(outcome(err), ShouldEqual, "unknown claim-no-quorum")
		})
		Convey("malformed, future and expired keys are refused", func() {
			_, _, err := a.Begin(ctx, "bookings", "x")
			So(outcome(err), ShouldEqual, "not-run claim-bad-key")
			c.clockOffset.Store(int64(-claim.Lifetime))
			_, _, err = a.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "not-run claim-key-in-future")
			c.clockOffset.Store(int64(claim.Lifetime + claim.MaxClockSkew))
			_, _, err = a.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "unknown claim-expired")
		})
		Convey("the claim of a silent owner is reported as unknown, that of a renewing owner as in progress", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			defer h.Unknown()
			h.renew.Stop()
			c.awaitRecords(1) // a vote still in flight would count as a sign of life
			c.clockOffset.Store(int64(claim.OwnerTimeout))
			_, _, err = b.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "unknown claim-unknown")
			So(h.renewOnce().Wait, ShouldNotPanic)
			_, _, err = b.Begin(ctx, "bookings", key)
			So(outcome(err), ShouldEqual, "in-progress claim-in-progress")
		})
		Convey("a result reaches a store that was down when it was reported", func() {
			c.nodes[0].stop()
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Finish(answer("booked"))
			c.restart(0, false)
			So(a.Drain(ctx), ShouldBeNil)
			So(c.nodes[0].service.Load().Len(), ShouldEqual, 1)
		})
		Convey("a store that lost its disk copies before it votes", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Finish(answer("booked"))
			So(a.Drain(ctx), ShouldBeNil)
			c.restart(0, true)
			c.awaitReady(0)
			c.restart(1, false)
			c.nodes[2].stop()
			_, got, err := b.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			So(string(got.Body), ShouldEqual, "booked")
		})
	})
}

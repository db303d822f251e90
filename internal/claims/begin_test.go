package claims

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func outcome(err error) string {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Outcome + " " + r.Code
	}
	return ""
}

func TestBegin(t *testing.T) {
	Convey("Given three stores and two entry hosts", t, func() {
		c := startCluster(t, 3)
		a, b := c.client("a"), c.client("b")
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
		Convey("a released key may be used again", func() {
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Release()
			So(a.Drain(ctx), ShouldBeNil)
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
				cl := c.client(string(rune('c' + i)))
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
		Convey("with one of three stores the answer is not-run, with two it works", func() {
			c.nodes[0].stop()
			h, _, err := a.Begin(ctx, "bookings", key)
			So(err, ShouldBeNil)
			h.Release()
			c.nodes[1].stop()
			_, _, err = b.Begin(ctx, "bookings", newKey())
			So(outcome(err), ShouldEqual, "not-run claim-no-quorum")
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

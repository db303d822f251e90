package link

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
	. "github.com/smartystreets/goconvey/convey"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestFairLevel(t *testing.T) {
	Convey("Demands are cut to the max-min fair level", t, func() {
		for _, c := range []struct {
			amount  float64
			demands []float64
			want    float64
		}{
			{100, nil, 100},
			{100, []float64{10, 20}, 100},
			{100, []float64{10, 200, 300}, 45},
			{90, []float64{50, 50, 50}, 30},
			{0, []float64{5}, 0},
		} {
			So(FairLevel(c.amount, c.demands), ShouldEqual, c.want)
		}
	})
}

func TestAllocator(t *testing.T) {
	Convey("Given an allocator with a pool of 88", t, func() {
		a := NewAllocator(100, epoch)
		now := epoch.Add(LeaderWait)

		Convey("a new leader leases nothing until all older leases have expired", func() {
			So(a.Ask(now.Add(-1), "a", 50), ShouldEqual, 0)
			So(a.Ask(now, "a", 50), ShouldEqual, 50)
		})
		Convey("a larger lease counts until it expires, since the smaller one may have been lost", func() {
			So(a.Ask(now, "a", 88), ShouldEqual, 88)
			So(a.Ask(now.Add(time.Second), "a", 5), ShouldEqual, 5)
			So(a.Ask(now.Add(time.Second), "b", 85), ShouldEqual, 0)
			So(a.Ask(now.Add(LeaseDuration), "b", 88), ShouldEqual, 83)
		})
		Convey("two busy hosts converge to equal shares", func() {
			for i := range 10 {
				at := now.Add(time.Duration(i) * RenewInterval)
				a.Ask(at, "a", 200)
				a.Ask(at, "b", 200)
			}
			at := now.Add(10 * RenewInterval)
			So(a.Ask(at, "a", 200), ShouldEqual, 44)
			So(a.Ask(at, "b", 200), ShouldEqual, 44)
			So(a.Leased(at.Add(LeaseDuration)), ShouldEqual, 0)
		})
		// Guards against first requests after an idle period that wait at the
		// floor rate because the demand that they cause is small.
		Convey("a small demand is leased 1/32 of the pool, as far as it is free", func() {
			So(a.Ask(now, "a", 0.1), ShouldEqual, 88.0/32)
			So(a.Ask(now, "b", 0), ShouldEqual, 0)
			So(a.Ask(now, "c", 88), ShouldEqual, 88-88.0/32)
			So(a.Ask(now, "d", 0.1), ShouldEqual, 0)
		})
	})
}

func TestShaper(t *testing.T) {
	Convey("Given a shaper with a floor of 1 MB/s", t, func() {
		s := NewShaper(1e6, epoch)
		now := epoch.Add(time.Hour)

		Convey("an idle period fills the bucket and no more", func() {
			So(s.TryNow(now, s.Chunk()), ShouldBeTrue)
			So(s.TryNow(now, 1), ShouldBeFalse)
		})
		// Guards against shares that shrink with each renewal because late timer
		// wake-ups lose tokens, so that the host never uses its whole share.
		Convey("a host that uses four fifths of its share requests more than the share", func() {
			end := now.Add(2 * time.Second)
			for at := now; at.Before(end); at = at.Add(5 * time.Millisecond) {
				s.TryNow(at, 4000)
			}
			So(s.Demand(end), ShouldBeGreaterThan, 1e6)
		})
		Convey("short requests are granted before bulk ones that have waited longer", func() {
			s.TryNow(now, s.Chunk())
			bulk := s.Ask(traffic.Bulk, 5000)
			short := s.Ask(traffic.Short, 5000)
			granted, next := s.Advance(now)
			So(granted, ShouldBeEmpty)
			granted, next = s.Advance(next)
			So(granted, ShouldResemble, []*Request{short})
			granted, next = s.Advance(next)
			So(granted, ShouldResemble, []*Request{bulk})
			So(next.IsZero(), ShouldBeTrue)
		})
		Convey("a lease that expires while a request waits is not used after its expiry", func() {
			s.SetLease(now, Lease{BytesPerSecond: 1e9, Until: now.Add(time.Millisecond)})
			big := s.Ask(traffic.Bulk, 1<<30)
			_, next := s.Advance(now)
			So(next.After(now.Add(time.Millisecond)), ShouldBeFalse)
			_, next = s.Advance(now.Add(2 * time.Millisecond))
			So(next.After(now.Add(time.Millisecond)), ShouldBeTrue)
			So(s.Share(now.Add(time.Millisecond)), ShouldEqual, 1e6)
			s.Cancel(big)
			So(s.head(), ShouldBeNil)
		})
		Convey("a clock that steps back adds no tokens", func() {
			s.TryNow(now, s.Chunk())
			So(s.TryNow(now.Add(-time.Hour), 1), ShouldBeFalse)
			So(s.TryNow(now, 1), ShouldBeFalse)
		})
		Convey("requests of all classes and sizes are granted eventually", func() {
			for _, n := range []int{1, 100, 20_000, 3_000_000} {
				s.Ask(traffic.Bulk, n)
				s.Ask(traffic.Short, n)
			}
			got := 0
			for at := now; !at.IsZero(); {
				granted, next := s.Advance(at)
				got += len(granted)
				at = next
			}
			So(got, ShouldEqual, 8)
		})
	})
}

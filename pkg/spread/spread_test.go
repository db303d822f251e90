package spread

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// countOffers counts the offers that each descendant of a position gets. It does
// not matter whether a child forwards an offer itself or its parent does so for it.
func countOffers(position, n int, offers []int) {
	for _, child := range Children(position, n) {
		offers[child]++
		countOffers(child, n, offers)
	}
}

// TestTree guards against trees in which a host gets no offer or more than one.
func TestTree(t *testing.T) {
	Convey("each host of trees of up to 1,000 hosts is offered a version once", t, func() {
		for _, n := range []int{0, 1, 3, 4, 5, 20, 21, 84, 85, 300, 1000} {
			offers := make([]int, n+1)
			countOffers(Root, n, offers)
			for position := 1; position <= n; position++ {
				if offers[position] != 1 {
					t.Fatalf("%d hosts: position %d gets %d offers", n, position, offers[position])
				}
			}
		}
	})
	Convey("1,000 hosts are five hops away at most", t, func() {
		hops := 0
		for position := 1000; position > Root; position = (position - 1) / FanOut {
			hops++
		}
		So(hops, ShouldBeLessThanOrEqualTo, 5)
	})
	Convey("the order contains all entry hosts, sorted by zone", t, func() {
		text, err := os.ReadFile("../../examples/ireland.toml")
		So(err, ShouldBeNil)
		b, _ := bundle.Parse("ireland.toml", text)
		order := Order(b)
		So(order, ShouldHaveLength, 24)
		So(order[0], ShouldResemble, Node{Name: "cork-a-entry-1", Peer: "127.1.1.1:7000"})
		So(Position(order, "cork-a-entry-4"), ShouldEqual, 4)
		So(Position(order, "control-1"), ShouldEqual, -1)
	})
}

// version returns version n of a small unsigned history, and its delta.
func version(n uint64) (*bundle.Version, bundle.Signed) {
	at := func(n uint64) *bundle.Bundle { return &bundle.Bundle{Version: n, Deployment: fmt.Sprint(n)} }
	b := at(n)
	h := bundle.Header{Version: n, Root: b.Root()}
	if n > 1 {
		h.Previous = at(n - 1).Root()
	}
	return &bundle.Version{Header: h, Bundle: b}, bundle.Signed{Header: h, Delta: bundle.NewDelta(at(n-1), b)}
}

// TestRepair guards against answers that a host cannot apply, and against hosts
// that never catch up with the newest version.
func TestRepair(t *testing.T) {
	Convey("Given a Recent that holds the newest of 500 versions", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		var r Recent
		answer, err := r.Since(0, bundle.Digest{})
		So(err, ShouldBeNil)
		So(answer.Empty(), ShouldBeTrue)
		for n := uint64(1); n <= 500; n++ {
			r.Add(version(n))
			So(len(r.Deltas()), ShouldBeLessThanOrEqualTo, KeptDeltas)
		}
		Convey("any host catches up by consecutive deltas, or by one snapshot", func() {
			for range 100 {
				held, _ := version(1 + random.Uint64N(500))
				at, root := held.Header.Version, held.Header.Root
				for steps := 0; at < 500; steps++ {
					So(steps, ShouldBeLessThan, 3)
					answer, err := r.Since(at, root)
					So(err, ShouldBeNil)
					So(answer.Empty(), ShouldBeFalse)
					if answer.Snapshot != nil {
						So(answer.Deltas, ShouldBeEmpty)
						at, root = answer.Snapshot.Header.Version, answer.Snapshot.Header.Root
					}
					So(len(answer.Deltas), ShouldBeLessThanOrEqualTo, 32)
					for _, d := range answer.Deltas {
						So(d.Delta.From, ShouldEqual, at)
						So(d.Header.Previous, ShouldEqual, root)
						at, root = d.Header.Version, d.Header.Root
					}
				}
			}
		})
		Convey("a host with the newest or a newer version gets nothing", func() {
			newest, _ := version(500)
			answer, _ := r.Since(500, newest.Header.Root)
			So(answer.Empty(), ShouldBeTrue)
			answer, _ = r.Since(501, bundle.Digest{})
			So(answer.Empty(), ShouldBeTrue)
		})
		Convey("a host with other content gets a snapshot", func() {
			for _, at := range []uint64{490, 500} {
				answer, err := r.Since(at, bundle.Digest{1})
				So(err, ShouldBeNil)
				So(answer.Snapshot, ShouldNotBeNil)
			}
		})
		Convey("kept deltas are bounded in bytes", func() {
			for n := uint64(501); n < 510; n++ {
				v, signed := version(n)
				signed.Delta.Changes = append(signed.Delta.Changes, bundle.Change{Key: "x", Value: make([]byte, maxKeptBytes/4)})
				r.Add(v, signed)
			}
			So(r.bytes, ShouldBeLessThanOrEqualTo, maxKeptBytes)
			So(len(r.Deltas()), ShouldEqual, 3)
		})
	})
}

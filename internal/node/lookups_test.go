package node

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/zone"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// TestBlocksFollowTheBundle guards against an outdated caller block table after a
// changed block, and against rebuilding the table when no block has changed.
func TestBlocksFollowTheBundle(t *testing.T) {
	Convey("Given look-ups over a bundle", t, func() {
		first := &bundle.Bundle{Version: 1, Zones: []bundle.AvailabilityZone{{Name: "a"}, {Name: "b"}},
			Blocks: []bundle.CallerBlock{{Prefix: "10.0.0.0/24", AvailabilityZone: "a"}}}
		l := &lookups{zone: "a", view: func() zone.View { return zone.View{} }}
		l.use(&rollout.ActiveVersion{Bundle: first, Version: 1})
		before := l.version.Load().blocks
		apply := func(change func(*bundle.Bundle)) {
			next := *first
			next.Version = 2
			change(&next)
			applied, err := bundle.Apply(first, bundle.NewDelta(first, &next))
			So(err, ShouldBeNil)
			l.use(&rollout.ActiveVersion{Bundle: applied, Version: 2})
		}
		Convey("a drain keeps the table", func() {
			apply(func(b *bundle.Bundle) { b.Drains = []bundle.Drain{{Kind: bundle.DrainZone, Name: "b"}} })
			So(l.version.Load().blocks, ShouldEqual, before)
			So(l.version.Load().version, ShouldEqual, uint64(2))
		})
		Convey("a changed block gives a new table", func() {
			apply(func(b *bundle.Bundle) {
				b.Blocks = []bundle.CallerBlock{{Prefix: "10.0.0.0/24", AvailabilityZone: "b"}}
			})
			So(l.version.Load().blocks, ShouldNotEqual, before)
		})
	})
}

package replica

import (
	"errors"
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestThreeHosts guards against lost commands and unavailability when hosts stop,
// restart or lose their disks one after the other.
func TestThreeHosts(t *testing.T) {
	Convey("Given three control hosts", t, func() {
		c := newCluster(t, "a", "b", "c")
		ctx := testContext(t)
		c.startAll()
		So(c.propose(ctx, "one"), ShouldEqual, "1:one")

		Convey("a read on any host sees what was accepted before it", func() {
			So(c.propose(ctx, "two"), ShouldEqual, "2:two")
			for _, h := range c.hosts {
				So(h.group.Read(ctx), ShouldBeNil)
				So(h.machine.list(), ShouldResemble, []string{"one", "two"})
			}
		})
		Convey("a follower names the leader", func() {
			for _, h := range c.hosts {
				if h == c.leader() {
					continue
				}
				So(h.group.Read(ctx), ShouldBeNil)
				_, err := h.group.Propose(ctx, []byte("x"))
				var notLeader *NotLeaderError
				So(errors.As(err, &notLeader), ShouldBeTrue)
				So(notLeader.Leader.Name, ShouldEqual, c.leader().name)
			}
		})
		Convey("a leader without a majority reports an unknown result and steps down", func() {
			l := c.leader()
			for _, h := range c.hosts {
				if h != l {
					c.stop(h.name)
				}
			}
			_, err := l.group.Propose(ctx, []byte("two"))
			var unknown *UnknownResultError
			So(errors.As(err, &unknown), ShouldBeTrue)
			So(l.group.Status().IsLeader, ShouldBeFalse)
			So(l.group.Status().LeaseEnd.IsZero(), ShouldBeTrue)
		})
		Convey("a stopped leader is replaced, and has all commands when it returns", func() {
			old := c.leader().name
			c.stop(old)
			So(c.propose(ctx, "two"), ShouldEqual, "2:two")
			c.start(old)
			So(c.hosts[old].group.Read(ctx), ShouldBeNil)
			So(c.hosts[old].machine.list(), ShouldResemble, []string{"one", "two"})
		})
		Convey("a host that lost its disk becomes a voter again, and the group survives further losses", func() {
			for i, lost := range []string{"b", "c", "a"} {
				c.stop(lost)
				So(os.RemoveAll(c.hosts[lost].folder), ShouldBeNil)
				So(c.propose(ctx, fmt.Sprint("loss", i)), ShouldEqual, fmt.Sprintf("%d:loss%d", i+2, i))
				c.start(lost)
				c.waitFor(ctx, lost+" votes", func() bool {
					l := c.leader()
					return l != nil && c.seesVoter(l.name, lost) && c.seesVoter(lost, lost)
				})
			}
			So(c.propose(ctx, "end"), ShouldEqual, "5:end")
		})
	})
}

// TestCounts guards against elections and disk writes that are not counted.
func TestCounts(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	ctx := testContext(t)
	c.startAll()
	c.propose(ctx, "one")
	n := c.leader().group.Counts()
	if n.ElectionsWon == 0 || n.Elections == 0 || n.Entries == 0 || n.Syncs == 0 || n.SyncTime <= 0 {
		t.Errorf("some counter of the leader is zero: %+v", n)
	}
}

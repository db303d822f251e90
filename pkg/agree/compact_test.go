package agree

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// heldBytes is the size of the entries that a node holds up to an index.
func heldBytes(n *Node, index uint64) int {
	size := 0
	for _, e := range n.log.between(n.log.base, index) {
		size += e.bytes()
	}
	return size
}

// commitCommands has the leader commit commands of the given size and take a snapshot of
// them. It returns the index of the snapshot.
func commitCommands(n *Node, count, size int) uint64 {
	for range count {
		index, _, err := n.Propose(n.now, make([]byte, size))
		So(err, ShouldBeNil)
		n.Ready()
		ack(n, b, index)
	}
	s, ok := n.SnapshotAt(n.commit, nil)
	So(ok, ShouldBeTrue)
	n.Compact(s)
	return s.Index
}

// Guards against hosts whose memory grows with the size of the commands, since the entries
// that stay behind a snapshot were limited by their number only (review case 8).
func TestCompactionKeepsFewBytes(t *testing.T) {
	Convey("Large entries before a snapshot are kept up to trailingBytes", t, func() {
		n := leaderWith(2)
		snapshot := commitCommands(n, 2*trailingEntries, 64<<10)
		So(heldBytes(n, snapshot), ShouldBeLessThanOrEqualTo, trailingBytes)
		So(heldBytes(n, snapshot), ShouldBeGreaterThan, trailingBytes/2)
	})
	Convey("An entry of more than trailingBytes is not kept", t, func() {
		n := leaderWith(2)
		snapshot := commitCommands(n, 2, trailingBytes+1)
		So(heldBytes(n, snapshot), ShouldEqual, 0)
	})
	Convey("Small entries before a snapshot are kept up to trailingEntries", t, func() {
		n := leaderWith(2)
		snapshot := commitCommands(n, 2*trailingEntries, 100)
		So(snapshot-n.log.base, ShouldEqual, trailingEntries)
	})
	Convey("Entries after a snapshot all stay", t, func() {
		n := leaderWith(2)
		s, ok := n.SnapshotAt(commitCommands(n, 3, 10), nil)
		So(ok, ShouldBeFalse) // it is taken already
		So(s.Index, ShouldEqual, 0)
		_, _, err := n.Propose(n.now, make([]byte, trailingBytes+1))
		So(err, ShouldBeNil)
		n.Compact(Snapshot{Index: n.commit, Term: n.state.Term})
		So(n.log.last(), ShouldEqual, n.commit+1)
		_, held := n.log.term(n.log.last())
		So(held, ShouldBeTrue)
	})
}

// Guards against a leader without answers whose uncommitted commands are limited by their
// number only, and against a limit that refuses a large command for good.
func TestUncommittedBytesAreLimited(t *testing.T) {
	Convey("Given a leader whose followers do not answer", t, func() {
		n := leaderWith(2)
		ack(n, b, n.log.last())
		propose := func(size int) error {
			_, _, err := n.Propose(n.now, make([]byte, size))
			return err
		}
		Convey("commands are rejected above maxUncommittedBytes", func() {
			So(propose(maxUncommittedBytes-10), ShouldBeNil)
			So(propose(10), ShouldBeNil)
			So(propose(1), ShouldEqual, ErrTooManyUncommitted)
			ack(n, b, n.log.last())
			So(propose(1), ShouldBeNil)
		})
		Convey("a larger command is accepted alone", func() {
			So(propose(maxUncommittedBytes+1), ShouldBeNil)
			So(propose(1), ShouldEqual, ErrTooManyUncommitted)
		})
	})
}

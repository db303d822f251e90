package agree

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSimultaneousPreElections guards against a split vote, and so a second
// election timeout, when two servers detect the loss of the leader at the same
// time.
func TestSimultaneousPreElections(t *testing.T) {
	Convey("Given six servers whose leader is lost, two of which start a pre-vote at once", t, func() {
		const size, second = 6, 3
		var members []Server
		for i := range size {
			members = append(members, Server{ID: ID{Name: string(rune('a' + i)), Incarnation: "1"}, Voter: true})
		}
		entries := []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Servers: members}}
		nodes := map[ID]*Node{}
		for i, m := range members[:size-1] {
			due := int64(DefaultElectionMax-DefaultElectionMin) - 1 // the longest timeout
			if i == 0 || i == second {
				due = 0 // the shortest timeout
			}
			nodes[m.ID] = New(Options{Self: m.ID, State: HardState{Term: 1}, Entries: entries, Random: func(int64) int64 { return due }}, 0)
			nodes[m.ID].Ready()
		}
		now := DefaultElectionMin + time.Millisecond
		var queue []Message
		collect := func() {
			for _, m := range members[:size-1] {
				o := nodes[m.ID].Ready()
				queue = append(queue, o.Messages...)
			}
		}
		for _, n := range nodes {
			n.Tick(now)
		}
		collect()
		Convey("one of them wins the first term", func() {
			for range 6 { // each message takes one iteration
				turn := queue
				queue = nil
				now += 20 * time.Millisecond
				// All servers but one receive the second server's messages first.
				slices.SortStableFunc(turn, func(x, y Message) int {
					first := strings.Compare(y.From.Name, x.From.Name)
					if x.To == members[1].ID {
						first = -first
					}
					return cmp.Or(strings.Compare(x.To.Name, y.To.Name), first)
				})
				for _, m := range turn {
					if n := nodes[m.To]; n != nil {
						So(n.Step(now, m), ShouldBeNil)
					}
				}
				collect()
			}
			So(nodes[members[0].ID].role, ShouldEqual, Leader)
			So(nodes[members[0].ID].state.Term, ShouldEqual, 2)
			for _, n := range nodes {
				So(n.leader, ShouldResemble, members[0].ID)
			}
		})
	})
}

// TestPreVoteKeepsTheLeader guards against a server that considers its leader lost
// only because another server asks for a pre-vote.
func TestPreVoteKeepsTheLeader(t *testing.T) {
	Convey("Given a server that has not heard its leader for the shortest election timeout", t, func() {
		n := nodeWith(1)
		step(n, Message{Kind: MsgAppend, From: b, Term: 2, Index: 2, LogTerm: 1})
		now := n.now + DefaultElectionMin - 1
		So(stepAt(n, now, Message{Kind: MsgPreVote, From: c, Term: 3, Index: 2, LogTerm: 1})[0].Reject, ShouldBeTrue)
		now++
		n.electionDue = now + time.Second
		So(stepAt(n, now, Message{Kind: MsgPreVote, From: c, Term: 3, Index: 2, LogTerm: 1})[0].Reject, ShouldBeFalse)
		So(n.leader, ShouldResemble, b)
		So(n.role, ShouldEqual, Follower)
	})
}

package agree

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var a, b, c = ID{"a", "1"}, ID{"b", "1"}, ID{"c", "1"}

const voteDelay = DefaultElectionMax // by this time a node started at 0 no longer refuses votes

func threeVoters() []Server {
	return []Server{{ID: a, Voter: true}, {ID: b, Voter: true}, {ID: c, Voter: true}}
}

// nodeWith returns server a with a log that holds the first membership and then
// commands of the given terms.
func nodeWith(terms ...uint64) *Node {
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Servers: threeVoters()}}
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 2, Term: term, Kind: EntryCommand})
	}
	last := entries[len(entries)-1].Term
	n := New(Options{Self: a, State: HardState{Term: last}, Entries: entries, Random: func(int64) int64 { return 0 }}, 0)
	n.Ready()
	return n
}

// leaderWith returns server a as the leader of the next term, elected with b's
// vote. No other server has stored its first entry yet.
func leaderWith(terms ...uint64) *Node {
	n := nodeWith(terms...)
	n.Tick(voteDelay)
	step(n, Message{Kind: MsgPreVoteReply, From: b, Term: n.state.Term + 1})
	step(n, Message{Kind: MsgVoteReply, From: b, Term: n.state.Term})
	So(n.role, ShouldEqual, Leader)
	n.Ready()
	return n
}

// step passes a message to the node and returns the messages of its next output.
func step(n *Node, m Message) []Message { return stepAt(n, n.now, m) }

func stepAt(n *Node, now time.Duration, m Message) []Message {
	if m.To == (ID{}) {
		m.To = n.self
	}
	So(n.Step(now, m), ShouldBeNil)
	o := n.Ready()
	return o.Messages
}

// ack lets a server acknowledge the entries up to index and the latest broadcast.
func ack(n *Node, from ID, index uint64) {
	step(n, Message{Kind: MsgAppendReply, From: from, Term: n.state.Term, Index: index, Round: n.leadership.round, Sent: n.now})
}

func TestVotes(t *testing.T) {
	vote := func(from ID, term, index, logTerm uint64) Message {
		return Message{Kind: MsgVote, From: from, Term: term, Index: index, LogTerm: logTerm}
	}
	cases := []struct {
		name    string
		before  []Message
		at      time.Duration
		vote    Message
		answers bool
		granted bool
	}{
		{"log as up to date", nil, voteDelay, vote(b, 5, 3, 2), true, true},
		{"longer log of an older term", nil, voteDelay, vote(b, 5, 9, 1), true, false},
		{"shorter log", nil, voteDelay, vote(b, 5, 2, 2), true, false},
		{"second candidate of a term", []Message{vote(c, 5, 3, 2)}, voteDelay, vote(b, 5, 3, 2), true, false},
		{"same candidate again", []Message{vote(b, 5, 3, 2)}, voteDelay, vote(b, 5, 3, 2), true, true},
		{"leader was just heard", []Message{{Kind: MsgAppend, From: c, Term: 2}}, voteDelay, vote(b, 5, 3, 2), false, false},
		{"just restarted, may have granted a lease before", nil, 0, vote(b, 5, 3, 2), false, false},
		{"for another incarnation", nil, voteDelay, Message{Kind: MsgVote, From: b, To: ID{"a", "0"}, Term: 5, Index: 3, LogTerm: 2}, false, false},
		{"from a replaced incarnation", nil, voteDelay, vote(ID{"b", "0"}, 5, 3, 2), false, false},
	}
	for _, x := range cases {
		Convey("Vote: "+x.name, t, func() {
			n := nodeWith(2, 2)
			for _, m := range x.before {
				stepAt(n, x.at, m)
			}
			got := slices.DeleteFunc(stepAt(n, x.at, x.vote), func(m Message) bool { return m.Kind != MsgVoteReply })
			So(len(got) == 1, ShouldEqual, x.answers)
			if x.answers {
				So(!got[0].Reject, ShouldEqual, x.granted)
			}
		})
	}
}

func TestElection(t *testing.T) {
	Convey("A host that is isolated for a long time keeps its term", t, func() {
		n := nodeWith(2)
		for now := voteDelay; now < time.Minute; now += DefaultHeartbeat {
			n.Tick(now)
		}
		So(n.state.Term, ShouldEqual, 2)
	})
	Convey("A pre-vote is refused while the leader is heard", t, func() {
		n := nodeWith(2)
		stepAt(n, voteDelay, Message{Kind: MsgAppend, From: c, Term: 2})
		got := step(n, Message{Kind: MsgPreVote, From: b, Term: 3, Index: 9, LogTerm: 9})
		So(got[0].Reject, ShouldBeTrue)
	})
	Convey("Votes of another incarnation than the member's are not counted", t, func() {
		n := nodeWith(2)
		n.Tick(voteDelay)
		step(n, Message{Kind: MsgPreVoteReply, From: ID{"b", "9"}, Term: 3, Members: 9})
		So(n.role, ShouldEqual, PreCandidate)
	})
	Convey("A leader without a majority steps down", t, func() {
		n := leaderWith(2)
		n.Tick(n.now + DefaultElectionMax)
		So(n.role, ShouldEqual, Follower)
	})
	Convey("The lease counts from the time the leader sent", t, func() {
		n := leaderWith(2)
		sent := n.now + time.Millisecond
		So(n.Status().LeaseEnd, ShouldEqual, 0)
		stepAt(n, sent+300*time.Millisecond, Message{Kind: MsgAppendReply, From: b, Term: 3, Index: 1, Sent: sent})
		So(n.Status().LeaseEnd, ShouldEqual, sent+DefaultElectionMin*9/10)
	})
}

func TestReplication(t *testing.T) {
	Convey("An entry of an older term is not committed by counting", t, func() {
		n := leaderWith(2, 2)
		ack(n, b, 3)
		So(n.commit, ShouldEqual, 0)
		ack(n, b, 4)
		So(n.commit, ShouldEqual, 4)
	})
	Convey("A follower commits only entries known to match the leader's log", t, func() {
		n := nodeWith(2, 2)
		step(n, Message{Kind: MsgAppend, From: b, Term: 3, Index: 1, LogTerm: 1, Commit: 3})
		So(n.commit, ShouldEqual, 1)
	})
	Convey("A late append does not remove the entries after it", t, func() {
		n := nodeWith(2, 2)
		got := step(n, Message{Kind: MsgAppend, From: b, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand}}})
		So(got[0].Index, ShouldEqual, 2)
		So(n.log.last(), ShouldEqual, 3)
	})
	Convey("Replacing an entry also removes the membership that it set", t, func() {
		n := nodeWith()
		step(n, Message{Kind: MsgAppend, From: b, Term: 2, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Servers: threeVoters()[:2]}}})
		So(len(n.Status().Members.Servers), ShouldEqual, 2)
		step(n, Message{Kind: MsgAppend, From: c, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3, Kind: EntryEmpty}}})
		So(n.Status().Members.Servers, ShouldResemble, threeVoters())
	})
	Convey("A snapshot sets the membership", t, func() {
		n := nodeWith()
		members := Membership{Index: 7, Servers: threeVoters()[:2]}
		step(n, Message{Kind: MsgSnapshot, From: b, Term: 2, Snapshot: &Snapshot{Index: 9, Term: 2, Members: members}})
		So(n.Status().Members, ShouldResemble, members)
	})
	Convey("A committed entry is never replaced", t, func() {
		n := nodeWith(2)
		step(n, Message{Kind: MsgAppend, From: b, Term: 2, Index: 2, LogTerm: 2, Commit: 2})
		err := n.Step(n.now, Message{Kind: MsgAppend, From: b, To: a, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 9}}})
		So(err, ShouldHaveSameTypeAs, &InvariantError{})
	})
}

func TestReads(t *testing.T) {
	Convey("Given a leader whose first entry is not committed", t, func() {
		n := leaderWith(2)
		So(n.Read(n.now, 1), ShouldEqual, ErrNotReady)
		ack(n, b, 3)
		Convey("a read waits for answers to a message sent after it", func() {
			before := n.leadership.round
			So(n.Read(n.now, 1), ShouldBeNil)
			n.Ready()
			So(n.Step(n.now, Message{Kind: MsgAppendReply, From: b, To: a, Term: 3, Index: 3, Round: before}), ShouldBeNil)
			o := n.Ready()
			So(len(o.Reads), ShouldEqual, 0)
			So(n.Step(n.now, Message{Kind: MsgAppendReply, From: b, To: a, Term: 3, Index: 3, Round: before + 1}), ShouldBeNil)
			o = n.Ready()
			So(o.Reads, ShouldResemble, []ReadResult{{ID: 1, Index: 3}})
		})
	})
}

func TestMembership(t *testing.T) {
	fresh := Server{ID: ID{"c", "2"}}
	Convey("A server asks for admission until its admission is committed", t, func() {
		n := New(Options{Self: fresh.ID, Random: func(int64) int64 { return 0 }}, 0)
		admission := Entry{Index: 1, Term: 1, Kind: EntryMembership, Servers: []Server{{ID: b, Voter: true}, fresh}}
		step(n, Message{Kind: MsgAppend, From: b, Term: 1, Entries: []Entry{admission}})
		So(n.Status().Admitted, ShouldBeFalse)
		step(n, Message{Kind: MsgAppend, From: b, Term: 1, Index: 1, LogTerm: 1, Commit: 1})
		So(n.Status().Admitted, ShouldBeTrue)
	})
	Convey("Given a leader of a, b and c, where c is silent", t, func() {
		n := leaderWith(2)
		later := n.now + DefaultElectionMax
		silent := func() { // one election timeout in which only b answers
			n.progressOf(b).ackedSent = later
			n.Tick(later)
		}
		Convey("no change starts before an entry of the leader's own term is committed", func() {
			silent()
			So(n.Admit(later, fresh), ShouldEqual, ErrNotReady)
		})
		Convey("an active incarnation is not replaced", func() {
			ack(n, b, 3)
			ack(n, c, 3)
			So(n.Admit(n.now, fresh), ShouldEqual, ErrStillActive)
		})
		Convey("a new incarnation becomes a learner, then a voter", func() {
			ack(n, b, 3)
			n.progressOf(c).match = 3 // entries on the lost disk
			silent()
			So(n.Admit(later, Server{ID: fresh.ID, Voter: true}), ShouldBeNil)
			So(n.Status().Members.IsVoter(fresh.ID), ShouldBeFalse)
			So(n.progressOf(fresh.ID).match, ShouldEqual, 0)
			So(n.Admit(later, Server{ID: ID{"c", "3"}}), ShouldEqual, ErrChangePending)
			ack(n, fresh.ID, 4)
			So(n.commit, ShouldEqual, 3) // a learner counts in no majority
			ack(n, c, 4)
			So(n.commit, ShouldEqual, 3) // and neither does the lost incarnation
			n.progressOf(fresh.ID).match = 2
			ack(n, b, 4)
			So(n.commit, ShouldEqual, 4)
			So(n.Status().Members.IsVoter(fresh.ID), ShouldBeFalse) // it lacks entries
			ack(n, fresh.ID, 4)
			So(n.Status().Members.IsVoter(fresh.ID), ShouldBeTrue)
		})
	})
}

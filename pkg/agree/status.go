package agree

import "time"

// Status is the state of a node, for operators and for users of the leader's lease.
type Status struct {
	Self    ID
	Role    Role
	Leader  ID // zero if unknown
	Term    uint64
	Commit  uint64
	Last    uint64 // index of the last entry of the log
	Members Membership
	// Admitted reports whether a membership known to be committed holds this
	// server; until then it asks for admission. An uncommitted membership may
	// be replaced by another leader that never heard of this server.
	Admitted bool
	// HeardLeader is when this server last heard a leader as a follower, or
	// when it started.
	HeardLeader time.Duration
	LeaderSince time.Duration // when this server was elected, zero unless leader
	// LeaseEnd is the end of the leader's lease: until then no other server
	// can be elected, since a majority refuses votes. Zero if there is none.
	LeaseEnd time.Duration
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.self, Role: n.role, Leader: n.leader, Term: n.state.Term,
		Commit: n.commit, Last: n.log.last(), Members: n.members.current(),
		HeardLeader: n.heardLeader,
	}
	s.Admitted = s.Members.Has(n.self) && s.Members.Index <= n.commit
	if n.role == Leader {
		s.LeaderSince = n.leadership.since
		s.LeaseEnd = n.lease()
	}
	return s
}

// lease returns the end of the leader's lease, zero if it has none. It counts from
// the time the answered messages were sent; the receivers refuse votes for
// ElectionMin from the later time of arrival.
func (n *Node) lease() time.Duration {
	sent := n.quorumAckedSent()
	if sent <= n.leadership.since && n.members.current().Quorum() > 1 {
		return 0 // no majority has answered a message of this term yet
	}
	return sent + n.options.ElectionMin*(100-leaseDriftPercent)/100
}

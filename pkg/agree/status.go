package agree

import "time"

// Status describes a node for operators and for the owner of the lease.
type Status struct {
	Self    ID
	Role    Role
	Leader  ID // zero if unknown
	Term    uint64
	Commit  uint64
	Last    uint64
	Members Membership
	// Admitted is false until a committed membership is known to hold this
	// server; it then asks for admission. An uncommitted one may be replaced
	// by another leader that never heard of this server.
	Admitted bool
	// HeardLeader is when a follower last heard the leader of its term.
	HeardLeader time.Duration
	LeaderSince time.Duration // for the leader: when it was elected
	// QuorumUntil is the time until which no other server can be elected,
	// since a majority refuses votes. Zero unless leader.
	QuorumUntil time.Duration
}

// Status returns the present state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.self, Role: n.role, Leader: n.leader, Term: n.state.Term,
		Commit: n.commit, Last: n.log.last(), Members: n.members.current(),
		HeardLeader: n.heardLeader,
	}
	s.Admitted = s.Members.Has(n.self) && s.Members.Index <= n.commit
	if n.role == Leader {
		s.LeaderSince = n.leadership.since
		s.QuorumUntil = n.lease()
	}
	return s
}

// lease counts from the time the answered messages were sent; receivers refuse
// votes for ElectionMin from the later time they arrived.
func (n *Node) lease() time.Duration {
	sent := n.quorumAckedSent()
	if sent <= n.leadership.since && n.members.current().Quorum() > 1 {
		return 0 // no majority has answered a message of this term yet
	}
	return sent + n.options.ElectionMin*(100-leaseDriftPercent)/100
}

package replica

import (
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// MemberStatus is a member in the newest membership that this host knows.
type MemberStatus struct {
	Name        string
	Peer        string
	Incarnation string
	Voter       bool // false for a learner: a new or replaced host that is still catching up
}

// Status is the state of the group as this host knows it.
type Status struct {
	Host        string
	Incarnation string
	Leader      Member // zero if unknown
	Term        uint64
	Commit      uint64 // index of the last committed entry
	Applied     uint64 // index of the last entry applied to the state machine
	Members     []MemberStatus
	// SurvivedLosses is the number of members that may lose their disks while a
	// majority keeps them.
	SurvivedLosses int
	IsLeader       bool
	LeaderSince    time.Time // zero unless leader
	// LeaseEnd is the end of the leader's lease: no other host can be
	// elected before. Zero if there is none.
	LeaseEnd time.Time
	Err      error // failure that stopped the group, nil if none
}

// Status returns the current state.
func (g *Group) Status() Status {
	g.mu.Lock()
	n, err := g.status, g.err
	g.mu.Unlock()
	s := Status{
		Host: g.self.Name, Incarnation: g.self.Incarnation, Leader: g.leader(n), Term: n.Term,
		Commit: n.Commit, Applied: g.applier.index(), IsLeader: n.Role == agree.Leader && !g.stopped(), Err: err,
		SurvivedLosses: n.Members.SurvivedLosses(),
	}
	for _, m := range n.Members.Servers {
		s.Members = append(s.Members, MemberStatus{Name: m.ID.Name, Peer: m.Peer, Incarnation: m.ID.Incarnation, Voter: m.Voter})
	}
	if s.IsLeader {
		s.LeaderSince = g.start.Add(n.LeaderSince)
		if n.LeaseEnd > 0 {
			s.LeaseEnd = g.start.Add(n.LeaseEnd)
		}
	}
	return s
}

// InContact reports whether this host was in contact with a majority within the
// given time: as a follower it must have heard the leader within that time, as the
// leader its lease must not have ended more than that time ago.
func (g *Group) InContact(within time.Duration) bool {
	s := g.nodeStatus()
	if g.stopped() || !s.Admitted {
		return false
	}
	if s.Role == agree.Leader {
		return s.LeaseEnd+within > g.now()
	}
	return s.Leader != (agree.ID{}) && g.now()-s.HeardLeader < within
}

func (g *Group) nodeStatus() agree.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// memberList formats the members for the log, as in "10.0.0.1:voter,10.0.0.2:learner".
func memberList(m agree.Membership) string {
	var names []string
	for _, s := range m.Servers {
		role := "voter"
		if !s.Voter {
			role = "learner"
		}
		names = append(names, s.ID.Name+":"+role)
	}
	return strings.Join(names, ",")
}

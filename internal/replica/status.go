package replica

import (
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// MemberStatus is a member as of the newest membership this host knows.
type MemberStatus struct {
	Name        string
	Peer        string
	Incarnation string
	Voter       bool // false while a replaced host catches up
}

// Status describes this host's part in the group.
type Status struct {
	Host        string
	Incarnation string
	Leader      Member // zero if unknown
	Term        uint64
	Commit      uint64
	Applied     uint64
	Members     []MemberStatus
	IsLeader    bool
	LeaderSince time.Time // zero unless leader
	// QuorumUntil is the end of the leader's lease: no other host can lead
	// before. Zero if there is none.
	QuorumUntil time.Time
	Err         error // why the group has failed, nil while it works
}

// Status returns the present state.
func (g *Group) Status() Status {
	g.mu.Lock()
	n, err := g.status, g.err
	g.mu.Unlock()
	s := Status{
		Host: g.self.Name, Incarnation: g.self.Incarnation, Leader: g.leader(n), Term: n.Term,
		Commit: n.Commit, Applied: g.applier.index(), IsLeader: n.Role == agree.Leader && !g.stopped(), Err: err,
	}
	for _, m := range n.Members.Servers {
		s.Members = append(s.Members, MemberStatus{Name: m.ID.Name, Peer: m.Peer, Incarnation: m.ID.Incarnation, Voter: m.Voter})
	}
	if s.IsLeader {
		s.LeaderSince = g.start.Add(n.LeaderSince)
		if n.QuorumUntil > 0 {
			s.QuorumUntil = g.start.Add(n.QuorumUntil)
		}
	}
	return s
}

// InContact reports whether this host has been in contact with a majority, by way
// of the leader, within the given time.
func (g *Group) InContact(within time.Duration) bool {
	s := g.nodeStatus()
	if g.stopped() || !s.Admitted {
		return false
	}
	if s.Role == agree.Leader {
		return s.QuorumUntil+within > g.now()
	}
	return s.Leader != (agree.ID{}) && g.now()-s.HeardLeader < within
}

func (g *Group) nodeStatus() agree.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

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

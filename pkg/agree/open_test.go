package agree

import (
	"slices"
	"testing"
	"time"
)

// silentAfter is the silence after which the leader removes a member.
const silentAfter = 4 * time.Second

// voterNames returns the sorted names of the voters in the newest committed
// membership.
func (s *sim) voterNames() []string {
	var names []string
	for _, m := range s.committedMembership().Servers {
		if m.Voter {
			names = append(names, m.ID.Name)
		}
	}
	slices.Sort(names)
	return names
}

// TestOpenGroupFollowsItsHosts guards against a group that does not admit new
// hosts, that keeps a member which never returns, or that does not readmit one
// which does.
func TestOpenGroupFollowsItsHosts(t *testing.T) {
	all := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	for seed := range uint64(20) {
		s := newSimWithFounders(seed, 6, 3, silentAfter)
		s.run(500)
		if got := s.voterNames(); !slices.Equal(got, all) {
			t.Fatalf("seed %d: voters after the start are %v, want all six hosts", seed, got)
		}
		s.servers[4].isolated = true
		s.stop(s.servers[5])
		s.run(600)
		if got := s.voterNames(); !slices.Equal(got, all[:4]) {
			t.Fatalf("seed %d: voters after a long absence of s4 and s5 are %v, want s0 to s3", seed, got)
		}
		s.heal()
		s.run(600)
		if got := s.voterNames(); !slices.Equal(got, all) {
			t.Fatalf("seed %d: voters after the return of s4 and s5 are %v, want all six hosts", seed, got)
		}
		if s.problem != "" {
			t.Fatalf("seed %d: %s", seed, s.problem)
		}
	}
}

// TestOpenGroupKeepsThreeVoters guards against a group that shrinks below three
// voters, after which the loss of one disk could lose accepted commands.
func TestOpenGroupKeepsThreeVoters(t *testing.T) {
	s := newSimWithFounders(1, 4, 3, silentAfter)
	s.run(500)
	s.servers[3].isolated = true
	s.run(600)
	s.servers[2].isolated = true
	s.run(600)
	if got := s.voterNames(); len(got) != 3 {
		t.Errorf("voters are %v, want three of them", got)
	}
}

// TestRemovalsKeepEnoughVotersForLostDisks guards against a group that removes so many
// silent voters that the lost disks which it has to tolerate leave no majority, so that
// accepted commands are out of reach for good although all hosts are back.
func TestRemovalsKeepEnoughVotersForLostDisks(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimWithFounders(seed, 9, 3, silentAfter)
		s.losses = 2
		for _, v := range s.servers {
			s.start(v) // takes the option over
		}
		s.run(500)
		for _, group := range [][]*server{s.servers[6:9], s.servers[4:6]} {
			for _, v := range group {
				s.stop(v)
			}
			s.run(600)
		}
		accepted := s.acceptCommand()
		for _, v := range s.servers[:2] {
			s.replaceDisk(v)
		}
		s.heal()
		s.run(900)
		if s.problem != "" {
			t.Fatalf("seed %d: %s", seed, s.problem)
		}
		if got := s.voterNames(); len(got) != 9 {
			t.Fatalf("seed %d: voters after all hosts are back are %v, want all nine", seed, got)
		}
		for _, v := range s.servers {
			if v.value != accepted {
				t.Fatalf("seed %d: %s holds %q, want the accepted command %q", seed, v.id, v.value, accepted)
			}
		}
	}
}

// acceptCommand has the leader commit a command and returns it.
func (s *sim) acceptCommand() string {
	for _, v := range s.servers {
		if v.node != nil && v.node.Status().Role == Leader {
			s.propose(v)
		}
	}
	s.run(50)
	return s.valueAt(uint64(len(s.committed)))
}

// TestRemovalOfSilentVoters guards against a removal that lowers the number of lost disks
// which the group survives below the tolerated one, and against voters that never return
// and stay, so that a group whose hosts are replaced one by one loses its majority.
func TestRemovalOfSilentVoters(t *testing.T) {
	cases := []struct {
		losses, voters int
		removed        bool
	}{
		{0, 3, false}, {0, 4, true}, {0, 5, true},
		{1, 2, false}, {1, 3, false}, {1, 4, true}, {1, 5, true},
		{2, 3, false}, {2, 4, true}, {2, 5, false}, {2, 6, true}, {2, 7, true},
		{3, 6, true}, {3, 7, false}, {3, 8, true}, {3, 9, true},
	}
	for _, x := range cases {
		var servers []Server
		for i := range x.voters {
			servers = append(servers, Server{ID: ID{Name: string(rune('a' + i)), Incarnation: "1"}, Voter: true})
		}
		n := New(Options{Self: a, ToleratedLosses: x.losses, Random: func(int64) int64 { return 0 }}, 0)
		n.members.list = []Membership{{Index: 1, Servers: servers}}
		if got := n.mayRemoveVoter(); got != x.removed {
			t.Errorf("with %d voters and %d tolerated losses: a silent voter is removed: %v, want %v", x.voters, x.losses, got, x.removed)
		}
	}
}

// TestOpenGroupUnderFaults guards against diverging logs when members join, fail,
// lose their disks and are removed while messages are lost and delayed.
func TestOpenGroupUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimWithFounders(seed, 6, 3, silentAfter)
		s.run(400)
		s.loss, s.delay = 0.05, 0.2
		for range 25 {
			v := s.servers[s.rand.IntN(len(s.servers))]
			switch s.rand.IntN(6) {
			case 0:
				v.isolated = !v.isolated
			case 1:
				s.stop(v)
			case 2:
				if v.node == nil {
					s.start(v)
				}
			case 3:
				v.frozen = !v.frozen
			case 4:
				if s.countNonVoters() == 0 {
					s.replaceDisk(v)
				}
			case 5:
				if v.node != nil && !v.frozen {
					s.compact(v)
				}
			}
			for _, v := range s.servers {
				if v.node != nil && !v.frozen && v.node.Status().Role == Leader {
					s.propose(v)
					s.read(v)
				}
			}
			s.run(60)
		}
		s.heal()
		s.run(900)
		before := len(s.committed)
		for _, v := range s.servers {
			if v.node.Status().Role == Leader {
				s.propose(v)
			}
		}
		s.run(200)
		if s.problem != "" {
			t.Fatalf("seed %d: %s", seed, s.problem)
		}
		if len(s.committed) <= before || s.countNonVoters() > 0 {
			t.Fatalf("seed %d: no progress or missing voters after the faults: %d committed entries before the proposal, %d after it, voters %v", seed, before, len(s.committed), s.voterNames())
		}
	}
}

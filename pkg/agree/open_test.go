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

package agree

import (
	"slices"
	"testing"
	"time"
)

const silentAfter = 4 * time.Second

// voterNames returns the voters of the newest committed membership.
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

// Guards against a group that stays with its founders, that counts a member
// which is gone for good, or that shuts out one which returns.
func TestOpenGroupFollowsItsHosts(t *testing.T) {
	all := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	for seed := range uint64(20) {
		s := newSimWithFounders(seed, 6, 3, silentAfter)
		s.run(500)
		if got := s.voterNames(); !slices.Equal(got, all) {
			t.Fatalf("seed %d: after the start the voters are %v", seed, got)
		}
		s.servers[4].isolated = true
		s.stop(s.servers[5])
		s.run(600)
		if got := s.voterNames(); !slices.Equal(got, all[:4]) {
			t.Fatalf("seed %d: after a long absence the voters are %v", seed, got)
		}
		s.heal()
		s.run(600)
		if got := s.voterNames(); !slices.Equal(got, all) {
			t.Fatalf("seed %d: after the return the voters are %v", seed, got)
		}
		if s.problem != "" {
			t.Fatalf("seed %d: %s", seed, s.problem)
		}
	}
}

// Guards against a group that shrinks below three voters, after which the loss
// of one disk could take what was accepted.
func TestOpenGroupKeepsThreeVoters(t *testing.T) {
	s := newSimWithFounders(1, 4, 3, silentAfter)
	s.run(500)
	s.servers[3].isolated = true
	s.run(600)
	s.servers[2].isolated = true
	s.run(600)
	if got := s.voterNames(); len(got) != 3 {
		t.Errorf("the voters are %v, want three", got)
	}
}

// Guards against two histories when members come, go, lose their disks and are
// removed in the middle of faults.
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
			t.Fatalf("seed %d: %d entries before and %d after the faults, voters %v", seed, before, len(s.committed), s.voterNames())
		}
	}
}

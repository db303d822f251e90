package roster

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func announcement(name string, life Life, sequence uint64) Report {
	return Report{Announcement: Announcement{Name: name, Life: life, Sequence: sequence, Service: "s", Address: "a-" + name, Zone: "z", Slots: 1}}
}

func leaving(r Report) Report { r.Leaving = true; return r }

// Announcements may arrive late or out of order. Only the newest life and sequence
// number count.
func TestOrderOfAnnouncements(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		life    Life
		leaving bool
	}{
		{"a lower sequence changes nothing", []Report{announcement("t", 1, 5), leaving(announcement("t", 1, 4))}, 1, false},
		{"leaving stays within a life", []Report{leaving(announcement("t", 1, 5)), announcement("t", 1, 6)}, 1, true},
		{"a later life is usable again", []Report{leaving(announcement("t", 1, 5)), announcement("t", 2, 1)}, 2, false},
		{"an earlier life changes nothing", []Report{announcement("t", 2, 1), leaving(announcement("t", 1, 9))}, 2, false},
	}
	for _, c := range cases {
		r := New(time.Minute)
		for _, report := range c.reports {
			r.Apply(time.Second, report)
		}
		if got, _ := r.Find("t"); got.Life != c.life || got.Leaving != c.leaving {
			t.Errorf("%s: got life %d, leaving %v", c.name, got.Life, got.Leaving)
		}
	}
}

// A departure that arrives before the announcement of the target must not be lost.
func TestDepartureBeforeAnnouncement(t *testing.T) {
	r := New(time.Minute)
	r.Leave("t", 3)
	r.Apply(0, announcement("t", 3, 1))
	if got, _ := r.Find("t"); !got.Leaving {
		t.Error("the life that left is not marked as leaving")
	}
	r.Apply(0, announcement("t", 4, 1))
	if got, _ := r.Find("t"); got.Leaving {
		t.Error("the life after the departure is marked as leaving")
	}
}

// When two targets announce the same address, requests must not go to the earlier one.
func TestAddressBelongsToTheLaterLife(t *testing.T) {
	old, taker := announcement("old", 1, 1), announcement("new", 2, 1)
	taker.Address = old.Address
	for _, order := range [][]Report{{old, taker}, {taker, old}} {
		r := New(time.Minute)
		for _, report := range order {
			r.Apply(0, report)
		}
		gone, _ := r.Find("old")
		current, _ := r.Find("new")
		if gone.Usable() || !current.Usable() {
			t.Errorf("old target usable: %v, want false; new target usable: %v, want true", gone.Usable(), current.Usable())
		}
	}
}

// Repeated announcements must not count as changes, and real changes must.
func TestRevisions(t *testing.T) {
	r := New(time.Minute)
	report := announcement("t", 1, 1)
	report.ColdFor = 3 * time.Second
	if !r.Apply(0, report) {
		t.Error("a new target was not reported as a change")
	}
	report.Sequence, report.ColdFor = 2, 1500*time.Millisecond
	if r.Apply(1500*time.Millisecond, report) {
		t.Error("an unchanged end of the warm-up was reported as a change")
	}
	report.Sequence, report.ColdFor = 3, 3*time.Second
	if !r.Apply(3*time.Second, report) {
		t.Error("a new warm-up was not reported as a change")
	}
	before := r.Revision()
	r.MarkSilent(10*time.Second, 5*time.Second)
	if list, _ := r.Since(before); len(list) != 1 || !list[0].Silent {
		t.Errorf("changes after a target became silent: %v, want that target only", list)
	}
	report.Sequence = 4
	if !r.Apply(11*time.Second, report) {
		t.Error("an announcement of a silent target was not reported as a change")
	}
	// An entry host hears nothing of a target that does not change.
	if names := r.Forget(80 * time.Second); len(names) != 0 {
		t.Errorf("Forget dropped %v, which is not silent", names)
	}
	r.MarkSilent(80*time.Second, 5*time.Second)
	if names := r.Forget(80 * time.Second); len(names) != 1 {
		t.Errorf("Forget dropped %v, want the one target", names)
	}
}

// Hosts that receive the same announcements and departures in different orders must
// end in the same state.
func TestRostersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			report Report
			depart bool
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			s := step{report: announcement(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Life(rapid.IntRange(1, 3).Draw(t, "life")),
				uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))}
			s.depart = rapid.Bool().Draw(t, "depart")
			return s
		}), 1, 12).Draw(t, "steps")
		order := rapid.Permutation(steps).Draw(t, "order")
		one, two := New(time.Minute), New(time.Minute)
		for i := range steps {
			for r, s := range map[*Roster]step{one: steps[i], two: order[i]} {
				if s.depart {
					r.Leave(s.report.Name, s.report.Life)
				} else {
					r.Apply(0, s.report)
				}
			}
		}
		for _, name := range []string{"a", "b"} {
			x, foundX := one.Find(name)
			y, foundY := two.Find(name)
			if foundX != foundY || x.Life != y.Life || x.Leaving != y.Leaving || x.Sequence != y.Sequence {
				t.Fatalf("%s differs by order: %+v and %+v", name, x, y)
			}
		}
	})
}

// Heartbeats must keep a target from being taken for silent, and must be recognized, so
// that the full announcement is not sent each time.
func TestBeats(t *testing.T) {
	r := New(time.Hour)
	a := Announcement{Name: "t", Life: 7, Sequence: 3, Service: "s", Address: "x:1", Zone: "z", Slots: 2, ColdFor: 5 * time.Second}
	if _, known := r.ApplyHeartbeat(0, Heartbeat{Name: "t", Life: 7, Sequence: 3}); known {
		t.Error("ApplyHeartbeat reported a target as known before its announcement")
	}
	r.Apply(time.Second, Report{Announcement: a})
	cases := []struct {
		name           string
		beat           Heartbeat
		changed, known bool
		sequence       uint64
		heard          time.Duration
	}{
		{"the next", Heartbeat{Name: "t", Life: 7, Sequence: 4, AgeMs: 500}, false, true, 4, 1500 * time.Millisecond},
		{"an older one", Heartbeat{Name: "t", Life: 7, Sequence: 2}, false, true, 4, 1500 * time.Millisecond},
		{"one of an earlier life", Heartbeat{Name: "t", Life: 6, Sequence: 9}, false, true, 4, 1500 * time.Millisecond},
		{"one of a later life", Heartbeat{Name: "t", Life: 8, Sequence: 1}, false, false, 4, 1500 * time.Millisecond},
		{"of another target", Heartbeat{Name: "u", Life: 7, Sequence: 4}, false, false, 4, 1500 * time.Millisecond},
	}
	for _, c := range cases {
		changed, known := r.ApplyHeartbeat(2*time.Second, c.beat)
		got, _ := r.Find("t")
		if changed != c.changed || known != c.known || got.Sequence != c.sequence || got.LastHeard != c.heard {
			t.Errorf("heartbeat %s: got changed %v, known %v, target %+v", c.name, changed, known, got)
		}
	}
	if got, _ := r.Find("t"); got.ColdUntil != 6*time.Second || got.Slots != 2 {
		t.Errorf("a heartbeat changed the announced state of the target: %+v", got)
	}
	r.MarkSilent(time.Minute, time.Second)
	if changed, _ := r.ApplyHeartbeat(time.Minute, Heartbeat{Name: "t", Life: 7, Sequence: 5}); !changed {
		t.Error("a heartbeat of a silent target was not reported as a change")
	}
	r.Leave("t", 7)
	r.ApplyHeartbeat(time.Minute, Heartbeat{Name: "t", Life: 7, Sequence: 6})
	if got, _ := r.Find("t"); !got.Leaving {
		t.Error("a heartbeat made a leaving target usable again")
	}
}

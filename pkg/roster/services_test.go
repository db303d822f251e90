package roster

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// odd returns an entry of another writer: a report for a service that no policy names.
func odd(r Report) Report { r.Service = "odd"; return r }

// at returns a report with another address.
func at(address string, r Report) Report { r.Address = address; return r }

// An entry for a service that the policy does not name must not take a target out of use:
// not at its address, not under its name, and not by saying that it leaves. It may arrive
// before the target, before the policy, or after both.
func TestEntriesForUnnamedServicesTakeNothingOver(t *testing.T) {
	sound := announcement("sound", 5, 5)
	for name, entry := range map[string]Report{
		"the address, started later":          odd(at(sound.Address, announcement("other", 9, 1))),
		"the address, without a start":        odd(at(sound.Address, announcement("other", 0, 1))),
		"the name, started later":             odd(announcement("sound", 9, 1)),
		"the name, later number":              odd(announcement("sound", 5, 9)),
		"the name and another address":        odd(at("elsewhere", announcement("sound", 9, 9))),
		"the name, leaving":                   odd(leaving(announcement("sound", 5, 9))),
		"the name, leaving and started later": odd(leaving(announcement("sound", 9, 9))),
	} {
		steps := map[string]func(*Roster){
			"target": func(r *Roster) { r.Apply(time.Second, sound) },
			"entry":  func(r *Roster) { r.Apply(time.Second, entry) },
			"policy": func(r *Roster) { r.SetServices([]string{"s"}) },
		}
		for _, order := range [][]string{{"target", "entry", "policy"}, {"target", "policy", "entry"}, {"entry", "target", "policy"},
			{"entry", "policy", "target"}, {"policy", "target", "entry"}, {"policy", "entry", "target"}} {
			r := New(time.Minute)
			for _, step := range order {
				steps[step](r)
			}
			got, _ := r.Find("sound")
			if !got.Usable() || got.Service != "s" || got.Address != sound.Address || got.Life != 5 {
				t.Errorf("%s, %v: the target is %+v", name, order, got)
			}
			if changed, known := r.ApplyHeartbeat(2*time.Second, Heartbeat{Name: "sound", Life: 5, Sequence: 6}); changed || !known {
				t.Errorf("%s, %v: heartbeat of the target: changed %v, known %v", name, order, changed, known)
			}
			if list, _ := r.Since(0); !slices.ContainsFunc(list, func(t Target) bool { return t.Name == "sound" && t.Usable() }) {
				t.Errorf("%s, %v: other hosts are told %+v", name, order, list)
			}
		}
	}
}

// A target of a service that the policy does not name yet must be usable as soon as it does,
// and other hosts must hear of it again.
func TestServiceIsNamedLater(t *testing.T) {
	r := New(time.Minute)
	r.SetServices([]string{"s"})
	r.Apply(time.Second, odd(announcement("early", 5, 1)))
	r.Apply(time.Second, announcement("moved", 5, 1))
	r.Apply(time.Second, odd(announcement("moved", 6, 1))) // started again for the other service
	r.Leave("gone", 7)
	r.Apply(time.Second, odd(announcement("gone", 7, 1)))
	if got, _ := r.Find("early"); got.Usable() {
		t.Errorf("a target without a service is usable: %+v", got)
	}
	if c := r.Counts(); c.Unnamed != 2 || c.Superseded != 0 {
		t.Errorf("counts %+v, want 2 targets without a service", c)
	}
	before := r.Revision()
	if !r.SetServices([]string{"odd"}) || r.SetServices([]string{"odd"}) {
		t.Error("SetServices must report the first of two equal calls as a change, and no other")
	}
	for name, usable := range map[string]bool{"early": true, "moved": true, "gone": false} {
		if got, _ := r.Find(name); got.Usable() != usable || got.Service != "odd" {
			t.Errorf("%s: %+v, want usable %v", name, got, usable)
		}
	}
	if list, _ := r.Since(before); len(list) != 3 {
		t.Errorf("%d targets are told to other hosts again, want 3", len(list))
	}
	r.SetServices([]string{"s"})
	if got, _ := r.Find("moved"); !got.Usable() || got.Life != 5 {
		t.Errorf("with the earlier policy the target is %+v", got)
	}
}

// Contradictory announcements must be told from those of targets that the policy does not
// concern.
func TestContradicts(t *testing.T) {
	r := New(time.Minute)
	r.SetServices([]string{"s", "s2"})
	r.Apply(time.Second, announcement("named", 5, 1))
	r.Apply(time.Second, odd(announcement("unnamed", 5, 1)))
	for name, c := range map[string]struct {
		report Report
		want   bool
	}{
		"the target itself":           {announcement("named", 5, 2), false},
		"another named service":       {func() Report { r := announcement("named", 6, 1); r.Service = "s2"; return r }(), false},
		"an unnamed service":          {odd(announcement("named", 6, 1)), true},
		"a target without a service":  {odd(announcement("unnamed", 5, 2)), false},
		"a target that nobody knows":  {odd(announcement("unknown", 5, 1)), false},
		"a target that gets a policy": {announcement("unnamed", 5, 2), false},
	} {
		if got := r.Contradicts(&c.report.Announcement); got != c.want {
			t.Errorf("%s: Contradicts is %v", name, got)
		}
	}
}

// A claim to an address must end with the target that made it: one announcement, even a
// well-formed one, must not take the earlier target away for good.
func TestClaimOfAnAddressEnds(t *testing.T) {
	const overdue = 5 * time.Second
	for name, end := range map[string]func(*Roster){
		"the later target falls silent":           func(r *Roster) { r.MarkSilent(8*time.Second, overdue) },
		"the later target is said to be silent":   func(r *Roster) { later := claim(); later.Silent = true; r.Apply(8*time.Second, later) },
		"the later target says that it leaves":    func(r *Roster) { later := leaving(claim()); later.Sequence++; r.Apply(8*time.Second, later) },
		"the later target has left":               func(r *Roster) { r.Leave("later", 9) },
		"the later target moves":                  func(r *Roster) { later := at("elsewhere", claim()); later.Sequence++; r.Apply(8*time.Second, later) },
		"the later target starts again elsewhere": func(r *Roster) { r.Apply(8*time.Second, at("elsewhere", announcement("later", 10, 1))) },
		"the service of the later one is dropped": func(r *Roster) { r.SetServices([]string{"s"}) },
	} {
		r := New(time.Minute)
		r.SetServices([]string{"s", "s2"})
		earlier := announcement("earlier", 5, 1)
		r.Apply(time.Second, earlier)
		r.Apply(2*time.Second, claim())
		r.ApplyHeartbeat(7*time.Second, Heartbeat{Name: "earlier", Life: 5, Sequence: 2})
		if got, _ := r.Find("earlier"); got.Usable() {
			t.Errorf("%s: the earlier target is usable before", name)
		}
		before := r.Revision()
		end(r)
		if got, _ := r.Find("earlier"); !got.Usable() {
			t.Errorf("%s: the earlier target is not usable again: %+v", name, got)
		}
		if r.Revision() == before {
			t.Errorf("%s: the change has no revision of its own", name)
		}
	}
}

// claim returns the announcement of a target that starts at the address of "earlier".
func claim() Report {
	later := at("a-earlier", announcement("later", 9, 1))
	later.Service = "s2"
	return later
}

// A claim must come back with the target that made it, and end when that is forgotten.
func TestClaimOfASilentTargetThatReturns(t *testing.T) {
	r := New(10 * time.Second)
	r.Apply(time.Second, announcement("earlier", 5, 1))
	r.Apply(time.Second, claim())
	r.MarkSilent(8*time.Second, 5*time.Second)
	r.ApplyHeartbeat(9*time.Second, Heartbeat{Name: "later", Life: 9, Sequence: 2})
	if got, _ := r.Find("earlier"); got.Usable() {
		t.Error("the earlier target is usable although the later one is back")
	}
	r.MarkSilent(30*time.Second, 5*time.Second)
	r.Forget(30 * time.Second)
	r.Apply(31*time.Second, announcement("earlier", 5, 2))
	if got, _ := r.Find("earlier"); !got.Usable() {
		t.Error("the address belongs to a target that is forgotten")
	}
}

// Hosts that hear the same announcements, departures and policies in different orders must
// agree on the targets that get requests, odd entries and reused addresses included.
func TestRostersConvergeWithOddEntries(t *testing.T) {
	names, addresses, services := []string{"a", "b", "c"}, []string{"x", "y"}, []string{"s", "odd"}
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			report Report
			depart bool
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			r := announcement(rapid.SampledFrom(names).Draw(t, "name"), Life(rapid.IntRange(1, 3).Draw(t, "life")),
				uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			r.Service = rapid.SampledFrom(services).Draw(t, "service")
			// An incarnation announces one address for each sequence number.
			r.Address = addresses[(int(r.Life)+int(r.Sequence)/3+len(r.Service)+int(r.Name[0]))%len(addresses)]
			return step{r, rapid.IntRange(0, 4).Draw(t, "depart") == 0}
		}), 1, 14).Draw(t, "steps")
		order := rapid.Permutation(steps).Draw(t, "order")
		one, two := New(time.Minute), New(time.Minute)
		policyAt := map[*Roster]int{one: rapid.IntRange(0, len(steps)).Draw(t, "first"), two: rapid.IntRange(0, len(steps)).Draw(t, "second")}
		for r, list := range map[*Roster][]step{one: steps, two: order} {
			for i, s := range append(list, step{}) {
				if i == policyAt[r] {
					r.SetServices([]string{"s"})
				}
				switch {
				case i == len(steps):
				case s.depart:
					r.Leave(s.report.Name, s.report.Life)
				default:
					r.Apply(0, s.report)
				}
			}
		}
		for _, name := range names {
			x, foundX := one.Find(name)
			y, foundY := two.Find(name)
			if foundX != foundY || x.Usable() != y.Usable() || x.Service != y.Service || x.Usable() && x.Announcement != y.Announcement {
				t.Fatalf("%s differs by order:\n%+v\n%+v", name, x, y)
			}
		}
	})
}

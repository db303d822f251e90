package slots

import (
	"errors"
	"testing"
	"time"
)

// Guards against late, duplicated and reordered announcements that make a
// leaving target ready again or restore outdated slots.
func TestAnnouncements(t *testing.T) {
	const warm = 0
	ready := func(inc, seq uint64) Announcement {
		return Announcement{Service: "s", Address: address(1), Incarnation: inc, Sequence: seq, Slots: 2, State: Ready}
	}
	leaving := func(inc, seq uint64) Announcement {
		a := ready(inc, seq)
		a.State = Leaving
		return a
	}
	other := ready(2, 9)
	other.Service = "other"
	negative := ready(2, 9)
	negative.Slots = -1
	cases := []struct {
		name  string
		after time.Duration // between the two announcements
		first Announcement
		then  Announcement
		code  string
		free  int
	}{
		{"renewed", time.Second, ready(1, 1), ready(1, 2), "", 2},
		{"twice", 0, ready(1, 1), ready(1, 1), CodeStale, 2},
		{"out of order", 0, ready(1, 5), ready(1, 4), CodeStale, 2},
		{"ready overtaken by leaving", 0, leaving(1, 5), ready(1, 4), CodeStale, 0},
		{"ready after leaving", time.Second, leaving(1, 5), ready(1, 6), "", 0},
		{"late from an earlier process", 0, ready(2, 1), ready(1, 99), CodeStale, 2},
		{"late, after the target was silent", time.Minute, leaving(1, 5), ready(1, 4), CodeStale, 0},
		{"restarted after leaving", 0, leaving(1, 5), ready(2, 1), "", 2},
		{"leaving", 0, ready(1, 1), leaving(1, 2), "", 0},
		{"service not in the bundle", 0, ready(1, 1), other, CodeService, 2},
		{"negative slots", 0, ready(1, 1), negative, CodeSlots, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, warm)
			if err := f.pool.Announce(f.now, c.first); err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(c.after)
			f.pool.Tick(f.now)
			err := f.pool.Announce(f.now, c.then)
			var refused *AnnounceError
			if errors.As(err, &refused); (refused == nil) != (c.code == "") || refused != nil && refused.Code != c.code {
				t.Fatalf("second announcement returned %v, want code %q", err, c.code)
			}
			f.wantFree(c.free, c.name)
		})
	}
}

// Guards against a target that is counted under two services at once.
func TestAddressOfAnotherService(t *testing.T) {
	f := newFixture(t, 0)
	f.pool.policy.Services["s2"] = Limits{}
	f.announce(2)
	a := Announcement{Service: "s2", Address: address(1), Incarnation: 2, Sequence: 1, Slots: 2, State: Ready}
	if f.pool.Announce(f.now, a) == nil {
		t.Fatal("the address of a live target was accepted for another service")
	}
	f.now = f.now.Add(AnnounceLifetime)
	if err := f.pool.Announce(f.now, a); err != nil {
		t.Fatalf("the address of a silent target was refused for another service: %v", err)
	}
}

// Guards against too much work for targets that are silent, drained, warming up
// or announce more slots than the bundle allows, and against a failover that
// sends the whole zone back into warm-up.
func TestUsableSlots(t *testing.T) {
	const warmUp = 10 * time.Second
	cases := []struct {
		name string
		run  func(f *fixture)
		free int
	}{
		{"cold", func(f *fixture) { f.now = f.now.Add(time.Minute); f.announce(4) }, 1},
		{"half warm", func(f *fixture) { f.now = f.now.Add(time.Minute); f.announce(4); f.after(5*time.Second, 4) }, 2},
		{"warm", func(f *fixture) { f.announce(4); f.after(warmUp, 4) }, 4},
		{"back after silence", func(f *fixture) {
			f.announce(4)
			f.after(warmUp, 4)
			f.now = f.now.Add(time.Minute)
			f.announce(4)
		}, 1},
		{"restarted", func(f *fixture) {
			f.announce(4)
			f.after(warmUp, 4)
			_ = f.pool.Announce(f.now, Announcement{Service: "s", Address: address(1), Incarnation: 2, Sequence: 1, Slots: 4})
		}, 1},
		{"new coordinator, target up for long", func(f *fixture) { f.seq[address(1)] = 60; f.announce(4) }, 4},
		{"more slots than the bundle allows", func(f *fixture) { f.announce(900); f.after(warmUp, 900) }, 4},
		{"silent", func(f *fixture) { f.announce(4); f.after(warmUp, 4); f.now = f.now.Add(AnnounceLifetime) }, 0},
		{"target drained", func(f *fixture) {
			f.announce(4)
			f.after(warmUp, 4)
			p := f.pool.policy
			p.DrainedTargets = map[string]bool{address(1): true}
			f.pool.SetPolicy(f.now, p)
		}, 0},
		{"zone or region drained", func(f *fixture) { f.announce(4); f.after(warmUp, 4); f.pool.policy.Drained = true }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, warmUp)
			c.run(f)
			f.wantFree(c.free, c.name)
		})
	}
}

package slots

import (
	"testing"
	"time"
)

// Guards against slots freed while the target may still be working, and against
// slots that stay occupied after the work must have ended.
func TestWhenSlotsReturn(t *testing.T) {
	const tick = time.Millisecond
	release := func(o Outcome) func(*fixture, ID) {
		return func(f *fixture, id ID) { f.pool.Release(f.now, id, o) }
	}
	cases := []struct {
		name string
		then func(f *fixture, id ID)
		hold time.Duration // time after then at which the slot is freed
	}{
		{"done", release(OutcomeDone), 0},
		{"unsent", release(OutcomeUnsent), 0},
		{"unreachable", release(OutcomeUnreachable), 0},
		{"shed", release(OutcomeShed), 0},
		{"failed", release(OutcomeFailed), AbandonGrace},
		{"abandoned", release(OutcomeAbandoned), AbandonGrace},
		{"close not confirmed", release(OutcomeUnconfirmed), time.Second + StreamSilence},
		{"holder silent", func(*fixture, ID) {}, time.Second + StreamSilence},
		{"holder silent after a renewal", func(f *fixture, id ID) {
			f.after(30*time.Second, 1)
			f.pool.Renew(f.now, id.Holder, []uint64{id.Number})
		}, StreamSilence},
		{"renewal before the deadline", func(f *fixture, id ID) { f.pool.Renew(f.now, id.Holder, []uint64{id.Number}) }, time.Second + StreamSilence},
		{"holder restarted", func(f *fixture, id ID) { f.pool.HolderRestarted(f.now, Holder{"h", "2"}) }, AbandonGrace},
		{"released twice", func(f *fixture, id ID) {
			f.pool.Release(f.now, id, OutcomeAbandoned)
			f.pool.Release(f.now, id, OutcomeDone)
		}, AbandonGrace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.announce(1)
			id := f.take().ID
			c.then(f, id)
			if c.hold > 0 {
				f.after(c.hold-tick, 1)
				if f.pool.targets[address(1)].outstanding != 1 {
					t.Fatalf("the slot was freed earlier than after %v", c.hold)
				}
				f.after(tick, 1)
			}
			if f.pool.targets[address(1)].outstanding != 0 {
				t.Fatalf("the slot is still occupied after %v", c.hold)
			}
		})
	}
}

// Guards against the renewal of a permit whose slot has already been freed.
func TestRenewalOfUnknownPermit(t *testing.T) {
	f := newFixture(t, 0, "h")
	if unknown, deferred := f.pool.Renew(f.now, Holder{"h", "1"}, []uint64{7}); len(unknown) > 0 || !deferred {
		t.Fatal("an unknown permit was not deferred before its holder reported its permits")
	}
	f.pool.RestorePermits(f.now, Holder{"h", "1"}, time.Hour, nil)
	if unknown, deferred := f.pool.Renew(f.now, Holder{"h", "1"}, []uint64{7}); len(unknown) != 1 || deferred {
		t.Fatal("an unknown permit was not reported as unknown after its holder reported its permits")
	}
}

// Guards against a new coordinator that grants slots before it knows all permits
// of earlier terms, and against one that waits longer than necessary.
func TestRecovery(t *testing.T) {
	h := Holder{"h1", "1"}
	holds := func(f *fixture) []HeldPermit {
		return []HeldPermit{{Number: 1, Service: "s", Target: address(1), Until: f.now.Add(time.Minute)}}
	}
	cases := []struct {
		name string
		then func(f *fixture)
		wait time.Duration
		free int
	}{
		{"answers with a permit", func(f *fixture) { f.pool.RestorePermits(f.now, h, time.Hour, holds(f)) }, 0, 1},
		{"answers with nothing", func(f *fixture) { f.pool.RestorePermits(f.now, h, time.Hour, nil) }, 0, 2},
		{"answers twice", func(f *fixture) {
			f.pool.RestorePermits(f.now, h, time.Hour, holds(f))
			f.pool.RestorePermits(f.now, h, time.Hour, holds(f))
		}, 0, 1},
		{"has just restarted", func(f *fixture) { f.pool.RestorePermits(f.now, h, AbandonGrace/4, nil) }, AbandonGrace * 3 / 4, 2},
		{"refuses connections", func(f *fixture) { f.pool.HostRefusedConnection(f.now, "h1") }, AbandonGrace, 2},
		{"is silent", func(*fixture) {}, 2*time.Second + 2*time.Second + StreamSilence, 2},
	}
	for _, c := range cases {
		t.Run("a host "+c.name, func(t *testing.T) {
			f := newFixture(t, 0, "h1", "h2")
			f.pool.RestorePermits(f.now, Holder{"h2", "1"}, time.Hour, nil)
			f.announce(2)
			f.wantFree(0, "before the host has answered")
			c.then(f)
			if c.wait > 0 {
				f.after(c.wait-time.Millisecond, 2)
				f.wantFree(0, "before the wait has ended")
				f.after(time.Millisecond, 2)
			}
			f.wantFree(c.free, c.name)
		})
	}
}

package slots

import (
	"testing"
	"time"
)

// fail records failures of a target until it is suspect.
func (f *fixture) fail(target int) {
	t := f.pool.targets[address(target)]
	for range failuresToSuspect {
		t.recordOutcome(f.now, OutcomeUnreachable)
	}
}

// counts acquires n slots one after the other, releasing each at once, and
// returns how many each target got.
func (f *fixture) counts(n int) map[string]int {
	f.Helper()
	c := map[string]int{}
	for range n {
		g := f.take()
		c[g.Target]++
		f.pool.Release(f.now, g.ID, OutcomeUnsent)
	}
	return c
}

// Guards against reported loads and outcomes that misdirect work: reports that
// are too low, too high or constant, a dead target, and a fault that makes most
// targets look dead.
func TestMeasurements(t *testing.T) {
	load := func(f *fixture, target int, value float64) { f.pool.targets[address(target)].load = value }
	cases := []struct {
		name   string
		run    func(f *fixture)
		counts [3]int // of 30 requests, one at a time
	}{
		{"no load reported", func(*fixture) {}, [3]int{10, 10, 10}},
		{"one claims to be idle", func(f *fixture) { load(f, 1, -1); load(f, 2, 0.9); load(f, 3, 0.9) }, [3]int{10, 10, 10}},
		{"one claims to be full", func(f *fixture) { load(f, 1, 5) }, [3]int{0, 15, 15}},
		{"all claim to be full", func(f *fixture) { load(f, 1, 5); load(f, 2, 5); load(f, 3, 5) }, [3]int{10, 10, 10}},
		{"one sheds load", func(f *fixture) { f.pool.targets[address(1)].recordOutcome(f.now, OutcomeShed) }, [3]int{0, 15, 15}},
		{"one is dead", func(f *fixture) { f.fail(1) }, [3]int{0, 15, 15}},
		{"one is dead, probe due", func(f *fixture) { f.fail(1); f.after(probeInterval, 4, 4, 4) }, [3]int{1, 14, 15}},
		{"two of three look dead", func(f *fixture) { f.fail(1); f.fail(2) }, [3]int{10, 10, 10}},
		{"dead, then answers", func(f *fixture) {
			f.fail(1)
			f.pool.targets[address(1)].recordOutcome(f.now, OutcomeDone)
		}, [3]int{10, 10, 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.announce(4, 4, 4)
			c.run(f)
			got := f.counts(30)
			for i, want := range c.counts {
				if d := got[address(i+1)] - want; d < -1 || d > 1 {
					t.Fatalf("requests per target are %v, want about %v", got, c.counts)
				}
			}
		})
	}
}

// Guards against slots that cannot be used because their target reports that it
// is full.
func TestFullIsOnlyChosenLast(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(4, 4, 4)
	f.pool.targets[address(1)].load = 5
	f.wantFree(12, "one target reports that it is full")
}

// Guards against more than one request at a time for a suspect target, and
// against requests for targets that the request excludes.
func TestSuspectAndExcluded(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(4, 4, 4)
	f.fail(1)
	f.after(probeInterval, 4, 4, 4)
	f.wantFree(9, "one probe slot and two healthy targets")
	f.after(probeInterval, 4, 4, 4)
	for range 8 {
		f.take(address(1))
	}
	if g := f.take(); g.Target != address(1) {
		t.Fatalf("the request went to %s, want the probe of the suspect target", g.Target)
	}
	f.after(2*probeInterval, 4, 4, 4)
	f.wantFree(0, "while the probe is outstanding")
}

// Guards against choosing by the number instead of the share of slots in use when
// targets have different numbers of slots.
func TestLeastOutstandingByShare(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(4, 2)
	got := map[string]int{}
	for range 3 {
		got[f.take().Target]++
	}
	if got[address(1)] != 2 || got[address(2)] != 1 {
		t.Fatalf("requests per target are %v, want two at the larger target and one at the smaller", got)
	}
	f.after(time.Second, 4, 2)
	f.wantFree(3, "three of six slots taken")
}

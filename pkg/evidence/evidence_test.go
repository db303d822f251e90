package evidence

import (
	"testing"
	"time"
)

// The verdict must follow the recorded evidence, its age included.
func TestVerdicts(t *testing.T) {
	second := time.Second
	cases := []struct {
		name string
		seen func(*Target)
		at   time.Duration
		want Verdict
	}{
		{"nothing seen", func(*Target) {}, second, Good},
		{"unreachable", func(e *Target) { e.RecordUnreachable(second) }, second + initialBackoff/2, Down},
		{"unreachable, after the pause", func(e *Target) { e.RecordUnreachable(second) }, second + initialBackoff, Good},
		{"pause doubles", func(e *Target) { e.RecordUnreachable(second); e.RecordUnreachable(second + initialBackoff) }, second + 2*initialBackoff, Down},
		{"an answer ends a pause", func(e *Target) { e.RecordUnreachable(second); e.RecordSuccess(second) }, second, Good},
		{"failures", func(e *Target) { e.RecordFailure(second); e.RecordFailure(second); e.RecordFailure(second) }, second, Doubtful},
		{"one failure", func(e *Target) { e.RecordFailure(second) }, second, Good},
		{"failures long ago", func(e *Target) { e.RecordFailure(second); e.RecordFailure(second); e.RecordFailure(second) }, second + outcomeDecay, Good},
		{"full", func(e *Target) { e.RecordLoad(second, Load{Running: 4, Waiting: 4, Slots: 4}) }, second, Full},
		{"full, long ago", func(e *Target) { e.RecordLoad(second, Load{Running: 4, Waiting: 4, Slots: 4}) }, 3 * second, Good},
	}
	for _, c := range cases {
		e := &Target{}
		c.seen(e)
		if got := e.Verdict(c.at); got != c.want {
			t.Errorf("%s: verdict %s, want %s", c.name, got, c.want)
		}
	}
}

// Evidence about one incarnation of a target must not count against the next.
func TestStoreSeparatesIncarnations(t *testing.T) {
	b := NewStore()
	b.For(Key{"t", 1}).RecordUnreachable(time.Second)
	if v := b.For(Key{"t", 2}).Verdict(time.Second); v != Good {
		t.Errorf("verdict %s on the next life, want good", v)
	}
	b.Retain(func(k Key) bool { return k.Life == 2 })
	if v := b.For(Key{"t", 1}).Verdict(time.Second); v != Good {
		t.Errorf("verdict %s after the evidence was dropped, want good", v)
	}
}

// Failures that all targets of a service share must not make any of them an outlier. A
// target that fails much more than the others must be one.
func TestOutliers(t *testing.T) {
	now := 10 * time.Second
	service := func(n int, bad float64) map[string]*Tally {
		m := map[string]*Tally{}
		for i := range n {
			m[string(rune('a'+i))] = &Tally{}
			m[string(rune('a'+i))].Add(now, 10-bad, bad)
		}
		return m
	}
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	with := func(m map[string]*Tally, name string, good, bad float64) map[string]*Tally {
		m[name] = &Tally{}
		m[name].Add(now, good, bad)
		return m
	}
	cases := []struct {
		name    string
		tallies map[string]*Tally
		held    func(string) bool
		at      time.Duration
		want    int
	}{
		{"all well", service(8, 0), never, now, 0},
		{"all fail", service(8, 9), never, now, 0},
		{"one fails", with(service(8, 1), "x", 4, 6), never, now, 1},
		{"one fails a little", with(service(8, 1), "x", 7, 3), never, now, 0},
		{"an earlier outlier fails a little", with(service(8, 1), "x", 7, 3), always, now, 1},
		{"too few outcomes", with(service(8, 0), "x", 0, 2), never, now, 0},
		{"outcomes long ago", with(service(8, 0), "x", 0, 6), always, now + tallyDecay, 0},
		{"half of them fail", with(with(with(service(3, 0), "x", 0, 9), "y", 0, 9), "z", 0, 9), never, now, 0},
	}
	for _, c := range cases {
		if got := Outliers(c.at, c.tallies, c.held); len(got) != c.want {
			t.Errorf("%s: outliers %v, want %d", c.name, got, c.want)
		}
	}
}

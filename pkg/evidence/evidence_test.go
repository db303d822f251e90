package evidence

import (
	"testing"
	"time"
)

// Guards against verdicts that do not follow what was seen.
func TestVerdicts(t *testing.T) {
	second := time.Second
	cases := []struct {
		name string
		seen func(*Target)
		at   time.Duration
		want Verdict
	}{
		{"nothing seen", func(*Target) {}, second, Good},
		{"unreachable", func(e *Target) { e.Unreachable(second) }, second + firstPause/2, Down},
		{"unreachable, after the pause", func(e *Target) { e.Unreachable(second) }, second + firstPause, Good},
		{"pause doubles", func(e *Target) { e.Unreachable(second); e.Unreachable(second + firstPause) }, second + 2*firstPause, Down},
		{"an answer ends a pause", func(e *Target) { e.Unreachable(second); e.Worked(second) }, second, Good},
		{"failures", func(e *Target) { e.Failed(second); e.Failed(second); e.Failed(second) }, second, Doubtful},
		{"one failure", func(e *Target) { e.Failed(second) }, second, Good},
		{"failures long ago", func(e *Target) { e.Failed(second); e.Failed(second); e.Failed(second) }, second + memory, Good},
		{"full", func(e *Target) { e.Loaded(second, Load{Running: 4, Waiting: 4, Slots: 4}) }, second, Full},
		{"full, long ago", func(e *Target) { e.Loaded(second, Load{Running: 4, Waiting: 4, Slots: 4}) }, 3 * second, Good},
	}
	for _, c := range cases {
		e := &Target{}
		c.seen(e)
		if got := e.Verdict(c.at); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against evidence about one life that is held against the next.
func TestBoardSeparatesLives(t *testing.T) {
	b := NewBoard()
	b.Of(Key{"t", 1}).Unreachable(time.Second)
	if v := b.Of(Key{"t", 2}).Verdict(time.Second); v != Good {
		t.Errorf("the next life is %s", v)
	}
	b.Keep(func(k Key) bool { return k.Life == 2 })
	if v := b.Of(Key{"t", 1}).Verdict(time.Second); v != Good {
		t.Errorf("dropped evidence still says %s", v)
	}
}

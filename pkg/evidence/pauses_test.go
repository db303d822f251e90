package evidence

import (
	"math"
	"testing"
	"time"
)

// TestPauses guards against requests to a target during its pause, and against a faulty
// answer that takes a target out of use for good.
func TestPauses(t *testing.T) {
	k, restarted := Key{Name: "t", Life: 1}, Key{Name: "t", Life: 2}
	for _, test := range []struct {
		name   string
		pauses []time.Duration // asked for at second 0
		want   time.Duration   // left at second 1
	}{
		{"none", nil, 0},
		{"running", []time.Duration{3 * time.Second}, 2 * time.Second},
		{"over", []time.Duration{time.Second}, 0},
		{"shorter later", []time.Duration{5 * time.Second, 2 * time.Second}, 4 * time.Second},
		{"longer later", []time.Duration{2 * time.Second, 5 * time.Second}, 4 * time.Second},
		{"negative", []time.Duration{-time.Second}, 0},
		{"an hour", []time.Duration{time.Hour}, MaxPause - time.Second},
		{"overflowing", []time.Duration{math.MaxInt64}, MaxPause - time.Second},
	} {
		p := NewPauses()
		for _, pause := range test.pauses {
			p.Add(0, k, pause)
		}
		if got := p.Left(time.Second, k); got != test.want {
			t.Errorf("%s: %v left, want %v", test.name, got, test.want)
		}
		if got := p.Left(time.Second, restarted); got != 0 {
			t.Errorf("%s: the next incarnation is paused for %v", test.name, got)
		}
	}
}

// TestPausesAreRemoved guards against a set that grows with every target that was ever
// paused.
func TestPausesAreRemoved(t *testing.T) {
	p := NewPauses()
	for life := range int64(10 * pauseSweepSize) {
		p.Add(time.Duration(life)*time.Second, Key{Name: "t", Life: life}, time.Second)
	}
	if n := len(p.ends); n > pauseSweepSize {
		t.Errorf("%d pauses are held, want at most %d", n, pauseSweepSize)
	}
}

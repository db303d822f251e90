package admission

import (
	"math"
	"testing"
	"time"
)

// refused returns the share of 1,000 requests with evenly spaced points that the
// gate refuses.
func refused(g *Gate, target string, rank, ranks int) float64 {
	n := 0
	for i := range 1000 {
		if !g.Admits(target, float64(i)/1000, rank, ranks) {
			n++
		}
	}
	return float64(n) / 1000
}

// Guards against refusals at targets that are not overloaded, against overloaded
// targets that refuse nothing or everything, and against refusals that continue
// after the overload.
func TestGateFollowsTheLoad(t *testing.T) {
	g := NewGate()
	steps := func(n int, load float64) {
		for range n {
			g.Step(500*time.Millisecond, map[string]Load{"t": {load, 0.2}, "calm": {0.5, 0.2}})
		}
	}
	steps(100, (busyLoad+calmLoad)/2)
	if part := refused(g, "t", 0, 1); part != 0 {
		t.Errorf("share %v refused at normal load, want 0", part)
	}
	steps(2, busyLoad+2)
	if part := refused(g, "t", 0, 1); math.Abs(part-maxGrowth) > 0.002 {
		t.Errorf("share %v refused after a second of overload, want %v", part, maxGrowth)
	}
	steps(100, busyLoad+2)
	if part := refused(g, "t", 0, 1); math.Abs(part-maxRefused) > 1e-3 {
		t.Errorf("share %v refused under lasting overload, want %v", part, maxRefused)
	}
	if part := refused(g, "calm", 0, 1); part != 0 {
		t.Errorf("share %v refused for a target with little load, want 0", part)
	}
	steps(20, 1)
	if part := refused(g, "t", 0, 1); part != 0 {
		t.Errorf("share %v refused ten seconds after the overload, want 0", part)
	}
	steps(4, busyLoad+2)
	g.Step(time.Second, nil)
	if part := refused(g, "t", 0, 1); part != 0 {
		t.Errorf("share %v refused for a target that was removed, want 0", part)
	}
}

// Guards against refusals at a target whose queue is long but whose requests
// complete in time.
func TestWorkThatEndsInTimeIsNotRefused(t *testing.T) {
	g := NewGate()
	steps := func(n int, lost float64) {
		for range n {
			g.Step(500*time.Millisecond, map[string]Load{"t": {busyLoad + 2, lost}})
		}
	}
	steps(100, maxTimedOut)
	if part := refused(g, "t", 0, 1); part != 0 {
		t.Errorf("share %v refused although few requests time out, want 0", part)
	}
	steps(100, 2*maxTimedOut)
	if part := refused(g, "t", 0, 1); part == 0 {
		t.Error("nothing refused although many requests time out")
	}
	steps(20, 0)
	if part := refused(g, "t", 0, 1); part != 0 {
		t.Errorf("share %v refused ten seconds after the last request timed out, want 0", part)
	}
}

// Guards against urgent requests that are refused while less urgent ones are sent.
func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	cases := []struct {
		part float64
		want []float64 // by rank
	}{
		{0, []float64{0, 0}},
		{0.2, []float64{0, 0.4}},
		{0.5, []float64{0, 1}},
		{0.7, []float64{0.4, 1}},
		{0.25, []float64{0, 0, 0.75}},
		{0.5, []float64{0, 0.5, 1}},
	}
	for _, c := range cases {
		g := NewGate()
		g.refusedShares["t"] = c.part
		for rank, want := range c.want {
			if got := refused(g, "t", rank, len(c.want)); math.Abs(got-want) > 0.002 {
				t.Errorf("refused share %v: share %v of rank %d refused, want %v", c.part, got, rank, want)
			}
		}
	}
}

package affinity

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func everywhere(string) bool { return true }

// targets returns n targets in each region.
func targets(perRegion map[string]int) []Target {
	var list []Target
	for region, n := range perRegion {
		for i := range n {
			list = append(list, Target{Name: fmt.Sprint(region, i), Region: region, Slots: 4})
		}
	}
	return list
}

func table(list []Target) *Table {
	rooms := map[string]int{}
	for _, t := range list {
		rooms[t.Region] += t.Slots
	}
	return NewTable(list, Splits(map[string]float64{"a": 1, "b": 1, "c": 1}, rooms))
}

// Guards against moving objects whose targets are still there.
func TestFewObjectsMoveWhenATargetLeaves(t *testing.T) {
	list := targets(map[string]int{"a": 5, "b": 5, "c": 5})
	before := table(list)
	gone := "a0"
	var rest []Target
	for _, target := range list {
		if target.Name != gone {
			rest = append(rest, target)
		}
	}
	// The split over regions is kept, so that only the target's own objects have to move.
	after := NewTable(rest, before.splits)
	for i := range 2000 {
		object := Object("s", fmt.Sprint(i))
		first, second := before.Order("a", object, everywhere)[0].Name, after.Order("a", object, everywhere)[0].Name
		if first != gone && first != second {
			t.Fatalf("object %d moved from %s to %s", i, first, second)
		}
	}
}

// Guards against regions that get more than their slots while others are idle.
func TestSplitsKeepToTheSlots(t *testing.T) {
	demand := map[string]float64{"a": 1, "b": 1, "c": 1}
	slots := map[string]int{"a": 8, "b": 40, "c": 40}
	splits := Splits(demand, slots)
	load := map[string]float64{}
	for region, split := range splits {
		sum := 0.0
		for serving, part := range split {
			load[serving] += demand[region] * part
			sum += part
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("the parts of %s add up to %v", region, sum)
		}
	}
	mean := 3.0 / 88
	for region, l := range load {
		if per := l / float64(slots[region]); per > mean*localHeadroom+1e-9 {
			t.Errorf("region %s has load %.4f for each slot, the mean is %.4f", region, per, mean)
		}
	}
	if splits["b"]["b"] != 1 {
		t.Errorf("region b has room and keeps only %.2f of its objects", splits["b"]["b"])
	}
}

// Guards against objects leaving the regions that may serve them.
func TestOrderKeepsToAllowedRegions(t *testing.T) {
	tab := table(targets(map[string]int{"a": 1, "b": 5, "c": 5}))
	for i := range 200 {
		for _, target := range tab.Order("a", Object("s", fmt.Sprint(i)), func(r string) bool { return r == "c" }) {
			if target.Region != "c" {
				t.Fatalf("target %s of region %s", target.Name, target.Region)
			}
		}
	}
	if n := len(table(nil).Order("a", 1, everywhere)); n != 0 {
		t.Errorf("%d targets of an empty table", n)
	}
}

// Guards against targets that get objects out of proportion to their slots.
func TestObjectsFollowSlots(t *testing.T) {
	list := []Target{{Name: "x", Region: "a", Slots: 2}, {Name: "y", Region: "a", Slots: 8}}
	tab := NewTable(list, Splits(map[string]float64{"a": 1}, map[string]int{"a": 10}))
	n := 0
	for i := range 10000 {
		if tab.Order("a", Object("s", fmt.Sprint(i)), everywhere)[0].Name == "y" {
			n++
		}
	}
	if n < 7800 || n > 8200 {
		t.Errorf("%d of 10000 objects are at the target with 8 of 10 slots", n)
	}
}

// Guards against busy targets that keep all their objects, and against objects
// that go to and fro.
func TestBalanceMovesObjectsOfBusyTargets(t *testing.T) {
	b := NewBalance()
	moved := func() (n int) {
		for i := range 1000 {
			if b.Moves(mix(uint64(i)), "busy", "calm") {
				n++
			}
		}
		return n
	}
	if moved() != 0 {
		t.Error("objects move without a load")
	}
	loads := map[string]float64{"busy": 1.8, "calm": 0.2}
	for range 4 {
		b.Step(500*time.Millisecond, loads)
	}
	first := moved()
	if first < 300 || first > 600 {
		t.Errorf("%d of 1000 objects moved", first)
	}
	loads["busy"] = 0.7 // neither busy nor calm
	b.Step(10*time.Second, loads)
	if n := moved(); n != first {
		t.Errorf("%d objects are moved, before %d", n, first)
	}
	loads["busy"] = 0.1
	b.Step(time.Minute, loads)
	if n := moved(); n != 0 {
		t.Errorf("%d objects are still moved", n)
	}
	loads["busy"], loads["calm"] = 2, 2
	b.Step(time.Second, loads)
	if n := moved(); n != 0 {
		t.Errorf("%d objects moved to a busy target", n)
	}
}

// Guards against averages that follow single reports or outlive their news.
func TestLoadAverage(t *testing.T) {
	var a LoadAverage
	a.Add(time.Second, 10)
	a.Add(time.Second+100*time.Millisecond, 0)
	if v := a.Value(1100 * time.Millisecond); v < 8 || v > 9.5 {
		t.Errorf("average %v after one low report", v)
	}
	if v := a.Value(time.Minute); v != 0 {
		t.Errorf("average %v after a minute of silence", v)
	}
}

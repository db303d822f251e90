package affinity

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func everywhere(string) bool { return true }

// targets returns the given number of targets for each region.
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
	return NewTable(list, NewLayout(map[string]string{"za": "a", "zb": "b", "zc": "c"}, list))
}

// When a target leaves, only its own objects may move.
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
	// The layout is kept, so that only the target's own objects have to move.
	after := NewTable(rest, before.layout)
	for i := range 2000 {
		object := Object("s", fmt.Sprint(i))
		first, second := before.Order(Location{"za", "a"}, object, false, everywhere)[0].Name, after.Order(Location{"za", "a"}, object, false, everywhere)[0].Name
		if first != gone && first != second {
			t.Fatalf("object %d moved from %s to %s", i, first, second)
		}
	}
}

// No region may get a higher load per slot than the headroom allows while others are
// idle.
func TestSplitsKeepToTheSlots(t *testing.T) {
	demand := map[string]float64{"a": 1, "b": 1, "c": 1}
	slots := map[string]int{"a": 8, "b": 40, "c": 40}
	splits := Splits(demand, slots, localHeadroom)
	load := map[string]float64{}
	for region, split := range splits {
		sum := 0.0
		for serving, part := range split {
			load[serving] += demand[region] * part
			sum += part
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("the shares of region %s add up to %v, want 1", region, sum)
		}
	}
	mean := 3.0 / 88
	for region, l := range load {
		if per := l / float64(slots[region]); per > mean*localHeadroom+1e-9 {
			t.Errorf("region %s has load %.4f per slot, more than the headroom above the mean %.4f", region, per, mean)
		}
	}
	if splits["b"]["b"] != 1 {
		t.Errorf("region b has spare slots but serves only %.2f of its objects, want all", splits["b"]["b"])
	}
}

// Objects must not be served outside the allowed regions.
func TestOrderKeepsToAllowedRegions(t *testing.T) {
	tab := table(targets(map[string]int{"a": 1, "b": 5, "c": 5}))
	for i := range 200 {
		for _, target := range tab.Order(Location{"za", "a"}, Object("s", fmt.Sprint(i)), false, func(r string) bool { return r == "c" }) {
			if target.Region != "c" {
				t.Fatalf("order contains target %s of region %s, want only region c", target.Name, target.Region)
			}
		}
	}
	if n := len(table(nil).Order(Location{"za", "a"}, 1, false, everywhere)); n != 0 {
		t.Errorf("order of an empty table has %d targets, want 0", n)
	}
}

// Targets must get objects in proportion to their slots.
func TestObjectsFollowSlots(t *testing.T) {
	list := []Target{{Name: "x", Region: "a", Slots: 2}, {Name: "y", Region: "a", Slots: 8}}
	tab := NewTable(list, NewLayout(map[string]string{"za": "a"}, list))
	n := 0
	for i := range 10000 {
		if tab.Order(Location{"za", "a"}, Object("s", fmt.Sprint(i)), false, everywhere)[0].Name == "y" {
			n++
		}
	}
	if n < 7800 || n > 8200 {
		t.Errorf("%d of 10000 objects are at the target with 8 of 10 slots, want 7800 to 8200", n)
	}
}

// A busy target must move objects away, and objects must not move back and forth.
func TestBalanceMovesObjectsOfBusyTargets(t *testing.T) {
	b := NewBalancer()
	moved := func() (n int) {
		for i := range 1000 {
			if b.IsMoved(mix(uint64(i)), "busy", "calm") {
				n++
			}
		}
		return n
	}
	if moved() != 0 {
		t.Error("objects are moved before any load was reported")
	}
	loads := map[string]float64{"busy": 1.8, "calm": 0.2}
	for range 4 {
		b.Step(500*time.Millisecond, loads)
	}
	first := moved()
	if first < 300 || first > 600 {
		t.Errorf("%d of 1000 objects moved after 2 s of high load, want 300 to 600", first)
	}
	loads["busy"] = 0.7 // neither busy nor calm
	b.Step(10*time.Second, loads)
	if n := moved(); n != first {
		t.Errorf("%d objects are moved at a medium load, want the same %d as before", n, first)
	}
	loads["busy"] = 0.1
	b.Step(time.Minute, loads)
	if n := moved(); n != 0 {
		t.Errorf("%d objects are still moved after a minute of low load, want 0", n)
	}
	loads["busy"], loads["calm"] = 2, 2
	b.Step(time.Second, loads)
	if n := moved(); n != 0 {
		t.Errorf("%d objects moved to a target that is busy itself, want 0", n)
	}
}

// An average must neither follow a single report nor be used long after the last one.
func TestLoadAverage(t *testing.T) {
	var a LoadAverage
	a.Add(time.Second, 10)
	a.Add(time.Second+100*time.Millisecond, 0)
	if v := a.Value(1100 * time.Millisecond); v < 8 || v > 9.5 {
		t.Errorf("average %v after one low report, want 8 to 9.5", v)
	}
	if v := a.Value(time.Minute); v != 0 {
		t.Errorf("average %v a minute after the last report, want 0", v)
	}
}

// Large responses must not cross zones and regions while nearby targets have spare
// slots, and zones with few slots must not get too many of them.
func TestLargeAnswersStayNear(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	var list []Target
	for zone, n := range map[string]int{"a1": 1, "a2": 1, "b1": 9, "b2": 9} {
		for i := range n {
			list = append(list, Target{Name: fmt.Sprint(zone, i), Zone: zone, Region: regions[zone], Slots: 4})
		}
	}
	tab := NewTable(list, NewLayout(regions, list))
	const objects = 5000
	shares := func(caller Location, bulk bool) (zone, region float64) {
		for i := range objects {
			first := tab.Order(caller, Object("s", fmt.Sprint(i)), bulk, everywhere)[0]
			if first.Zone == caller.Zone {
				zone++
			}
			if first.Region == caller.Region {
				region++
			}
		}
		return zone / objects, region / objects
	}
	cases := []struct {
		caller       Location
		bulk         bool
		zone, region float64
	}{
		{Location{"b1", "b"}, false, 0.5, 1},
		{Location{"b1", "b"}, true, 1, 1},
		// Zone a1 has a twentieth of the slots and a quarter of the callers. It serves
		// bulkHeadroom times its fair share, which is a fifth, of the objects that its
		// region serves. The rest of those is divided over both zones of the region.
		{Location{"a1", "a"}, false, 0.11, 0.22},
		{Location{"a1", "a"}, true, 0.4 * (0.4 + 0.6/2), 0.4},
	}
	for _, c := range cases {
		zone, region := shares(c.caller, c.bulk)
		if math.Abs(zone-c.zone) > 0.03 || math.Abs(region-c.region) > 0.03 {
			t.Errorf("callers of %s, bulk %v: %.2f in the zone and %.2f in the region, want %.2f and %.2f", c.caller.Zone, c.bulk, zone, region, c.zone, c.region)
		}
	}
}

package partition

import (
	"testing"
	"time"
)

// Guards against a host that takes the loss of some targets, or of a zone of them, for a
// partition of its own, and against one that does not notice that it reaches none.
func TestDetector(t *testing.T) {
	many := Known{Targets: 30, Zones: 6}
	type step struct {
		at           time.Duration
		target, zone string // of a failure; a step without a target is a success
		want         Change
	}
	for _, x := range []struct {
		name  string
		known Known
		steps []step
	}{
		{"three targets of two zones", many, []step{{0, "a", "1", None}, {1, "b", "1", None}, {2, "c", "2", Cut}, {3, "d", "2", None}, {4, "", "", Healed}, {5, "", "", None}}},
		{"one target again and again", many, []step{{0, "a", "1", None}, {1, "a", "1", None}, {2, "a", "1", None}, {3, "a", "1", None}}},
		{"a zone of targets", many, []step{{0, "a", "1", None}, {1, "b", "1", None}, {2, "c", "1", None}, {3, "d", "1", None}}},
		{"a success in between", many, []step{{0, "a", "1", None}, {1, "b", "2", None}, {2, "", "", None}, {3, "c", "3", None}, {4, "d", "4", None}}},
		{"failures long ago", many, []step{{0, "a", "1", None}, {1, "b", "2", None}, {failureWindow + 2, "c", "3", None}}},
		{"two targets in all", Known{Targets: 2, Zones: 1}, []step{{0, "a", "1", None}, {1, "b", "1", Cut}}},
		{"one target in all", Known{Targets: 1, Zones: 1}, []step{{0, "a", "1", None}, {1, "a", "1", None}}},
		{"one zone in all", Known{Targets: 9, Zones: 1}, []step{{0, "a", "1", None}, {1, "b", "1", None}, {2, "c", "1", Cut}}},
	} {
		d := New()
		for i, s := range x.steps {
			got := None
			if s.target == "" {
				got = d.Reached()
			} else {
				got = d.Failed(s.at, s.target, s.zone, x.known)
			}
			if got != s.want {
				t.Errorf("%s, step %d: change %d, want %d", x.name, i, got, s.want)
			}
		}
	}
}

// Guards against a flood of attempts at the end of a partition, and against none at all.
func TestProbes(t *testing.T) {
	d := New()
	if d.Probe(time.Hour) {
		t.Error("a host that is not cut off probes")
	}
	d.Failed(0, "a", "1", Known{Targets: 2, Zones: 1})
	d.Failed(0, "b", "1", Known{Targets: 2, Zones: 1})
	probes := 0
	for now := time.Duration(0); now <= 10*probeInterval; now += probeInterval / 50 {
		if d.Probe(now) {
			probes++
		}
	}
	if probes != 10 {
		t.Errorf("%d probes in ten intervals, want 10", probes)
	}
	d.Reached()
	if d.Probe(time.Hour) {
		t.Error("a host that reaches targets again probes")
	}
}

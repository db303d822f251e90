package zonelease

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "300"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against two coordinators at the same time under lost, duplicated, late
// and reordered messages, frozen and restarted hosts, clocks whose speed is off
// by up to 4%, and changes of the voter list.
func TestAtMostOneHolder(t *testing.T) {
	elected := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork([]string{"a", "b", "c"}, rapid.Int64Range(1, 1<<40).Draw(t, "seed"))
		n.lists = append(n.lists, []string{"a", "b", "c", "d"}, []string{"b", "c", "d"}, []string{"b", "c", "d", "e"})
		n.add("d", 1)
		n.add("e", 1)
		for _, h := range n.sorted() {
			n.nodes[h].speed = rapid.SampledFrom([]float64{0.96, 1, 1.04}).Draw(t, "speed "+h)
		}
		n.runUntil(4*time.Second, func() bool { return len(n.holders()) > 0 })
		pick := func(t *rapid.T) *node { return n.nodes[rapid.SampledFrom(n.sorted()).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				n.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
			},
			"tick all": func(t *rapid.T) {
				for _, h := range n.sorted() {
					n.tick(n.nodes[h])
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "count") {
					if len(n.inFlight) == 0 {
						return
					}
					i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
					n.deliver(i, rapid.IntRange(0, 9).Draw(t, "double") == 0)
				}
			},
			"lose": func(t *rapid.T) {
				if len(n.inFlight) > 0 {
					i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
					n.inFlight = slices.Delete(n.inFlight, i, i+1)
				}
			},
			"freeze or thaw": func(t *rapid.T) { d := pick(t); d.frozen = !d.frozen },
			"restart":        func(t *rapid.T) { n.restart(pick(t)) },
			"release": func(t *rapid.T) {
				if d := pick(t); d.candidate.Holds(n.clock(d)) {
					n.send(d, d.candidate.StepDown(n.clock(d)))
				}
			},
			"new list at a host": func(t *rapid.T) {
				if d := pick(t); d.version == n.current && n.current+1 < len(n.lists) {
					d.version++
				}
			},
			"next list": func(t *rapid.T) {
				for _, d := range n.nodes {
					if d.version == n.current {
						return
					}
				}
				n.current++
			},
			"": func(t *rapid.T) {
				all := n.holders()
				elected += len(all)
				if len(all) > 1 {
					t.Fatalf("at %v more than one host holds the lease: %v", n.now, all)
				}
			},
		})
	})
	if elected == 0 {
		t.Fatal("no host ever held the lease, so exclusion was not tested")
	}
}

package zone

import (
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Guards against a zone that stops serving its own targets when it is cut off from
// all others, in both directions or in one, and against a region whose requests
// wait for the zone that is cut off.
func TestZoneCutOff(t *testing.T) {
	inA := func(name string) bool { return strings.HasPrefix(name, "a") }
	outsideA := func(name string) bool { return !inA(name) }
	for name, cut := range map[string]struct{ fromA, toA bool }{
		"both ways": {true, true}, "outgoing only": {true, false}, "incoming only": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, "a", "b")
			c.coordinator("a")
			c.coordinator("b")
			c.announce(c.hosts["a1"], "10.1.0.1:80", 1)
			c.announce(c.hosts["b1"], "10.2.0.1:80", 1)
			for _, h := range c.hosts {
				if h.az == "a" && cut.fromA {
					c.cut(h, outsideA)
				}
				if h.az != "a" && cut.toA {
					c.cut(h, inA)
				}
			}
			for _, host := range []string{"a0", "b0"} {
				for range 3 {
					p, err := c.acquire(c.hosts[host], longTimeout, true)
					if err != nil {
						t.Fatalf("host %s got no slot: %v", host, err)
					}
					p.Release(slots.OutcomeDone)
				}
			}
		})
	}
}

// Guards against grants of a coordinator that was cut off for longer than its
// lease, against a region whose requests wait for that zone, and against a zone
// that does not recover when the host is back.
func TestCoordinatorSilentAndBack(t *testing.T) {
	c := newCluster(t, 3, "a", "b")
	first := c.coordinator("a")
	c.coordinator("b")
	var other *testHost
	for _, h := range c.hosts {
		if h.az == "a" && h != first {
			other = h
		}
	}
	c.announce(other, "10.1.0.1:80", 1)
	c.announce(c.hosts["b0"], "10.2.0.1:80", 1)
	held, err := c.acquire(first, longTimeout, false)
	if err != nil || held.Target != "10.1.0.1:80" {
		t.Fatalf("got %+v, %v, want the slot of the host's own zone", held, err)
	}
	for _, h := range c.hosts {
		if h == first {
			c.cut(h, func(string) bool { return true })
		} else {
			c.cut(h, func(name string) bool { return name == first.name })
		}
	}
	c.eventually("another host coordinates", func() bool {
		for _, h := range c.hosts {
			if own, _ := h.lease(); h.az == "a" && h != first && own != nil {
				return true
			}
		}
		return false
	})
	if own, _ := first.lease(); own != nil {
		t.Fatal("the coordinator that is cut off still holds its lease")
	}
	p, err := c.acquire(other, longTimeout, false)
	if err != nil || p.Target != "10.2.0.1:80" {
		t.Fatalf("got %+v, %v, want the slot of zone b while zone a recovers", p, err)
	}
	for _, h := range c.hosts {
		h.bundle.Store(c.bundle())
	}
	next := c.coordinator("a")
	if f := c.stats(next); f.Outstanding != 1 {
		t.Fatalf("the new coordinator counts %+v, want the slot held by the host that was cut off", f)
	}
	held.Release(slots.OutcomeDone)
	if p, err = c.acquire(other, longTimeout, false); err != nil || p.Target != "10.1.0.1:80" {
		t.Fatalf("got %+v, %v, want the slot of zone a", p, err)
	}
}

package zone

import (
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Guards against a zone that stops serving its own targets when it is cut off
// from all others, both ways or one way, and against a region that waits for
// the missing zone.
func TestZoneCutOff(t *testing.T) {
	inA := func(name string) bool { return strings.HasPrefix(name, "a") }
	outsideA := func(name string) bool { return !inA(name) }
	for name, cut := range map[string]struct{ fromA, toA bool }{
		"both ways": {true, true}, "outgoing only": {true, false}, "incoming only": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, "a", "b")
			c.coordinator("a", "")
			c.coordinator("b", "")
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
					p, err := c.acquire(c.hosts[host], long, true)
					if err != nil {
						t.Fatalf("%s: %v", host, err)
					}
					p.Release(slots.OutcomeDone)
				}
			}
		})
	}
}

package zone

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Guards against a slot granted twice across a failover, a queued request that is
// lost with its coordinator, and a stream ended by a planned stop of the
// coordinator.
func TestFailover(t *testing.T) {
	for name, stop := range map[string]func(*cluster, *testHost){
		"killed":               (*cluster).kill,
		"stops gracefully":     func(_ *cluster, h *testHost) { h.Leave() },
		"killed and restarted": func(c *cluster, h *testHost) { c.kill(h); c.restart(h) },
	} {
		t.Run("coordinator "+name, func(t *testing.T) {
			c := newCluster(t, 3, "a")
			first := c.coordinator("a")
			var others []*testHost
			for _, h := range c.hosts {
				if h != first {
					others = append(others, h)
				}
			}
			c.announce(others[0], "10.1.0.1:80", 1)
			held, err := c.acquire(others[0], longTimeout, false)
			if err != nil {
				t.Fatal(err)
			}
			held.Started()
			got := make(chan *Permit, 1)
			go func() {
				p, _ := c.acquire(others[1], 50*time.Second, false)
				got <- p
			}()
			stop(c, first)
			next := c.coordinator("a")
			c.eventually("the target's new announcement", func() bool { return c.stats(next).Targets == 1 })
			if f := c.stats(next); f.Outstanding != 1 || f.Free != 0 {
				t.Fatalf("the new coordinator counts %+v, want the held slot outstanding and none free", f)
			}
			select {
			case <-held.Lost():
				t.Fatal("the stream was ended by the failover")
			case p := <-got:
				t.Fatalf("the held slot was granted again: %+v", p)
			default:
			}
			held.Release(slots.OutcomeDone)
			if p := <-got; p == nil || !p.Usable(time.Now()) {
				t.Fatalf("the queued request got %+v, want a usable permit", p)
			}
		})
	}
}

// Guards against requests that fail because a region was lost although another one
// has free slots, against grants from the lost region, and against a region that is
// not used again after its return.
func TestRegionLostAndReturned(t *testing.T) {
	c := newCluster(t, 1, "a", "c")
	c.coordinator("a")
	c.coordinator("c")
	c.announce(c.hosts["a0"], "10.1.0.1:80", 1)
	c.announce(c.hosts["c0"], "10.3.0.1:80", 1)
	own, err := c.acquire(c.hosts["a0"], longTimeout, true)
	if err != nil {
		t.Fatal(err)
	}
	c.kill(c.hosts["c0"])
	if p, err := c.acquire(c.hosts["a0"], time.Second, true); err == nil {
		t.Fatalf("got %+v although the other region is down, want a refusal", p)
	}
	c.restart(c.hosts["c0"])
	p, err := c.acquire(c.hosts["a0"], longTimeout, true)
	if err != nil || p.Region != "r2" {
		t.Fatalf("got %+v, %v, want a slot of the returned region", p, err)
	}
	own.Release(slots.OutcomeDone)
	if p, err = c.acquire(c.hosts["a0"], longTimeout, true); err != nil || p.Region != "r1" {
		t.Fatalf("got %+v, %v, want a slot of the host's own region", p, err)
	}
}

// Guards against look-ups that still name a leaving host, in its own and in other
// zones.
func TestLeavingIsSeenEverywhere(t *testing.T) {
	c := newCluster(t, 2, "a", "b")
	c.coordinator("a")
	c.coordinator("b")
	leaving := func(at string) func() bool {
		return func() bool {
			for _, h := range c.hosts[at].View().Hosts {
				if h.Name == "a0" {
					return h.Leaving && h.Spare == 0
				}
			}
			return false
		}
	}
	c.hosts["a0"].Leave()
	for _, at := range []string{"a0", "a1", "b0", "b1"} {
		c.eventually("a0 is seen leaving at "+at, leaving(at))
	}
}

package zonelease

import (
	"testing"
	"time"
)

// failoverLimit is the longest failover that the design allows (about 2.5 s).
const failoverLimit = 2500 * time.Millisecond

// handOverLimit is the delay of the last of five candidates plus two ticks:
// after a release no candidate waits for the old lease to expire.
const handOverLimit = 5*rankDelay + 20*time.Millisecond

// Guards against zones that stay without a coordinator after a fault, and
// against a planned stop that waits for the lease to end.
func TestFailover(t *testing.T) {
	cases := []struct {
		name  string
		fault func(n *network, holder *node)
		limit time.Duration
	}{
		{"holder killed", func(n *network, d *node) { d.dead = true }, failoverLimit},
		{"holder frozen", func(n *network, d *node) { d.frozen = true }, failoverLimit},
		{"holder restarted", func(n *network, d *node) { n.restart(d) }, failoverLimit},
		{"holder leaves the voter list", func(n *network, d *node) {
			n.lists = append(n.lists, without(n.lists[0], d.host))
			for _, o := range n.nodes {
				o.version = 1
			}
		}, RenewInterval + handOverLimit}, // the holder leaves the list before its next tick
		{"holder and one voter killed", func(n *network, d *node) {
			d.dead = true
			for _, o := range n.nodes {
				if o != d {
					o.dead = true
					return
				}
			}
		}, failoverLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork([]string{"a", "b", "c", "d", "e"}, 1)
			n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
			first := n.nodes[n.holders()[0]]
			self := first.candidate.Self()
			c.fault(n, first)
			other := func() bool {
				all := n.holders()
				return len(all) > 0 && n.nodes[all[0]].candidate.Self() != self
			}
			if took := n.runUntil(10*time.Second, other); took > c.limit {
				t.Fatalf("no other coordinator for %v of simulated time, limit %v", took, c.limit)
			}
		})
	}
}

// Guards against a planned stop after which the others wait for the old lease.
// The stop comes at any phase of the others' timers.
func TestHandOver(t *testing.T) {
	for phase := range 50 {
		n := newNetwork([]string{"a", "b", "c"}, 1)
		n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
		first := n.nodes[n.holders()[0]]
		n.runUntil(time.Duration(phase)*10*time.Millisecond, func() bool { return false })
		n.send(first, first.candidate.Release())
		took := n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
		if took > handOverLimit {
			t.Fatalf("stop at phase %d: no coordinator for %v, limit %v", phase, took, handOverLimit)
		}
	}
}

func without(list []string, host string) []string {
	var rest []string
	for _, h := range list {
		if h != host {
			rest = append(rest, h)
		}
	}
	return rest
}

// Guards against terms that decrease when all voters of a zone restart at once
// and lose the earlier terms.
func TestTermsRiseWhenTheZoneRestarts(t *testing.T) {
	n := newNetwork([]string{"a", "b", "c"}, 1)
	n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
	before := n.nodes[n.holders()[0]].candidate.Term()
	for _, d := range n.nodes {
		n.restart(d)
		d.offset = 5 * time.Second // not behind the clock of any earlier process
	}
	n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
	if after := n.nodes[n.holders()[0]].candidate.Term(); after <= before {
		t.Fatalf("term is %d after the restart, want more than %d", after, before)
	}
}

// Guards against a voter that grants a late renewal to a coordinator that has
// already released its lease.
func TestReleaseOvertakesRenewal(t *testing.T) {
	start := time.Unix(1000, 0)
	v := NewVoter(start)
	now := start.Add(LeaseDuration)
	v.Handle(now, Request{Candidate: "a/1", Term: 7, Release: true})
	if v.Handle(now, Request{Candidate: "a/1", Term: 7, Round: 3}).Granted {
		t.Fatal("a renewal that arrived after the release of its term was granted")
	}
	if !v.Handle(now, Request{Candidate: "b/1", Term: 8, Round: 1}).Granted {
		t.Fatal("the next candidate was refused after the release")
	}
}

// Guards against a coordinator that keeps its lease although it cannot reach a
// majority. An isolated host must lose the lease, and must not disturb the zone
// when it is connected again.
func TestIsolatedHolder(t *testing.T) {
	n := newNetwork([]string{"a", "b", "c"}, 1)
	n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
	first := n.nodes[n.holders()[0]]
	for range 100 { // the holder keeps ticking, but all its messages are lost
		n.now += 30 * time.Millisecond
		n.tick(first)
		n.inFlight = nil
	}
	if first.candidate.Holds(n.clock(first)) {
		t.Fatal("an isolated host still holds the lease")
	}
	n.runUntil(10*time.Second, func() bool { return len(n.holders()) == 1 })
	second := n.holders()[0]
	n.runUntil(3*time.Second, func() bool { return len(n.holders()) != 1 || n.holders()[0] != second })
	if all := n.holders(); len(all) != 1 || all[0] != second {
		t.Fatalf("holders are %v after the isolated host is back, want only %s", all, second)
	}
}

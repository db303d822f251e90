package zonelease

import (
	"testing"
	"time"
)

// networkWithLateReplies returns a network whose lease holder, a, was cut off right
// after the voters granted its renewal. The replies are returned undelivered.
func networkWithLateReplies(speeds map[string]float64) (n *network, first *node, replies []message) {
	n = newNetwork([]string{"a", "b", "c"}, 1)
	for h, speed := range speeds {
		n.nodes[h].speed = speed
	}
	first = n.nodes["a"]
	for !first.candidate.Holds(n.clock(first)) {
		n.now += 10 * time.Millisecond
		n.tick(first)
		for len(n.inFlight) > 0 {
			n.deliver(0, false)
		}
	}
	for len(n.inFlight) == 0 { // until its next renewal
		n.now += 10 * time.Millisecond
		n.tick(first)
	}
	for range n.lists[0] {
		n.deliver(0, false)
	}
	replies, n.inFlight = n.inFlight, nil
	return n, first, replies
}

// runWithout runs all hosts but first and checks at every step that at most one
// host holds the lease.
func runWithout(t *testing.T, n *network, first *node, steps int) {
	t.Helper()
	for range steps {
		n.now += 10 * time.Millisecond
		for _, h := range n.sorted() {
			if h != first.host {
				n.tick(n.nodes[h])
			}
		}
		for i := 0; i < len(n.inFlight); {
			if n.inFlight[i].to == first.host {
				i++ // cut off
				continue
			}
			n.deliver(i, false)
		}
		if all := n.holders(); len(all) > 1 {
			t.Fatalf("at %v more than one host holds the lease: %v", n.now, all)
		}
	}
	if len(n.holders()) == 0 {
		t.Fatal("no other host was elected, so exclusion was not tested")
	}
}

// Guards against a lease counted from the arrival of the replies instead of the
// sending of the request, and against a lease that outlasts the voters' promises
// because the holder's clock is slower than theirs.
func TestLateReplies(t *testing.T) {
	cases := []struct {
		name   string
		delay  time.Duration
		speeds map[string]float64
	}{
		{"replies in time", 0, nil},
		{"replies 1.7 s late", 1700 * time.Millisecond, nil},
		{"slow clock at the holder", 0, map[string]float64{"a": 0.96, "b": 1.04, "c": 1.04}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, first, replies := networkWithLateReplies(c.speeds)
			n.now += c.delay
			for _, m := range replies {
				first.candidate.Handle(n.clock(first), m.from, m.request.Round, *m.reply)
			}
			grantToRival(t, n, first)
		})
	}
}

// grantToRival requests the votes of the other two voters, a majority, until both
// have granted them at the earliest possible time. The holder's lease must have
// ended by then.
func grantToRival(t *testing.T, n *network, first *node) {
	t.Helper()
	granted := map[string]bool{}
	for len(granted) < 2 {
		n.now += 10 * time.Millisecond
		for _, h := range n.sorted() {
			if h == first.host || granted[h] {
				continue
			}
			r := Request{Candidate: "x/1", Term: first.candidate.Term() + 1}
			granted[h] = n.nodes[h].voter.Handle(n.clock(n.nodes[h]), r).Granted
			if !granted[h] {
				delete(granted, h)
			}
		}
	}
	if first.candidate.Holds(n.clock(first)) {
		t.Fatalf("at %v another candidate has a majority while %s still holds the lease", n.now, first.host)
	}
}

// Guards against a candidate that counts grants arriving after it released its
// votes, at the end of an election or at a planned stop.
func TestGrantsAfterRelease(t *testing.T) {
	cases := []struct {
		name string
		give func(n *network, d *node)
	}{
		{"planned stop", func(n *network, d *node) { n.send(d, d.candidate.Release()) }},
		{"step down", func(n *network, d *node) { n.send(d, d.candidate.StepDown(n.clock(d))) }},
		{"election timed out", func(n *network, d *node) {
			n.now += electionTimeout
			n.tick(d)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork([]string{"a", "b", "c"}, 1)
			n.now = LeaseDuration + time.Second
			first := n.nodes["a"]
			n.tick(first)
			for range n.lists[0] {
				n.deliver(0, false)
			}
			replies := n.inFlight
			n.inFlight = nil
			c.give(n, first)
			for range n.lists[0] {
				n.deliver(0, false)
			}
			n.inFlight = nil
			for _, m := range replies {
				first.candidate.Handle(n.clock(first), m.from, m.request.Round, *m.reply)
			}
			if first.candidate.Holds(n.clock(first)) {
				t.Fatal("the candidate holds a lease that it has released")
			}
			runWithout(t, n, first, 100)
		})
	}
}

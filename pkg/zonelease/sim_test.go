package zonelease

import (
	"fmt"
	"math/rand"
	"time"
)

// node is a host with a voter, a candidate and a clock with its own speed and offset.
type node struct {
	host        string
	incarnation int
	voter       *Voter
	candidate   *Candidate
	speed       float64
	offset      time.Duration
	version     int // of the voter list
	frozen      bool
	dead        bool
}

// message is a vote request or its reply in flight.
type message struct {
	from, to string
	self     string // candidate that asked
	request  Request
	reply    *Reply
}

// network runs nodes in simulated time. Tests lose, duplicate, delay and reorder
// its messages.
type network struct {
	now      time.Duration
	nodes    map[string]*node
	lists    [][]string // versions of the voter list; neighbours differ by one host
	current  int        // nodes use this version or the next
	inFlight []message
	random   *rand.Rand
}

func newNetwork(hosts []string, seed int64) *network {
	n := &network{nodes: map[string]*node{}, lists: [][]string{hosts}, random: rand.New(rand.NewSource(seed))}
	for _, h := range hosts {
		n.add(h, 1)
	}
	return n
}

func (n *network) add(host string, speed float64) *node {
	d := &node{host: host, speed: speed, offset: time.Duration(n.random.Intn(5000)) * time.Millisecond}
	n.nodes[host] = d
	n.restart(d)
	return d
}

func (n *network) restart(d *node) {
	d.incarnation++
	d.dead, d.frozen = false, false
	d.voter = NewVoter(n.clock(d))
	d.candidate = NewCandidate(d.host, fmt.Sprint(d.incarnation), n.random.Float64)
}

func (n *network) clock(d *node) time.Time {
	return time.Unix(1000, 0).Add(d.offset + time.Duration(float64(n.now)*d.speed))
}

func (n *network) tick(d *node) {
	if d.frozen || d.dead {
		return
	}
	d.candidate.SetVoters(n.lists[d.version])
	now := n.clock(d)
	for _, r := range d.candidate.Tick(now, d.voter.PromisedToOther(now, d.candidate.Self())) {
		n.send(d, r)
	}
}

func (n *network) send(d *node, r Request) {
	for _, to := range n.lists[d.version] {
		n.inFlight = append(n.inFlight, message{from: d.host, to: to, self: d.candidate.Self(), request: r})
	}
}

// deliver hands message i to its receiver. The message stays in flight if keep is
// set or the receiver is frozen.
func (n *network) deliver(i int, keep bool) {
	m := n.inFlight[i]
	to, ok := n.nodes[m.to]
	if ok && to.frozen {
		return
	}
	if !keep {
		n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
	}
	switch {
	case !ok || to.dead:
	case m.reply != nil:
		if to.candidate.Self() == m.self {
			to.candidate.Handle(n.clock(to), m.from, m.request.Round, *m.reply)
		}
	default:
		reply := to.voter.Handle(n.clock(to), m.request)
		if m.request.Release {
			to.candidate.Wake(n.clock(to))
			return
		}
		n.inFlight = append(n.inFlight, message{from: m.to, to: m.from, self: m.self, request: m.request, reply: &reply})
	}
}

// runUntil runs the nodes, delivering messages at once, until done returns true or
// the limit has passed. It returns the simulated time it took.
func (n *network) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now-start < limit && !done() {
		for _, host := range n.sorted() {
			n.tick(n.nodes[host])
		}
		for i := 0; i < len(n.inFlight); {
			before := len(n.inFlight)
			n.deliver(i, false)
			if len(n.inFlight) == before && n.frozenTo(i) {
				i++
			}
		}
		n.now += 10 * time.Millisecond
	}
	return n.now - start
}

func (n *network) frozenTo(i int) bool {
	return i < len(n.inFlight) && n.nodes[n.inFlight[i].to] != nil && n.nodes[n.inFlight[i].to].frozen
}

func (n *network) sorted() []string {
	var all []string
	for _, h := range []string{"a", "b", "c", "d", "e"} {
		if n.nodes[h] != nil {
			all = append(all, h)
		}
	}
	return all
}

// holders returns the hosts that consider themselves coordinator at this instant.
func (n *network) holders() []string {
	var all []string
	for _, h := range n.sorted() {
		if d := n.nodes[h]; !d.dead && d.candidate.Holds(n.clock(d)) {
			all = append(all, h)
		}
	}
	return all
}

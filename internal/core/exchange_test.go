package core

import (
	"slices"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// newBareNode returns a node that has tables but no group and no network.
func newBareNode() *Node {
	n := &Node{targets: roster.New(time.Hour), entries: newEntryTable(), direct: newDirectLog(), changed: newNotifier(), start: time.Now()}
	n.otherControls = newControlTable(n.self, nil)
	return n
}

// hear records an announcement at time now.
func (n *Node) hear(now time.Duration, a roster.Announcement) {
	n.direct.record(a.Name, now, n.targets.Apply(now, roster.Report{Announcement: a}))
}

// Guards against exchanges that carry the full announcement of every target, and
// against control hosts that never receive a change.
func TestUnchangedTargetsAreToldInShort(t *testing.T) {
	n := newBareNode()
	a := roster.Announcement{Name: "t", Life: 1, Sequence: 1, Service: "s", Address: "x:1", Zone: "z", Slots: 2}
	sentUpTo := time.Duration(0)
	steps := []struct {
		name        string
		at          time.Duration
		change      func()
		full, short int
	}{
		{"the first announcement", 1 * time.Second, func() {}, 1, 0},
		{"an unchanged one", 2 * time.Second, func() { a.Sequence++ }, 0, 1},
		{"one with other slots", 3 * time.Second, func() { a.Sequence++; a.Slots = 3 }, 1, 0},
		{"an unchanged one after the time for a refresh", 3*time.Second + refreshAfter + 1, func() { a.Sequence++ }, 1, 0},
	}
	for _, s := range steps {
		s.change()
		n.hear(s.at, a)
		m := n.exchangeSince(sentUpTo, s.at)
		if len(m.Targets) != s.full || len(m.Beats) != s.short {
			t.Errorf("%s: %d targets in full and %d in short, want %d and %d", s.name, len(m.Targets), len(m.Beats), s.full, s.short)
		}
		sentUpTo = s.at
	}
	if m := n.exchangeSince(sentUpTo, sentUpTo); len(m.Targets)+len(m.Beats) != 0 {
		t.Error("the same announcement is sent twice")
	}
}

// Guards against a restarted control host that never receives the targets of which
// the others send it only heartbeats.
func TestUnknownTargetsAreToldInFull(t *testing.T) {
	sender, receiver := newBareNode(), newBareNode()
	a := roster.Announcement{Name: "t", Life: 1, Sequence: 1, Service: "s", Address: "x:1", Zone: "z", Slots: 2}
	sender.hear(time.Second, a)
	a.Sequence++
	sender.hear(2*time.Second, a)
	reply, err := receiver.handleExchange(t.Context(), "", sender.exchangeSince(time.Second, 2*time.Second))
	if err != nil || !slices.Equal(reply.Unknown, []string{"t"}) {
		t.Fatalf("unknown targets %v, %v", reply.Unknown, err)
	}
	sender.direct.refresh("t", 3*time.Second)
	m := sender.exchangeSince(2*time.Second, 3*time.Second)
	if reply, err = receiver.handleExchange(t.Context(), "", m); err != nil || len(reply.Unknown) > 0 {
		t.Fatalf("unknown targets %v, %v", reply.Unknown, err)
	}
	if got, ok := receiver.targets.Find("t"); !ok || got.Sequence != 2 || got.Address != "x:1" {
		t.Errorf("the receiver holds %+v, want sequence 2 and address x:1", got)
	}
}

// Guards against entry hosts that a control host considers silent although it receives
// their heartbeats, or that it never gets to know.
func TestUnchangedEntryHostsAreToldInShort(t *testing.T) {
	sender, receiver := newBareNode(), newBareNode()
	sentUpTo := time.Duration(0)
	exchange := func(at time.Duration, e fleet.Entry) (full, short int) {
		sender.entries.record(at, 0, e, true)
		m := sender.exchangeSince(sentUpTo, at)
		sentUpTo = at
		reply, err := receiver.handleExchange(t.Context(), "", m)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range reply.UnknownEntries {
			sender.entries.refresh(at+1, name)
		}
		return len(m.Entries), len(m.Alive)
	}
	e := fleet.Entry{Name: "e", Front: "x:1", Zone: "z", Ready: true, Started: 5}
	steps := []struct {
		name        string
		change      func()
		full, short int
	}{
		{"the first call", func() {}, 1, 0},
		{"an unchanged one", func() {}, 0, 1},
		{"one that is not ready", func() { e.Ready = false }, 1, 0},
		{"a new start", func() { e.Started++ }, 1, 0},
		{"one after the receiver has started again", func() { receiver = newBareNode() }, 0, 1},
		{"the next", func() {}, 1, 0},
	}
	for i, s := range steps {
		s.change()
		if full, short := exchange(time.Duration(i+1)*time.Second, e); full != s.full || short != s.short {
			t.Errorf("%s: %d in full and %d in short, want %d and %d", s.name, full, short, s.full, s.short)
		}
	}
	if live := receiver.entries.live(receiver.now()); len(live) != 1 || live[0] != e {
		t.Errorf("the receiver holds %+v, want the sent entry host alone", live)
	}
}

// Guards against exchanges whose replies repeat the list of control hosts several times a
// second over the links between regions, and against control hosts that never learn of
// each other.
func TestControlHostsAreToldOnlyOnceKnown(t *testing.T) {
	control := func(peer string) fleet.Control { return fleet.Control{Peer: peer, Zone: "z" + peer, Region: "r"} }
	sender, receiver := newBareNode(), newBareNode()
	for peer, n := range map[string]*Node{"a": sender, "b": receiver} {
		n.self = control(peer)
		n.otherControls = newControlTable(n.self, nil)
	}
	receiver.otherControls.heard(0, control("c"))
	for i, want := range []int{3, 0, 0} { // the first reply lists a, b and c
		now := time.Duration(i) * time.Second
		reply, err := receiver.handleExchange(t.Context(), "", sender.exchangeSince(0, now))
		if err != nil || len(reply.Controls) != want {
			t.Fatalf("reply %d lists %v, error %v, want %d control hosts", i, reply.Controls, err, want)
		}
		for _, c := range reply.Controls {
			sender.otherControls.learn(now, c)
		}
	}
	earlier := sender.exchangeSince(0, 3*time.Second)
	earlier.Controls = 0 // as a sender of an earlier version
	if reply, err := receiver.handleExchange(t.Context(), "", earlier); err != nil || len(reply.Controls) != 3 {
		t.Errorf("a sender without a digest is told %v, error %v, want all three", reply.Controls, err)
	}
}

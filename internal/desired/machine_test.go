package desired

import (
	"slices"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

func apply(t *testing.T, m *Machine, index uint64, c Command) {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(index, data)
}

func document(v policy.Version, body string) Command {
	return Command{Document: &Document{Version: v, Body: []byte(body)}}
}

// Guards against a lower or equal version that replaces the document in force.
func TestHighestVersionIsInForce(t *testing.T) {
	m := New(nil)
	apply(t, m, 1, document(4, "four"))
	apply(t, m, 2, document(2, "two"))
	apply(t, m, 3, document(4, "other"))
	if s, _ := m.State(); s.Document.Version != 4 || string(s.Document.Body) != "four" {
		t.Errorf("version %d with body %q is in force, want the first version 4", s.Document.Version, s.Document.Body)
	}
	apply(t, m, 4, document(9, "nine"))
	if s, _ := m.State(); string(s.Document.Body) != "nine" || s.Index != 4 {
		t.Errorf("body %q as of index %d is in force, want that of index 4", s.Document.Body, s.Index)
	}
}

// Guards against orders that a restarted group applies a second time.
func TestReplayChangesNothing(t *testing.T) {
	m := New(nil)
	orders := []Command{{Evacuate: "b"}, {Evacuate: "a"}, {Evacuate: "b"}, {Readmit: "b"}, {Departure: &Departure{Name: "t", Life: 2}}}
	for i, c := range orders {
		apply(t, m, uint64(i+1), c)
	}
	want, _ := m.State()
	if !slices.Equal(want.Orders.Evacuated, []string{"a"}) || !want.HasDeparture(Departure{Name: "t", Life: 1}) || want.HasDeparture(Departure{Name: "t", Life: 3}) {
		t.Fatalf("unexpected state after the orders: %+v", want)
	}
	for i, c := range orders {
		apply(t, m, uint64(i+1), c)
		if s, _ := m.State(); s.Index != want.Index || slices.Contains(s.Orders.Evacuated, "b") {
			t.Fatalf("entry %d was applied again: %+v", i+1, s)
		}
	}
}

// Guards against state that is missing in a snapshot, and against an old snapshot
// that overwrites newer state.
func TestSnapshot(t *testing.T) {
	m := New(nil)
	apply(t, m, 1, document(1, "one"))
	apply(t, m, 2, Command{Evacuate: "a"})
	old := m.Snapshot()
	apply(t, m, 3, Command{Departure: &Departure{Name: "t", Life: 7}})
	notified := 0
	fresh := New(func(Command) { notified++ })
	if err := fresh.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	s, _ := fresh.State()
	if s.Document.Version != 1 || !slices.Contains(s.Orders.Evacuated, "a") || !s.HasDeparture(Departure{Name: "t", Life: 7}) || notified != 1 {
		t.Errorf("restored %+v with %d notified departures, want 1", s, notified)
	}
	if err := fresh.Restore(old); err != nil {
		t.Fatal(err)
	}
	if s, _ := fresh.State(); !s.HasDeparture(Departure{Name: "t", Life: 7}) {
		t.Error("an older snapshot removed a departure")
	}
	if err := fresh.Restore([]byte("x")); err == nil {
		t.Error("a malformed snapshot was accepted")
	}
}

// Guards against orders that an entry host misses or receives twice.
func TestOrdersSince(t *testing.T) {
	m := New(nil)
	apply(t, m, 1, Command{Departure: &Departure{Name: "a", Life: 1}})
	apply(t, m, 2, document(1, "one"))
	apply(t, m, 3, Command{Departure: &Departure{Name: "b", Life: 1}})
	s, _ := m.State()
	if s.OrdersIndex != 3 {
		t.Errorf("orders index is %d, want 3", s.OrdersIndex)
	}
	if o := s.OrdersSince(1); len(o.Departures) != 1 || o.Departures[0].Name != "b" {
		t.Errorf("orders since index 1 are %+v, want only the departure of b", o)
	}
}

// Guards against waiters that miss a change.
func TestChangesAreSignalled(t *testing.T) {
	m := New(nil)
	_, changed := m.State()
	apply(t, m, 1, Command{Evacuate: "a"})
	select {
	case <-changed:
	default:
		t.Error("a change was not signalled")
	}
	_, changed = m.State()
	apply(t, m, 2, Command{Evacuate: "a"})
	select {
	case <-changed:
		t.Error("a command without effect was signalled as a change")
	default:
	}
}

// Guards against a command that is acknowledged although no host can decode it
// (review case 1).
func TestCommandsThatCannotBeDecodedAreRefused(t *testing.T) {
	const odd = "\xff\xfe"
	for _, c := range []Command{{Evacuate: odd}, {Readmit: odd}, {Departure: &Departure{Name: odd, Life: 1}}} {
		if data, err := c.Encode(); err == nil {
			t.Errorf("command %+v was encoded as %x", c, data)
		}
	}
}

// Guards against a late copy of an order about a zone that undoes a later order: it was
// accepted before that one and is committed after it, as when a host or a link stood still
// in between (review case 4).
func TestLateOrdersAreOvertaken(t *testing.T) {
	steps := []struct {
		name      string
		command   Command
		evacuated []string
		overtaken bool
	}{
		{"evacuation", Command{Evacuate: "z", Basis: 0}, []string{"z"}, false},
		{"its end", Command{Readmit: "z", Basis: 1}, nil, false},
		{"a late copy of the evacuation", Command{Evacuate: "z", Basis: 1}, nil, true},
		{"the second evacuation", Command{Evacuate: "z", Basis: 2}, []string{"z"}, false},
		{"an order about another zone", Command{Evacuate: "y", Basis: 4}, []string{"y", "z"}, false},
		{"a late copy of the first end", Command{Readmit: "z", Basis: 1}, []string{"y", "z"}, true},
		{"a copy of the second evacuation", Command{Evacuate: "z", Basis: 2}, []string{"y", "z"}, false},
		{"the second end", Command{Readmit: "z", Basis: 5}, []string{"y"}, false},
		{"an end from a host of an earlier version", Command{Readmit: "y"}, nil, false},
	}
	m := New(nil)
	for i, step := range steps {
		data, err := step.command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		refusal := m.Apply(uint64(i+1), data)
		state, _ := m.State()
		if !slices.Equal(state.Orders.Evacuated, step.evacuated) || (refusal != nil) != step.overtaken {
			t.Errorf("%s: evacuated %v, refusal %q; want %v, overtaken %v", step.name, state.Orders.Evacuated, refusal, step.evacuated, step.overtaken)
		}
		restored := New(nil)
		if err := restored.Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
		m = restored // a snapshot keeps what tells late orders
	}
}

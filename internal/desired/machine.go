package desired

import (
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// maxDepartures limits the departures in the state; the oldest are dropped first.
// A target exits within minutes of its departure, and its name is rarely reused.
const maxDepartures = 4096

// Orders is the small part of the state, everything but the policy document.
type Orders struct {
	Evacuated  []string    `cbor:"1,keyasint,omitempty"` // availability zones, sorted
	Departures []Departure `cbor:"2,keyasint,omitempty"` // newest last
}

// State is the desired state as set by operators and by leaving targets.
type State struct {
	Index       uint64   `cbor:"1,keyasint"` // of the last command that changed the state
	Document    Document `cbor:"2,keyasint"` // version 0 if there is none
	Orders      Orders   `cbor:"3,keyasint"`
	OrdersIndex uint64   `cbor:"4,keyasint"` // of the last command that changed the orders
	// ZoneOrders tells late copies of orders about a zone from new ones; sorted by zone.
	ZoneOrders []zoneOrder `cbor:"5,keyasint,omitempty"`
}

// OrdersSince returns the update for a host that holds the orders as of an index:
// all evacuated zones, and the departures that were applied later.
func (s *State) OrdersSince(index uint64) Orders {
	o := Orders{Evacuated: s.Orders.Evacuated}
	for _, d := range s.Orders.Departures {
		if d.Index > index {
			o.Departures = append(o.Departures, d)
		}
	}
	return o
}

// Machine is the state machine of the agreement group. Apply and Restore are
// called by one goroutine; all other methods are safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	state   State
	applied uint64        // index of the last applied entry; a restarted group applies earlier entries again
	changed chan struct{} // closed with the next change
	notify  func(Command)
}

// New returns an empty machine. notify, if set, is called after each command
// that changed the state; it must not block.
func New(notify func(Command)) *Machine {
	return &Machine{changed: make(chan struct{}), notify: notify}
}

// Apply applies a committed entry of the replication log and skips entries that were
// applied before. It returns nil, or the reason why the entry has no effect: it cannot be
// decoded, or a later order has overtaken it.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		// All hosts apply the same bytes, so all of them skip the entry.
		return []byte(fmt.Sprintf("command %d cannot be decoded: %v", index, err))
	}
	m.mu.Lock()
	if index <= m.applied {
		m.mu.Unlock()
		return nil
	}
	m.applied = index
	changed, refusal := m.state.apply(index, &c)
	if changed {
		m.state.Index = index
		if c.Document == nil {
			m.state.OrdersIndex = index
		}
		m.signalChange()
	}
	m.mu.Unlock()
	if changed && m.notify != nil {
		m.notify(c)
	}
	return refusal
}

// signalChange closes the channel that State returned. The caller holds mu.
func (m *Machine) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// apply executes a command. It reports whether the command changed the state, or why it
// has no effect although the state is not the wanted one.
func (s *State) apply(index uint64, c *Command) (changed bool, refusal []byte) {
	switch {
	case c.Document != nil:
		if c.Document.Version <= s.Document.Version {
			return false, nil
		}
		s.Document = *c.Document
		return true, nil
	case c.Evacuate != "":
		return s.setEvacuated(index, c.Evacuate, c.Basis, true)
	case c.Readmit != "":
		return s.setEvacuated(index, c.Readmit, c.Basis, false)
	case c.Departure != nil:
		d := *c.Departure
		d.Index = index
		return s.addDeparture(d), nil
	default:
		return false, nil
	}
}

// setEvacuated evacuates or readmits a zone, unless it is in that state or a later order
// has overtaken this one.
func (s *State) setEvacuated(index uint64, zone string, basis uint64, evacuated bool) (changed bool, refusal []byte) {
	at, found := slices.BinarySearch(s.Orders.Evacuated, zone)
	if found == evacuated {
		return false, nil
	}
	if s.overtaken(zone, basis) {
		return false, []byte(fmt.Sprintf("order about zone %q as of index %d was overtaken by a later one", zone, basis))
	}
	list := slices.Clone(s.Orders.Evacuated)
	if evacuated {
		s.Orders.Evacuated = slices.Insert(list, at, zone)
	} else {
		s.Orders.Evacuated = slices.Delete(list, at, at+1)
	}
	s.recordZoneOrder(zone, index)
	return true, nil
}

// addDeparture replaces an earlier departure of the same target. It reports whether
// the state changed.
func (s *State) addDeparture(d Departure) bool {
	if s.HasDeparture(d) {
		return false
	}
	list := slices.DeleteFunc(slices.Clone(s.Orders.Departures), func(o Departure) bool { return o.Name == d.Name })
	list = append(list, d)
	if len(list) > maxDepartures {
		list = list[len(list)-maxDepartures:]
	}
	s.Orders.Departures = list
	return true
}

// HasDeparture reports whether the state contains a departure of the same life of
// the target or a later one.
func (s *State) HasDeparture(d Departure) bool {
	i := slices.IndexFunc(s.Orders.Departures, func(o Departure) bool { return o.Name == d.Name })
	return i >= 0 && s.Orders.Departures[i].Life >= d.Life
}

// State returns the current state, whose slices must not be modified, and a channel
// that is closed on the next change.
func (m *Machine) State() (State, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state, m.changed
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, err := cbor.Marshal(m.state)
	if err != nil {
		panic(fmt.Sprintf("desired state cannot be encoded: %v", err)) // all field types can be encoded
	}
	return data
}

// Restore replaces the state by a snapshot, unless the snapshot is older. It passes
// each departure in the snapshot to notify.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.mu.Lock()
	if s.Index < m.state.Index {
		m.mu.Unlock()
		return nil // a restarted group may start from a snapshot older than the state
	}
	m.state, m.applied = s, max(m.applied, s.Index)
	m.signalChange()
	m.mu.Unlock()
	if m.notify != nil {
		for _, d := range s.Orders.Departures {
			m.notify(Command{Departure: &d})
		}
	}
	return nil
}

// Package history is the state machine of the agreement group: it accepts or
// refuses signed bundle versions and keeps the history of accepted ones.
package history

import (
	"crypto/ed25519"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Listener is told of each version put in force. It must not block.
type Listener func(v *bundle.Version, signed bundle.Signed)

// Machine applies the committed log. Apply and Restore are called by one
// goroutine; all other methods are safe for concurrent use.
type Machine struct {
	keys map[string]ed25519.PublicKey

	mu        sync.RWMutex
	headers   headers
	recent    spread.Recent
	voters    map[string]uint64 // zone to the version that last changed its entry hosts
	listeners []Listener
}

// New returns an empty machine. The keys must be equal on all control hosts,
// since a host that refuses a version falls out of step with the others.
func New(keys map[string]ed25519.PublicKey) *Machine {
	return &Machine{keys: keys, voters: map[string]uint64{}}
}

// Apply decides about one committed submission, a bundle.Signed as
// its Encode method returns it. It
// returns a Result in CBOR.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	signed, err := bundle.DecodeSigned(command)
	if err != nil {
		result := refused("submission cannot be decoded: %v", err)
		return result.encode()
	}
	result := m.submit(signed)
	return result.encode()
}

func (m *Machine) submit(signed *bundle.Signed) Result {
	if err := signed.Header.Verify(m.keys); err != nil {
		return refused("%v", err)
	}
	if result, decided := m.compare(&signed.Header); decided {
		return result
	}
	base := m.Current()
	next, err := signed.Open(base, m.keys)
	if err != nil {
		return refused("%v", err)
	}
	if found := m.check(next, base); len(found) > 0 {
		return Result{Outcome: Refused, Message: "the checks found problems", Findings: found}
	}
	m.append(next, m.kept(signed, next, base))
	return accepted(&next.Header)
}

// compare decides by version numbers and roots, without looking at the content.
func (m *Machine) compare(h *bundle.Header) (Result, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	last := m.headers.count()
	switch {
	case h.Version == 0:
		return refused("version must be 1 or more"), true
	case h.Version <= last:
		own := m.headers.at(h.Version)
		if own.SameContent(h) {
			return accepted(&own), true
		}
		return conflict(&own), true
	case h.Version > last+1:
		return refused("version %d does not follow version %d", h.Version, last), true
	case last == 0 && !h.Previous.IsZero():
		return refused("previous root of version 1 must be zero"), true
	case last > 0 && h.Previous != m.headers.at(last).Root:
		own := m.headers.at(last)
		return conflict(&own), true
	}
	return Result{}, false
}

func (m *Machine) check(next, base *bundle.Version) finding.List {
	if base == nil {
		return bundle.Check(next.Bundle, nil)
	}
	return bundle.Check(next.Bundle, base.Bundle)
}

// kept returns the form of a version that is offered to hosts and kept for those
// that lag behind. A snapshot that follows another version becomes a delta
// unless that is larger.
func (m *Machine) kept(signed *bundle.Signed, next, base *bundle.Version) bundle.Signed {
	if signed.Delta != nil || base == nil {
		return *signed
	}
	smaller, err := bundle.NewSigned(signed.Header, next.Bundle, base.Bundle)
	if err != nil {
		return *signed
	}
	return *smaller
}

func (m *Machine) append(next *bundle.Version, signed bundle.Signed) {
	m.mu.Lock()
	m.noteVoters(next)
	m.headers.add(&next.Header)
	m.recent.Add(next, signed)
	listeners := m.listeners
	m.mu.Unlock()
	for _, tell := range listeners {
		tell(next, signed)
	}
}

func (m *Machine) noteVoters(next *bundle.Version) {
	if m.recent.Current() == nil {
		return
	}
	for zone := range bundle.VoterChanges(next.Bundle, m.recent.Current().Bundle) {
		m.voters[zone] = next.Header.Version
	}
}

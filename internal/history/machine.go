// Package history implements the state machine of the agreement group. It accepts or
// refuses signed bundle versions and keeps the history of accepted ones.
package history

import (
	"crypto/ed25519"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Listener is called for each version put in force. It must not block.
type Listener func(v *bundle.Version, signed bundle.Signed)

// Machine applies the committed entries of the replication log. Apply and Restore are
// called by one goroutine; all other methods are safe for concurrent use.
type Machine struct {
	keys map[string]ed25519.PublicKey

	mu           sync.RWMutex
	headers      headers
	recent       spread.Recent
	voterChanges map[string]uint64 // zone to the version that last changed its entry hosts
	listeners    []Listener
}

// New returns an empty machine. The keys must be equal on all control hosts: a host
// that refuses a version which the others accept diverges from them.
func New(keys map[string]ed25519.PublicKey) *Machine {
	return &Machine{keys: keys, voterChanges: map[string]uint64{}}
}

// Apply accepts or refuses one committed submission, a bundle.Signed as returned by
// its Encode method. It returns a Result in CBOR.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	signed, err := bundle.DecodeSigned(command)
	if err != nil {
		result := refused("submission cannot be decoded: %v", err)
		return result.encode()
	}
	result := m.submit(signed)
	return result.encode()
}

// submit verifies and checks a submission, and puts it in force if it is accepted.
func (m *Machine) submit(signed *bundle.Signed) Result {
	if err := signed.Header.Verify(m.keys); err != nil {
		return refused("%v", err)
	}
	if result, decided := m.decideByHeader(&signed.Header); decided {
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
	m.append(next, m.compactSigned(signed, next, base))
	return accepted(&next.Header)
}

// decideByHeader decides by version number and roots where they suffice: a repeated
// submission gets its earlier result, and one that does not follow the last version
// is refused or a conflict. Otherwise it returns false.
func (m *Machine) decideByHeader(h *bundle.Header) (Result, bool) {
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

// check validates the content of a version on its own and as the successor of base.
func (m *Machine) check(next, base *bundle.Version) finding.List {
	if base == nil {
		return bundle.Check(next.Bundle, nil)
	}
	return bundle.Check(next.Bundle, base.Bundle)
}

// compactSigned returns the form of a version that is offered to hosts and kept for
// lagging ones. A snapshot that follows another version is converted to a delta unless
// the delta is larger.
func (m *Machine) compactSigned(signed *bundle.Signed, next, base *bundle.Version) bundle.Signed {
	if signed.Delta != nil || base == nil {
		return *signed
	}
	smaller, err := bundle.NewSigned(signed.Header, next.Bundle, base.Bundle)
	if err != nil {
		return *signed
	}
	return *smaller
}

// append adds an accepted version and calls the listeners without holding mu.
func (m *Machine) append(next *bundle.Version, signed bundle.Signed) {
	m.mu.Lock()
	m.recordVoterChanges(next)
	m.headers.add(&next.Header)
	m.recent.Add(next, signed)
	listeners := m.listeners
	m.mu.Unlock()
	for _, listener := range listeners {
		listener(next, signed)
	}
}

// recordVoterChanges records next as the last change of the zones whose entry hosts it
// changes. The caller holds mu.
func (m *Machine) recordVoterChanges(next *bundle.Version) {
	if m.recent.Current() == nil {
		return
	}
	for zone := range bundle.VoterChanges(next.Bundle, m.recent.Current().Bundle) {
		m.voterChanges[zone] = next.Header.Version
	}
}

package history

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// state is the content of a snapshot of a Machine.
type state struct {
	Operators []string          `cbor:"1,keyasint"`
	Headers   []byte            `cbor:"2,keyasint"`
	Bundle    []byte            `cbor:"3,keyasint"`
	Deltas    []bundle.Signed   `cbor:"4,keyasint"`
	Voters    map[string]uint64 `cbor:"5,keyasint"` // zone to the version that last changed its entry hosts
}

// stateDecoding allows arrays large enough for all kept deltas.
var stateDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// stateEncoding sorts map keys, so that equal states have equal snapshots.
var stateEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := state{Operators: m.headers.operators, Headers: m.headers.packed, Deltas: m.recent.Deltas(), Voters: m.voterChanges}
	if current := m.recent.Current(); current != nil {
		data, err := bundle.EncodeSnapshot(current.Bundle)
		if err != nil {
			panic(err) // only checked bundles are accepted, and these can always be encoded
		}
		s.Bundle = data
	}
	data, err := stateEncoding.Marshal(&s)
	if err != nil {
		panic(err)
	}
	return data
}

// Restore replaces the state by a snapshot, after checking that the bundle in it
// matches the last accepted root. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := stateDecoding.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode history snapshot: %w", err)
	}
	all := headers{operators: s.Operators, packed: s.Headers}
	if err := all.check(); err != nil {
		return fmt.Errorf("history snapshot: %w", err)
	}
	recent, err := s.recent(&all)
	if err != nil {
		return err
	}
	if s.Voters == nil {
		s.Voters = map[string]uint64{}
	}
	m.mu.Lock()
	m.headers, m.recent, m.voterChanges = all, *recent, s.Voters
	listeners, current := m.listeners, m.recent.Current()
	m.mu.Unlock()
	for _, listener := range listeners {
		if current != nil {
			listener(current, bundle.Signed{Header: current.Header})
		}
	}
	return nil
}

// recent returns the newest version and the kept deltas, after verifying the root.
func (s *state) recent(all *headers) (*spread.Recent, error) {
	if all.count() == 0 {
		return &spread.Recent{}, nil
	}
	last := all.at(all.count())
	b, err := bundle.DecodeSnapshot(s.Bundle)
	if err != nil {
		return nil, err
	}
	v := &bundle.Version{Header: last, Bundle: b, Buckets: bundle.NewBuckets(b)}
	if root := v.Buckets.Root(); root != last.Root || b.Version != last.Version {
		return nil, fmt.Errorf("history snapshot: content of version %d has root %s, accepted is version %d with root %s",
			b.Version, root, last.Version, last.Root)
	}
	return spread.NewRecent(v, s.Deltas), nil
}

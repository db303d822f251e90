package history

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// state is the encoded form of a machine.
type state struct {
	Headers []bundle.Header   `cbor:"1,keyasint"`
	Bundle  []byte            `cbor:"2,keyasint"`
	Deltas  []bundle.Signed   `cbor:"3,keyasint"`
	Voters  map[string]uint64 `cbor:"4,keyasint"`
}

// headerDecoding admits the headers of several years at 1,200 versions a day.
var headerDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// stateEncoding sorts the keys of maps, so that equal states have equal snapshots.
var stateEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Snapshot returns the whole state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := state{Headers: m.headers, Deltas: m.recent.Deltas(), Voters: m.voters}
	if current := m.recent.Current(); current != nil {
		data, err := bundle.EncodeSnapshot(current.Bundle)
		if err != nil {
			panic(err) // only checked bundles are accepted, and they always encode
		}
		s.Bundle = data
	}
	data, err := stateEncoding.Marshal(&s)
	if err != nil {
		panic(err)
	}
	return data
}

// Restore replaces the state by a snapshot, after checking that its content
// matches the last accepted root. On an error the state stays as it was.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := headerDecoding.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode history snapshot: %w", err)
	}
	recent, err := s.recent()
	if err != nil {
		return err
	}
	if s.Voters == nil {
		s.Voters = map[string]uint64{}
	}
	m.mu.Lock()
	m.headers, m.recent, m.voters = s.Headers, *recent, s.Voters
	listeners, current := m.listeners, m.recent.Current()
	m.mu.Unlock()
	for _, tell := range listeners {
		if current != nil {
			tell(current, bundle.Signed{Header: current.Header})
		}
	}
	return nil
}

func (s *state) recent() (*spread.Recent, error) {
	if len(s.Headers) == 0 {
		return &spread.Recent{}, nil
	}
	last := s.Headers[len(s.Headers)-1]
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

package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot is the whole state of a store at one index of its log.
type Snapshot struct {
	Gate    GateState   `cbor:"1,keyasint"`
	Records []KeyRecord `cbor:"2,keyasint"`
}

// Encode returns the bytes to save.
func (s *Snapshot) Encode() ([]byte, error) { return cbor.Marshal(s) }

// DecodeSnapshot reads saved bytes.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	s := &Snapshot{}
	return s, cbor.Unmarshal(data, s)
}

// Snapshot returns the state of a store that is not divided into shards.
func (s *Store) Snapshot() *Snapshot {
	return &Snapshot{Gate: s.Gate.State(), Records: s.Records()}
}

// NewStore returns the store of an empty folder.
func NewStore(name, incarnation string, now time.Time) *Store {
	return &Store{Gate: NewGate(name, incarnation, now), Register: NewRegister()}
}

// RestoreStore rebuilds a store from its last snapshot, or nil if there is none,
// and the changes after it. Replaying changes that the snapshot already contains
// is idempotent.
func RestoreStore(name, incarnation string, now time.Time, snap *Snapshot, changes []*Mutation) *Store {
	s := NewStore(name, incarnation, now)
	state := s.Gate.State()
	if snap != nil {
		state = snap.Gate
		for _, kr := range snap.Records {
			s.Register.Set(kr.Key, kr.Record)
		}
	}
	for _, m := range changes {
		if m.Gate != nil {
			state = *m.Gate
		}
		s.Apply(m)
	}
	s.Gate = RestoreGate(name, state, now)
	s.Register.Drop(s.Gate.Horizon())
	return s
}

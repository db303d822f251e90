package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Mutation is one change of a store, to be synced before the reply that
// depends on it. It holds new values, not steps, so replaying it twice, or
// onto a snapshot that already contains it, does no harm. Exactly one group is set.
type Mutation struct {
	Key    *Key    `cbor:"1,keyasint,omitempty"`
	Record *Record `cbor:"2,keyasint,omitempty"` // new record of Key

	Gate *GateState `cbor:"3,keyasint,omitempty"`
}

// GateState is the part of a store's state that concerns all keys.
type GateState struct {
	Self      Fence     `cbor:"1,keyasint"`
	Ready     bool      `cbor:"2,keyasint,omitempty"`
	VotesFrom time.Time `cbor:"3,keyasint"`
	Horizon   time.Time `cbor:"4,keyasint"`
	// Superseded is set for good once another incarnation has taken this one's
	// place: the folder is an old one that was put back.
	Superseded bool `cbor:"6,keyasint,omitempty"`
	// Known holds the newest fence that was met of each other store.
	Known map[string]Fence `cbor:"5,keyasint,omitempty"`
}

// Encode returns the bytes to write to the log.
func (m *Mutation) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMutation reads the bytes of one log record.
func DecodeMutation(data []byte) (*Mutation, error) {
	m := &Mutation{}
	return m, cbor.Unmarshal(data, m)
}

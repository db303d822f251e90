package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Mutation is one change of a store. It must be synced before the reply that
// depends on it is sent. It holds new values instead of deltas, so replaying it
// is idempotent, also onto a snapshot that already contains it. Either Key and
// Record are set, or Gate.
type Mutation struct {
	Key    *Key    `cbor:"1,keyasint,omitempty"`
	Record *Record `cbor:"2,keyasint,omitempty"` // new record of Key

	Gate *GateState `cbor:"3,keyasint,omitempty"`
}

// GateState is the persisted state of a Gate. It applies to all keys of a store.
type GateState struct {
	Self      Fence     `cbor:"1,keyasint"` // fence of this store
	Ready     bool      `cbor:"2,keyasint,omitempty"`
	VotesFrom time.Time `cbor:"3,keyasint"` // a store that is not ready votes only for keys from this time on
	Horizon   time.Time `cbor:"4,keyasint"` // records of keys before this time may have been dropped
	// Superseded is set permanently once another incarnation has replaced this
	// one: the folder is an outdated one that was put back.
	Superseded bool `cbor:"6,keyasint,omitempty"`
	// Known holds the newest recorded fence of each other store.
	Known map[string]Fence `cbor:"5,keyasint,omitempty"`
}

// Encode returns the bytes to write to the log.
func (m *Mutation) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMutation reads the bytes of one log record.
func DecodeMutation(data []byte) (*Mutation, error) {
	m := &Mutation{}
	return m, cbor.Unmarshal(data, m)
}

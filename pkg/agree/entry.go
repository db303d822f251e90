package agree

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryEmpty      EntryKind = iota + 1 // first entry of a leader's term
	EntryCommand                         // for the state machine
	EntryMembership                      // sets the members
)

// Entry is one place in the history.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Command []byte    `cbor:"4,keyasint,omitempty"`
	Servers []Server  `cbor:"5,keyasint,omitempty"` // for EntryMembership
}

// entryOverheadBytes approximates an entry's encoded size without its command.
const entryOverheadBytes = 32

func (e *Entry) bytes() int { return entryOverheadBytes + len(e.Command) }

// Snapshot is the state machine as of Index, with what is needed to go on from there.
type Snapshot struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint"`
}

// HardState must survive a restart beside the log.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"` // candidate voted for in Term, zero if none
}

package agree

// EntryKind is the type of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryEmpty      EntryKind = iota + 1 // first entry of a leader's term
	EntryCommand                         // applied to the state machine
	EntryMembership                      // sets the members
)

// Entry is one entry of the replication log.
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

// Snapshot is the state machine's data as of Index, with the term and the
// membership that are needed to continue the log from there.
type Snapshot struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint"`
}

// HardState is the state that must survive a restart in addition to the log.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"` // candidate voted for in Term, zero if none
}

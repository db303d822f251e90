package fleet

import "time"

// Entry is an entry host as it describes itself.
type Entry struct {
	Name    string `cbor:"1,keyasint"`
	Front   string `cbor:"2,keyasint"` // address for callers
	Zone    string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	Ready   bool   `cbor:"5,keyasint"` // false while it starts and once it stops
	Started int64  `cbor:"6,keyasint"` // start time, distinguishes restarts
}

// EntryReport is an entry host with the time since its last call of a control host.
type EntryReport struct {
	Entry
	Age time.Duration `cbor:"20,keyasint"`
}

// Alive is a heartbeat of an entry host whose description has not changed.
type Alive struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Started int64
	AgeMs   int64 // milliseconds since the call
}

// Control is a control host.
type Control struct {
	Peer   string `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	// Relay is the IP:port to which entry hosts of the availability zone may send
	// requests for targets, empty if the control host relays none.
	Relay string `cbor:"4,keyasint,omitempty"`
}

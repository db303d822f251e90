package fleet

import "github.com/hornbeamstack/hornbeamstack/pkg/roster"

// RPC methods between control hosts.
const (
	MethodExchange = "fleet.exchange"
	MethodSubmit   = "fleet.submit"
	MethodTarget   = "fleet.target"
)

// Exchange carries what targets and entry hosts reported to the sender directly since
// its last exchange that reached the receiver.
type Exchange struct {
	From    Control         `cbor:"1,keyasint"`
	Targets []roster.Report `cbor:"2,keyasint,omitempty"`
	Entries []EntryReport   `cbor:"3,keyasint,omitempty"`
	// Beats are the targets whose announcements repeated the last one unchanged.
	Beats []roster.Heartbeat `cbor:"4,keyasint,omitempty"`
	// Alive are the entry hosts that called again with an unchanged description.
	Alive []Alive `cbor:"5,keyasint,omitempty"`
	// Controls is the digest of the control hosts that the sender knows.
	Controls uint64 `cbor:"6,keyasint,omitempty"`
}

// ExchangeReply lists the control hosts that the receiver knows if the sender knows
// others, and the names that the sender has to send in full.
type ExchangeReply struct {
	Controls []Control `cbor:"1,keyasint,omitempty"`
	// Unknown are the targets of Beats that the receiver does not know;
	// UnknownEntries are the entry hosts of Alive that it does not know.
	Unknown        []string `cbor:"2,keyasint,omitempty"`
	UnknownEntries []string `cbor:"3,keyasint,omitempty"`
}

// Submission is an encoded command for the leader.
type Submission struct {
	Command []byte `cbor:"1,keyasint"`
}

// SubmitReply confirms that a command is committed to the replication log.
type SubmitReply struct{}

// TargetRequest asks a control host what it knows of a target.
type TargetRequest struct {
	Name string `cbor:"1,keyasint"`
}

// TargetReply is the newest report of a target, without Target if the host knows none.
type TargetReply struct {
	Target *roster.Report `cbor:"1,keyasint,omitempty"`
}

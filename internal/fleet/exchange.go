package fleet

import "github.com/hornbeamstack/hornbeamstack/pkg/roster"

// Methods between control hosts.
const (
	MethodExchange = "fleet.exchange"
	MethodSubmit   = "fleet.submit"
)

// Exchange is what a control host heard itself since it last told the receiver.
type Exchange struct {
	From    Control         `cbor:"1,keyasint"`
	Targets []roster.Report `cbor:"2,keyasint,omitempty"`
	Entries []EntryReport   `cbor:"3,keyasint,omitempty"`
	// Beats are targets that announced themselves again without a change.
	Beats []roster.Beat `cbor:"4,keyasint,omitempty"`
	// Alive are entry hosts that called again without a change.
	Alive []Alive `cbor:"5,keyasint,omitempty"`
}

// ExchangeReply names the control hosts that the receiver knows.
type ExchangeReply struct {
	Controls []Control `cbor:"1,keyasint,omitempty"`
	// Unknown are targets of Beats that the receiver has to be told in full,
	// UnknownEntries the same of Alive.
	Unknown        []string `cbor:"2,keyasint,omitempty"`
	UnknownEntries []string `cbor:"3,keyasint,omitempty"`
}

// Submission is an encoded command for the leader.
type Submission struct {
	Command []byte `cbor:"1,keyasint"`
}

// SubmitReply confirms that a command is part of the history.
type SubmitReply struct{}

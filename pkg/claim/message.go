package claim

// Verdict is a store's reply to a vote request.
type Verdict uint8

// Verdicts.
const (
	Granted     Verdict = iota + 1 // the store voted for the attempt
	Held                           // the store voted for another attempt
	HasResult                      // the result is recorded in the reply
	WasReleased                    // the attempt itself has been released
	TooOld                         // the key is past its lifetime
	TooNew                         // the key's timestamp is in the future
	NotReady                       // the store lost its disk and has not copied enough other stores, or was superseded
	HeldDown                       // a caller was told "not run" for this key less than HoldDown ago
)

// VoteRequest asks a store for its vote.
type VoteRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Store   string    `cbor:"1,keyasint"`
	Fence   Fence     `cbor:"2,keyasint"`
	Verdict Verdict   `cbor:"3,keyasint"`
	Owners  []Attempt `cbor:"4,keyasint,omitempty"`
	// OwnerAlive is set if the owner got its vote or renewed within OwnerTimeout.
	OwnerAlive bool             `cbor:"5,keyasint,omitempty"`
	Result     Result           `cbor:"6,keyasint,omitempty"`
	Answer     Encoded          `cbor:"7,keyasint,omitempty"`
	Known      map[string]Fence `cbor:"8,keyasint,omitempty"` // fences of stores that replaced a lost disk
}

// FinishRequest records the result of the attempt that had the right to send.
type FinishRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Encoded `cbor:"3,keyasint,omitempty"` // empty if the result is not known
}

// ReleaseRequest gives up an attempt permanently.
type ReleaseRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	// HoldDown is set by an attempt that had the right to send and whose caller
	// is told "not run". An earlier send of the key that is still in flight must
	// not run after that.
	HoldDown bool `cbor:"3,keyasint,omitempty"`
}

// ReadRequest asks for the record of a key without voting.
type ReadRequest struct {
	Key Key `cbor:"1,keyasint"`
	// Renew is set by an owner to show that its attempt is still running.
	Renew *Attempt `cbor:"2,keyasint,omitempty"`
}

// Ack confirms that a change is on disk.
type Ack struct {
	Store string `cbor:"1,keyasint"`
}

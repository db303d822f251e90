package peer

import "github.com/fxamacker/cbor/v2"

// kind is the type of message in an envelope.
type kind uint8

const (
	kindRequest kind = iota + 1
	kindReply
	kindNotify
	kindCancel
)

// streamRPC is the name of the only drpc method; its stream carries all messages.
const streamRPC = "/hornbeam.Peer/Stream"

// envelope frames one message on the stream.
type envelope struct {
	ID     uint64          `cbor:"1,keyasint,omitempty"` // of the call; 0 for notifications
	Kind   kind            `cbor:"2,keyasint"`
	Method string          `cbor:"3,keyasint,omitempty"`
	From   string          `cbor:"4,keyasint,omitempty"` // name of the sending process
	Body   cbor.RawMessage `cbor:"5,keyasint,omitempty"` // encoded request or reply
	Code   string          `cbor:"6,keyasint,omitempty"` // of a failed call, see Coder
	Err    string          `cbor:"7,keyasint,omitempty"` // error text of a failed call
}

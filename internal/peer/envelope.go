package peer

import "github.com/fxamacker/cbor/v2"

// kind tells what an envelope carries.
type kind uint8

const (
	kindRequest kind = iota + 1
	kindReply
	kindNotify
	kindCancel
)

// streamRPC is the name of the one drpc method that all messages travel on.
const streamRPC = "/hornbeam.Peer/Stream"

// envelope frames one message on the stream.
type envelope struct {
	ID     uint64          `cbor:"1,keyasint,omitempty"`
	Kind   kind            `cbor:"2,keyasint"`
	Method string          `cbor:"3,keyasint,omitempty"`
	From   string          `cbor:"4,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Code   string          `cbor:"6,keyasint,omitempty"`
	Err    string          `cbor:"7,keyasint,omitempty"`
}

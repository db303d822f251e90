package replica

import "github.com/hornbeamstack/hornbeamstack/pkg/agree"

// method is the RPC method under which a group takes requests of other hosts.
const method = "agree.msg"

// wireKind is the type of a request.
type wireKind uint8

const (
	wireMessage wireKind = iota + 1 // a message of package agree, sent without waiting for the reply
	wireHello                       // asks for the host's name, incarnation and known members
	wireRead                        // asks the leader for a read index
)

type wireRequest struct {
	Kind    wireKind       `cbor:"1,keyasint"`
	Message *agree.Message `cbor:"2,keyasint,omitempty"`
}

type wireReply struct {
	Host        string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	HasHistory  bool   `cbor:"3,keyasint,omitempty"`
	Index       uint64 `cbor:"4,keyasint,omitempty"`

	Members []wireMember `cbor:"5,keyasint,omitempty"` // members that the host knows, if hosts may join
}

type wireMember struct {
	Name string `cbor:"1,keyasint"`
	Peer string `cbor:"2,keyasint"`
}

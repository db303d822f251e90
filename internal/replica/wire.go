package replica

import "github.com/hornbeamstack/hornbeamstack/pkg/agree"

const method = "agree.msg"

type wireKind uint8

const (
	wireMessage wireKind = iota + 1 // one way
	wireHello                       // asks who the host is
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

	Members []wireMember `cbor:"5,keyasint,omitempty"` // as the host knows them
}

type wireMember struct {
	Name string `cbor:"1,keyasint"`
	Peer string `cbor:"2,keyasint"`
}

package rollout

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Methods of internal/peer that this package serves.
const (
	MethodOffer  = "bundle.offer"
	MethodFetch  = "bundle.fetch"
	MethodStatus = "host.status"
)

// OfferRequest brings a version to the receiver at a position of the tree.
type OfferRequest struct {
	Signed   []byte `cbor:"1,keyasint"` // bundle.Signed, encoded
	Position int    `cbor:"2,keyasint"` // of the receiver
	Sender   string `cbor:"3,keyasint"` // peer address that missing versions can be fetched from
	Leader   string `cbor:"4,keyasint"` // peer address that acknowledgements go to
}

// OfferReply tells the version in force after the offer.
type OfferReply struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FetchRequest asks for versions newer than the one held.
type FetchRequest struct {
	Version uint64        `cbor:"1,keyasint"`
	Root    bundle.Digest `cbor:"2,keyasint"`
	// OnlyVersion asks for the version number without any content.
	OnlyVersion bool `cbor:"3,keyasint,omitempty"`
}

// FetchReply holds deltas or a snapshot, each an encoded bundle.Signed.
type FetchReply struct {
	Deltas   [][]byte `cbor:"1,keyasint,omitempty"`
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Version  uint64   `cbor:"3,keyasint"`           // newest version of the replier
	Leader   string   `cbor:"4,keyasint,omitempty"` // peer address of the leader, if the replier knows it
}

// Status is what a host reports to the leader: on each change of version and
// regularly.
type Status struct {
	Host             string             `cbor:"1,keyasint" json:"host"`
	AvailabilityZone string             `cbor:"2,keyasint" json:"zone"`
	Version          uint64             `cbor:"3,keyasint" json:"version"`
	Root             bundle.Digest      `cbor:"4,keyasint" json:"root"`
	Headroom         map[string]float64 `cbor:"5,keyasint,omitempty" json:"headroom,omitempty"` // by name of a service, link or other limit; free part, 0 to 1
}

func encodeAnswer(a spread.Answer) (FetchReply, error) {
	var reply FetchReply
	for i := range a.Deltas {
		data, err := a.Deltas[i].Encode()
		if err != nil {
			return reply, err
		}
		reply.Deltas = append(reply.Deltas, data)
	}
	if a.Snapshot != nil {
		data, err := a.Snapshot.Encode()
		if err != nil {
			return reply, err
		}
		reply.Snapshot = data
	}
	return reply, nil
}

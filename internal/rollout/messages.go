package rollout

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Names of the internal/peer methods that this package serves.
const (
	MethodOffer  = "bundle.offer"
	MethodFetch  = "bundle.fetch"
	MethodStatus = "host.status"
)

// OfferRequest delivers a version to the host at a position of the distribution tree.
type OfferRequest struct {
	Signed   []byte `cbor:"1,keyasint"` // encoded bundle.Signed
	Position int    `cbor:"2,keyasint"` // of the receiver in the tree
	Sender   string `cbor:"3,keyasint"` // peer address that missing versions can be fetched from
	Leader   string `cbor:"4,keyasint"` // peer address that status reports go to
}

// OfferReply holds the version in force on the receiver after the offer.
type OfferReply struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FetchRequest asks for the versions newer than Version, the one in force on the
// sender; 0 if it has none.
type FetchRequest struct {
	Version uint64        `cbor:"1,keyasint"`
	Root    bundle.Digest `cbor:"2,keyasint"`
	// OnlyVersion asks for the newest version number without any content.
	OnlyVersion bool `cbor:"3,keyasint,omitempty"`
}

// FetchReply holds either deltas, oldest first, or a snapshot. Each is an encoded
// bundle.Signed.
type FetchReply struct {
	Deltas   [][]byte `cbor:"1,keyasint,omitempty"`
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Version  uint64   `cbor:"3,keyasint"`           // newest version of the replying host
	Leader   string   `cbor:"4,keyasint,omitempty"` // peer address of the leader, empty if unknown
}

// Status is the report of a host to the leader, sent on each change of version
// and periodically.
type Status struct {
	Host             string        `cbor:"1,keyasint" json:"host"`
	AvailabilityZone string        `cbor:"2,keyasint" json:"zone"`
	Version          uint64        `cbor:"3,keyasint" json:"version"`
	Root             bundle.Digest `cbor:"4,keyasint" json:"root"`
	// Headroom is the unused fraction, 0 to 1, of each limit by its name, such as
	// the slots of a service or the bandwidth of a link.
	Headroom map[string]float64 `cbor:"5,keyasint,omitempty" json:"headroom,omitempty"`
}

// encodeAnswer converts an answer of a Source to the reply of bundle.fetch.
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

package fleet

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// MethodPull is the RPC method of entry hosts to a control host. It is a long poll,
// answered on the next change or after PullRequest.Wait.
const MethodPull = "fleet.pull"

// PullRequest describes an entry host and what it already holds.
type PullRequest struct {
	Entry    Entry          `cbor:"1,keyasint"`
	Version  policy.Version `cbor:"2,keyasint"`
	Orders   uint64         `cbor:"3,keyasint"` // index of the orders held
	Epoch    int64          `cbor:"4,keyasint"` // start of the control host whose roster is held
	Revision uint64         `cbor:"5,keyasint"` // of that roster
	Controls uint64         `cbor:"6,keyasint"` // digest of the control hosts held
	Wait     time.Duration  `cbor:"8,keyasint"` // longest time until the reply
	// Reports are the observations of targets since the last pull.
	Reports []TargetReport `cbor:"9,keyasint,omitempty"`
	// StateNumber is the revision of the target states held.
	StateNumber uint64 `cbor:"10,keyasint,omitempty"`
	// Leaving holds departures that targets told in their answers, and that the orders
	// held do not contain.
	Leaving []desired.Departure `cbor:"11,keyasint,omitempty"`
	// Fetches says that the host fetches documents with MethodDocument, so that replies
	// carry only their version. Known is the newest version that it was told.
	Fetches bool           `cbor:"12,keyasint,omitempty"`
	Known   policy.Version `cbor:"13,keyasint,omitempty"`
}

// PullReply carries what the entry host lacks.
type PullReply struct {
	// Fresh reports whether the control host is in contact with a majority.
	Fresh    bool              `cbor:"1,keyasint"`
	Document *desired.Document `cbor:"2,keyasint,omitempty"`
	// Newest is the version of the newest document. It replaces Document for hosts that
	// fetch it.
	Newest policy.Version `cbor:"17,keyasint,omitempty"`
	// DocumentAge is the time since the newest document came into force at the control
	// host, 0 if that was before the control host started.
	DocumentAge time.Duration   `cbor:"16,keyasint,omitempty"`
	Orders      *desired.Orders `cbor:"3,keyasint,omitempty"`
	Index       uint64          `cbor:"4,keyasint"` // of Orders

	Epoch    int64           `cbor:"5,keyasint"`
	Revision uint64          `cbor:"6,keyasint"`
	Targets  []roster.Report `cbor:"7,keyasint,omitempty"`

	Controls       []Control `cbor:"8,keyasint,omitempty"`
	ControlsDigest uint64    `cbor:"9,keyasint"` // of all control hosts

	EntryCount int `cbor:"12,keyasint"` // live entry hosts, 0 while not known
	// States are the target states that changed after the requested StateNumber.
	States      []TargetState `cbor:"14,keyasint,omitempty"`
	StateNumber uint64        `cbor:"15,keyasint,omitempty"`
	Rank        int           `cbor:"13,keyasint"` // position of the requesting host among the live entry hosts, in order of names
}

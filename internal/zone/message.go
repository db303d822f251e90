package zone

import "github.com/hornbeamstack/hornbeamstack/pkg/traffic"

// Messages carry durations instead of points in time, so that the clocks of hosts
// need not agree.

// voteRequest is the request of zone.vote, a zonelease.Request.
type voteRequest struct {
	Candidate string `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	Round     uint64 `cbor:"3,keyasint,omitempty"`
	Release   bool   `cbor:"4,keyasint,omitempty"`
}

// voteReply is the reply of zone.vote, a zonelease.Reply.
type voteReply struct {
	Granted     bool   `cbor:"1,keyasint,omitempty"`
	Term        uint64 `cbor:"2,keyasint,omitempty"`
	Holder      string `cbor:"3,keyasint,omitempty"`
	RemainingMs int64  `cbor:"4,keyasint,omitempty"`
}

// beatRequest is the request of zone.beat, the heartbeat of an entry host.
type beatRequest struct {
	Incarnation string `cbor:"1,keyasint"`
	InFlight    int    `cbor:"2,keyasint,omitempty"`
	Leaving     bool   `cbor:"3,keyasint,omitempty"`
	Term        uint64 `cbor:"4,keyasint,omitempty"` // term of the coordinator that Version belongs to
	Version     uint64 `cbor:"5,keyasint,omitempty"` // newest summary the host has
	HostsSum    uint32 `cbor:"6,keyasint,omitempty"` // checksum of the host states it has
}

// beatReply is the reply of zone.beat.
type beatReply struct {
	Coordinator string      `cbor:"1,keyasint,omitempty"` // as known to the replying host
	Term        uint64      `cbor:"2,keyasint,omitempty"` // zero if the replying host is not the coordinator
	Version     uint64      `cbor:"3,keyasint,omitempty"`
	Hosts       []hostState `cbor:"4,keyasint,omitempty"` // omitted if HostsSum shows that the host has them
	Summaries   []summary   `cbor:"5,keyasint,omitempty"`
}

// hostState is the state of one entry host of the coordinator's zone.
type hostState struct {
	Name    string `cbor:"1,keyasint"`
	Spare   int    `cbor:"2,keyasint,omitempty"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	Silent  bool   `cbor:"4,keyasint,omitempty"`
}

// summary describes a whole zone. It names only the hosts that look-ups must
// leave out, so its size does not grow with the number of usable hosts.
type summary struct {
	Zone        string           `cbor:"1,keyasint"`
	Coordinator string           `cbor:"2,keyasint"`
	Term        uint64           `cbor:"3,keyasint"`
	AgeMs       int64            `cbor:"4,keyasint,omitempty"`
	Spare       int              `cbor:"5,keyasint,omitempty"` // mean over the usable hosts
	Leaving     []string         `cbor:"6,keyasint,omitempty"`
	Silent      []string         `cbor:"7,keyasint,omitempty"`
	Services    []serviceSummary `cbor:"8,keyasint,omitempty"`
}

// serviceSummary holds the counts of one service in a zone.
type serviceSummary struct {
	Name        string `cbor:"1,keyasint"`
	Targets     int    `cbor:"2,keyasint,omitempty"`
	Slots       int    `cbor:"3,keyasint,omitempty"`
	Free        int    `cbor:"4,keyasint,omitempty"`
	Outstanding int    `cbor:"5,keyasint,omitempty"`
	Queued      int    `cbor:"6,keyasint,omitempty"`
	Suspect     int    `cbor:"7,keyasint,omitempty"`
}

// summaryRequest carries the summary of the sender's zone, or nil if the sender
// only asks for the receiver's.
type summaryRequest struct {
	Summary *summary `cbor:"1,keyasint,omitempty"`
}

// summaryReply is the reply of zone.summary. Summary is nil if the replying host is
// not the coordinator.
type summaryReply struct {
	Coordinator string   `cbor:"1,keyasint,omitempty"`
	Summary     *summary `cbor:"2,keyasint,omitempty"`
}

// acquireRequest is the request of slots.acquire.
type acquireRequest struct {
	Incarnation string        `cbor:"1,keyasint"`
	Number      uint64        `cbor:"2,keyasint"`
	Service     string        `cbor:"3,keyasint"`
	Class       traffic.Class `cbor:"4,keyasint,omitempty"`
	RemainingMs int64         `cbor:"5,keyasint"`
	MaxWaitMs   int64         `cbor:"6,keyasint,omitempty"`
	Exclude     []string      `cbor:"7,keyasint,omitempty"`
}

// status is the result of an acquireRequest.
type status uint8

const (
	statusGranted status = iota + 1
	statusBusy
	statusNotCoordinator
)

// acquireReply is the reply of slots.acquire.
type acquireReply struct {
	Status       status `cbor:"1,keyasint"`
	Target       string `cbor:"2,keyasint,omitempty"`
	Term         uint64 `cbor:"3,keyasint,omitempty"`
	ValidMs      int64  `cbor:"4,keyasint,omitempty"` // from the moment the holder sent its request
	RetryAfterMs int64  `cbor:"5,keyasint,omitempty"`
	Coordinator  string `cbor:"6,keyasint,omitempty"`
}

// releaseRequest is the request of slots.release.
type releaseRequest struct {
	Incarnation string `cbor:"1,keyasint"`
	Number      uint64 `cbor:"2,keyasint"`
	Outcome     uint8  `cbor:"3,keyasint,omitempty"`
}

// releaseReply is the reply of slots.release.
type releaseReply struct {
	NotCoordinator bool `cbor:"1,keyasint,omitempty"`
}

// renewRequest is the request of slots.renew. It lists the streaming permits of the
// sending host in the zone.
type renewRequest struct {
	Incarnation string   `cbor:"1,keyasint"`
	Numbers     []uint64 `cbor:"2,keyasint"`
}

// renewReply is the reply of slots.renew.
type renewReply struct {
	NotCoordinator bool     `cbor:"1,keyasint,omitempty"`
	Unknown        []uint64 `cbor:"2,keyasint,omitempty"`
	Deferred       bool     `cbor:"3,keyasint,omitempty"` // some permits are unknown because the holder has not answered slots.held yet; no renewal is confirmed
}

// heldRequest is the request of slots.held, by which a new coordinator asks an entry
// host for the permits it holds.
type heldRequest struct {
	Zone        string `cbor:"1,keyasint"`
	Term        uint64 `cbor:"2,keyasint"`
	Coordinator string `cbor:"3,keyasint"`
}

// heldReply is the reply of slots.held.
type heldReply struct {
	Incarnation string       `cbor:"1,keyasint"`
	UptimeMs    int64        `cbor:"2,keyasint"`
	Newer       uint64       `cbor:"3,keyasint,omitempty"` // newer term that the host has answered, which ends the asking coordinator's term
	Permits     []heldPermit `cbor:"4,keyasint,omitempty"`
}

// heldPermit is one permit in a heldReply.
type heldPermit struct {
	Number  uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
	UntilMs int64  `cbor:"4,keyasint,omitempty"` // time until the target must have ended the work
}

// announceRequest is the request of target.announce.
type announceRequest struct {
	Service     string  `cbor:"1,keyasint"`
	Address     string  `cbor:"2,keyasint"`
	Incarnation uint64  `cbor:"3,keyasint"`
	Sequence    uint64  `cbor:"4,keyasint"`
	Slots       int     `cbor:"5,keyasint,omitempty"`
	Connections int     `cbor:"6,keyasint,omitempty"`
	Leaving     bool    `cbor:"7,keyasint,omitempty"`
	Load        float64 `cbor:"8,keyasint,omitempty"`
}

// announceReply is the reply of target.announce. Code is empty if the announcement
// was accepted.
type announceReply struct {
	NotCoordinator bool   `cbor:"1,keyasint,omitempty"`
	Code           string `cbor:"2,keyasint,omitempty"`
	Message        string `cbor:"3,keyasint,omitempty"`
}

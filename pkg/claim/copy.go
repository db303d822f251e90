package claim

import "time"

// KeyRecord is a record with its key.
type KeyRecord struct {
	Key    Key     `cbor:"1,keyasint"`
	Record *Record `cbor:"2,keyasint"`
}

// CopyStep is the operation that a joining store requests from another store.
type CopyStep uint8

// Steps of a copy.
const (
	CopyStatus   CopyStep = iota + 1 // return the fence that is recorded for the requester
	CopyRegister                     // record the requester's fence
	CopyPage                         // return one page of the records
)

// CopyRequest asks a store for one step of copying its records.
type CopyRequest struct {
	Store string   `cbor:"1,keyasint"` // the requester
	Fence Fence    `cbor:"2,keyasint"`
	Step  CopyStep `cbor:"3,keyasint"`
	Page  int      `cbor:"4,keyasint,omitempty"`
	// Parts is the number of pages per shard. It is the same for all pages of a copy.
	Parts int `cbor:"5,keyasint,omitempty"`
}

// CopyReply answers a CopyRequest.
type CopyReply struct {
	Store string `cbor:"1,keyasint"`
	Fence Fence  `cbor:"2,keyasint"` // of the replying store; the same on all pages
	Ready bool   `cbor:"3,keyasint,omitempty"`
	// RequesterFence is the fence that the replying store has recorded for the requester, or nil.
	RequesterFence *Fence           `cbor:"4,keyasint,omitempty"`
	Records        []KeyRecord      `cbor:"5,keyasint,omitempty"`
	Count          int              `cbor:"6,keyasint,omitempty"` // number of records in the replying store
	Horizon        time.Time        `cbor:"7,keyasint"`
	Known          map[string]Fence `cbor:"8,keyasint,omitempty"`
}

// CopyReply returns the part of a reply that all steps share, without records.
func (g *Gate) CopyReply(requester string) CopyReply {
	reply := CopyReply{Store: g.name, Fence: g.state.Self, Ready: g.Ready(), Horizon: g.state.Horizon, Known: g.state.Known}
	if f, ok := g.state.Known[requester]; ok {
		reply.RequesterFence = &f
	}
	return reply
}

// Serves reports whether records may be copied to the requester: its current
// fence is recorded here, and this store is ready itself.
func (g *Gate) Serves(req CopyRequest) bool {
	f, ok := g.state.Known[req.Store]
	return g.Ready() && ok && f == req.Fence
}

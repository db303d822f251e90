package claim

import "time"

// KeyRecord is a record with its key.
type KeyRecord struct {
	Key    Key     `cbor:"1,keyasint"`
	Record *Record `cbor:"2,keyasint"`
}

// CopyStep tells what a store that lost its disk asks of another one.
type CopyStep uint8

// Steps of a copy.
const (
	CopyStatus   CopyStep = iota + 1 // what is known of the requester
	CopyRegister                     // record the requester's fence
	CopyPage                         // one part of the records
)

// CopyRequest is one step of the copy of a store.
type CopyRequest struct {
	Store string   `cbor:"1,keyasint"` // the requester
	Fence Fence    `cbor:"2,keyasint"`
	Step  CopyStep `cbor:"3,keyasint"`
	Page  int      `cbor:"4,keyasint,omitempty"`
	// Parts divides each shard into so many pages; the same for all pages of a copy.
	Parts int `cbor:"5,keyasint,omitempty"`
}

// CopyReply answers a CopyRequest.
type CopyReply struct {
	Store string `cbor:"1,keyasint"`
	Fence Fence  `cbor:"2,keyasint"` // of the replying store; the same on all pages
	Ready bool   `cbor:"3,keyasint,omitempty"`
	// RequesterFence is the fence that the replying store knows of the requester.
	RequesterFence *Fence           `cbor:"4,keyasint,omitempty"`
	Records        []KeyRecord      `cbor:"5,keyasint,omitempty"`
	Count          int              `cbor:"6,keyasint,omitempty"` // records of the replying store
	Horizon        time.Time        `cbor:"7,keyasint"`
	Known          map[string]Fence `cbor:"8,keyasint,omitempty"`
}

// CopyReply returns a reply without records, for all steps.
func (g *Gate) CopyReply(requester string) CopyReply {
	reply := CopyReply{Store: g.name, Fence: g.state.Self, Ready: g.Ready(), Horizon: g.state.Horizon, Known: g.state.Known}
	if f, ok := g.state.Known[requester]; ok {
		reply.RequesterFence = &f
	}
	return reply
}

// Serves reports whether records may be copied to the requester: its fence is
// recorded, and this store itself has nothing left to copy.
func (g *Gate) Serves(req CopyRequest) bool {
	f, ok := g.state.Known[req.Store]
	return g.Ready() && ok && f == req.Fence
}

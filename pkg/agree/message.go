package agree

import "time"

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // also the heartbeat
	MsgAppendReply
	MsgSnapshot // answered by MsgAppendReply
	MsgJoin     // from a server that is not a member; the addressee's incarnation is empty
)

// Message travels between two servers. A message for another incarnation of
// the addressee is dropped.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    ID          `cbor:"2,keyasint"`
	To      ID          `cbor:"3,keyasint"`
	Peer    string      `cbor:"4,keyasint,omitempty"` // MsgJoin: address of the sender
	Term    uint64      `cbor:"5,keyasint,omitempty"` // in pre-votes the term the candidate would have
	Members uint64      `cbor:"6,keyasint,omitempty"` // index of the sender's membership

	// Append: index and term of the entry before Entries. Votes: the
	// candidate's last entry. AppendReply: Index is the last entry known to be
	// equal, or the refused one if Reject is set.
	Index   uint64  `cbor:"7,keyasint,omitempty"`
	LogTerm uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Commit  uint64  `cbor:"10,keyasint,omitempty"`

	Reject bool   `cbor:"11,keyasint,omitempty"`
	Hint   uint64 `cbor:"12,keyasint,omitempty"` // refused append: largest index that may be equal

	// Round and Sent are returned by the follower as they came.
	Round uint64        `cbor:"13,keyasint,omitempty"` // counts the leader's broadcasts
	Sent  time.Duration `cbor:"14,keyasint,omitempty"` // leader's clock when it sent

	Snapshot *Snapshot `cbor:"15,keyasint,omitempty"`
}

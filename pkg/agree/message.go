package agree

import "time"

// MessageKind is the type of a message.
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
	MsgJoin     // request for admission by a server that is not a member; To.Incarnation is empty
)

// Message is sent from one server to another. A server drops messages that are
// addressed to another incarnation of its host.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    ID          `cbor:"2,keyasint"`
	To      ID          `cbor:"3,keyasint"`
	Peer    string      `cbor:"4,keyasint,omitempty"` // MsgJoin: address of the sender
	Term    uint64      `cbor:"5,keyasint,omitempty"` // in pre-votes: term of the election that would follow
	Members uint64      `cbor:"6,keyasint,omitempty"` // index of the sender's membership

	// MsgAppend: index and term of the entry before Entries. MsgVote and
	// MsgPreVote: the candidate's last entry. MsgAppendReply: Index is the last
	// entry known to match, or the rejected index if Reject is set.
	Index   uint64  `cbor:"7,keyasint,omitempty"`
	LogTerm uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Commit  uint64  `cbor:"10,keyasint,omitempty"`

	Reject bool   `cbor:"11,keyasint,omitempty"`
	Hint   uint64 `cbor:"12,keyasint,omitempty"` // rejected append: largest index that may match

	// Round and Sent are returned unchanged in the reply.
	Round uint64        `cbor:"13,keyasint,omitempty"` // number of the leader's latest broadcast
	Sent  time.Duration `cbor:"14,keyasint,omitempty"` // sending time on the leader's clock

	Snapshot *Snapshot `cbor:"15,keyasint,omitempty"`
}

// Bytes approximates the size of the entries and of the snapshot in a message.
func (m *Message) Bytes() int {
	size := 0
	for i := range m.Entries {
		size += m.Entries[i].bytes()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

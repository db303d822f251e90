package agree

import "time"

// progress is the replication state of one server as the leader knows it. It
// belongs to an incarnation: a replacement starts with no entries (I6).
type progress struct {
	match     uint64        // last entry known to be durable on the server
	next      uint64        // next entry to send
	inFlight  bool          // an append or snapshot is unanswered
	resendAt  time.Duration // when an unanswered append or snapshot is sent again
	lastHeard time.Duration // time of the last answer
	ackedSent time.Duration // latest sending time of an answered message, on the leader's clock
	round     uint64        // latest broadcast that was answered
}

// leadership is the state that a leader keeps for its term.
type leadership struct {
	since            time.Duration
	firstIndex       uint64 // index of the term's first entry
	heartbeatDue     time.Duration
	round            uint64
	broadcastPending bool // the next output includes a heartbeat to every server
	progress         map[ID]*progress
	reads            []pendingRead
}

func newLeadership(n *Node) *leadership {
	return &leadership{
		since: n.now, firstIndex: n.log.last() + 1, heartbeatDue: n.now + n.options.Heartbeat, broadcastPending: true,
		progress: map[ID]*progress{},
	}
}

// progressOf returns the progress of a server and creates it on first use. The
// server then counts as just heard, which gives it one election timeout to
// answer. Sending starts with the term's first entry; a server that lacks
// earlier ones rejects it, with a hint where its log ends.
func (n *Node) progressOf(id ID) *progress {
	p, ok := n.leadership.progress[id]
	if !ok {
		p = &progress{next: n.leadership.firstIndex, lastHeard: n.now, ackedSent: n.leadership.since}
		n.leadership.progress[id] = p
	}
	return p
}

func durationOf(n int64) time.Duration { return time.Duration(n) }

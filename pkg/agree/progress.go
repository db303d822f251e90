package agree

import "time"

// progress is what the leader knows of one server. It belongs to an
// incarnation: a replaced server starts with nothing (I6).
type progress struct {
	match     uint64        // entries up to here are durable there
	next      uint64        // next entry to send
	inFlight  bool          // an append or snapshot is unanswered
	resendAt  time.Duration // when the unanswered one is sent again
	lastHeard time.Duration // last answer
	ackedSent time.Duration // latest own sending time that was answered
	round     uint64        // latest broadcast that was answered
}

// leadership is the state of a leader in its term.
type leadership struct {
	since            time.Duration
	firstIndex       uint64 // index of the term's first entry
	heartbeatDue     time.Duration
	round            uint64
	broadcastPending bool // a broadcast is wanted with the next output
	progress         map[ID]*progress
	reads            []pendingRead
}

func newLeadership(n *Node) *leadership {
	return &leadership{
		since: n.now, firstIndex: n.log.last() + 1, heartbeatDue: n.now + n.options.Heartbeat, broadcastPending: true,
		progress: map[ID]*progress{},
	}
}

// progressOf returns the progress of a server. The first use grants it the
// time of one election timeout to answer. Sending starts with the term's first
// entry; a server that lacks earlier ones refuses it and names its end.
func (n *Node) progressOf(id ID) *progress {
	p, ok := n.leadership.progress[id]
	if !ok {
		p = &progress{next: n.leadership.firstIndex, lastHeard: n.now, ackedSent: n.leadership.since}
		n.leadership.progress[id] = p
	}
	return p
}

func durationOf(n int64) time.Duration { return time.Duration(n) }

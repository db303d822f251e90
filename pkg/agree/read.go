package agree

import "time"

// pendingRead is a read that waits for a majority to confirm that this server
// still led after the read arrived.
type pendingRead struct {
	id    uint64
	index uint64 // commit index when the read arrived
	round uint64 // first broadcast whose answers confirm the read
}

// Read requests the index that a linearizable read has to wait for. The result
// follows in Output.Reads under the same id. It returns ErrNotLeader, or
// ErrNotReady while the leader may not know all committed entries.
func (n *Node) Read(now time.Duration, id uint64) error {
	n.Tick(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.hasCommittedInTerm() {
		return ErrNotReady
	}
	l := n.leadership
	// Answers to the next output's broadcast show that this server led after
	// the read arrived.
	l.broadcastPending = true
	l.reads = append(l.reads, pendingRead{id: id, index: n.commit, round: l.round + 1})
	n.finishReads()
	return nil
}

// finishReads answers the reads that a majority has confirmed.
func (n *Node) finishReads() {
	l := n.leadership
	confirmed := quorumValue(n.members.current(), func(id ID) uint64 {
		if id == n.self {
			return l.round + 1
		}
		return n.progressOf(id).round
	})
	for len(l.reads) > 0 && l.reads[0].round <= confirmed {
		n.reads = append(n.reads, ReadResult{ID: l.reads[0].id, Index: l.reads[0].index})
		l.reads = l.reads[1:]
	}
}

// failReads answers all pending reads with ErrNotLeader.
func (n *Node) failReads() {
	for _, r := range n.leadership.reads {
		n.reads = append(n.reads, ReadResult{ID: r.id, Err: ErrNotLeader})
	}
}

package agree

import "time"

// quorumAckedSent returns the latest time such that a majority has answered
// messages that the leader sent at that time or later.
func (n *Node) quorumAckedSent() time.Duration {
	return time.Duration(quorumValue(n.members.current(), func(id ID) int64 {
		if id == n.self {
			return int64(n.now)
		}
		return int64(n.progressOf(id).ackedSent)
	}))
}

// checkQuorum makes the leader step down if no majority has answered messages
// that it sent within ElectionMax.
func (n *Node) checkQuorum() {
	if n.now-n.quorumAckedSent() >= n.options.ElectionMax {
		n.becomeFollower(n.state.Term, ID{})
	}
}

// scheduleHeartbeat adds a heartbeat to the next output if it is due.
func (n *Node) scheduleHeartbeat() {
	if n.role == Leader && n.now >= n.leadership.heartbeatDue {
		n.leadership.broadcastPending = true
	}
}

// flush sends pending heartbeats, and entries to servers with no append in flight.
func (n *Node) flush() {
	l := n.leadership
	if l.broadcastPending {
		l.round++
		l.broadcastPending, l.heartbeatDue = false, n.now+n.options.Heartbeat
		n.forEachFollower(func(s Server, p *progress) { n.sendHeartbeat(s.ID, p) })
	}
	n.forEachFollower(func(s Server, p *progress) {
		if p.inFlight && n.now >= p.resendAt {
			p.inFlight = false
		}
		if !p.inFlight && p.next <= n.log.last() {
			n.sendEntries(s.ID, p)
		}
	})
}

// forEachFollower calls do for all members but this server, learners included.
func (n *Node) forEachFollower(do func(Server, *progress)) {
	for _, s := range n.members.current().Servers {
		if s.ID != n.self {
			do(s, n.progressOf(s.ID))
		}
	}
}

// sendHeartbeat sends an empty append after the last entry known to match, so
// that it is accepted whatever else is in flight.
func (n *Node) sendHeartbeat(to ID, p *progress) {
	m := Message{Kind: MsgAppend, To: to, Commit: min(n.commit, p.match), Round: n.leadership.round, Sent: n.now}
	if term, ok := n.log.term(p.match); ok {
		m.Index, m.LogTerm = p.match, term
	}
	n.send(m)
}

// sendEntries sends the next entries, or the snapshot if they were compacted.
func (n *Node) sendEntries(to ID, p *progress) {
	p.inFlight, p.resendAt = true, n.now+resendHeartbeats*n.options.Heartbeat
	before := p.next - 1
	term, ok := n.log.term(before)
	if !ok {
		p.resendAt = n.now + snapshotResend
		snapshot := n.snapshot
		n.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &snapshot, Round: n.leadership.round, Sent: n.now})
		return
	}
	n.send(Message{Kind: MsgAppend, To: to, Index: before, LogTerm: term, Entries: n.log.batch(before),
		Commit: n.commit, Round: n.leadership.round, Sent: n.now})
}

func (n *Node) handleAppendReply(m Message) {
	if n.role != Leader || !n.members.current().Has(m.From) {
		return
	}
	p := n.progressOf(m.From)
	p.lastHeard = n.now
	p.ackedSent, p.round = max(p.ackedSent, m.Sent), max(p.round, m.Round)
	if m.Reject {
		n.backtrack(p, m)
	} else if m.Index >= p.match {
		n.advance(p, m.Index)
	}
	n.finishReads()
	n.promote()
}

// advance records that a server holds the entries up to match.
func (n *Node) advance(p *progress, match uint64) {
	if match >= p.next || match > p.match {
		p.inFlight = false
	}
	p.match, p.next = match, max(p.next, match+1)
	n.advanceCommit()
}

// backtrack continues after the largest entry that may match. It ignores a late
// rejection of an earlier append, which says nothing about the one in flight.
func (n *Node) backtrack(p *progress, m Message) {
	if m.Index != p.next-1 || m.Index <= p.match {
		return
	}
	p.next = max(p.match+1, min(m.Hint+1, m.Index))
	p.inFlight = false
}

// advanceCommit commits the entries that a majority of voters has stored, if the
// last of them is of the leader's own term (I2).
func (n *Node) advanceCommit() {
	index := quorumValue(n.members.current(), func(id ID) uint64 {
		if id == n.self {
			// The leader's entries are durable before anything of the same
			// output is sent or applied.
			return n.log.last()
		}
		return n.progressOf(id).match
	})
	if term, ok := n.log.term(index); !ok || term != n.state.Term || index <= n.commit {
		return
	}
	n.commitUpTo(index)
	n.leadership.broadcastPending = true // lets followers apply the entries before the next heartbeat is due
}

// hasCommittedInTerm reports whether the leader has committed an entry of its own
// term, and so knows all committed entries.
func (n *Node) hasCommittedInTerm() bool { return n.commit >= n.leadership.firstIndex }

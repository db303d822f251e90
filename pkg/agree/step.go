package agree

import "time"

// Step handles a message of another server. An error means that an invariant
// is broken; the caller must stop the server.
func (n *Node) Step(now time.Duration, m Message) error {
	n.Tick(now)
	if m.Kind == MsgJoin {
		if m.To.Name == n.self.Name {
			_ = n.Admit(now, Server{ID: m.From, Peer: m.Peer}) // the joining server asks again
		}
		return nil
	}
	if !n.acceptsMessage(m) || !n.checkTerm(m) {
		return nil
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	}
	return n.invariantErr
}

// acceptsMessage drops messages for another incarnation of this host (I6), and
// those of a sender's incarnation that the own membership has replaced. A
// sender with a newer membership is heard: this server may not know of its
// admission yet.
func (n *Node) acceptsMessage(m Message) bool {
	if m.To != n.self || m.From.Name == n.self.Name {
		return false
	}
	members := n.members.current()
	s, known := members.Find(m.From.Name)
	return !known || s.ID == m.From || m.Members > members.Index
}

// checkTerm compares terms and reports whether the message is to be handled.
func (n *Node) checkTerm(m Message) bool {
	switch {
	case m.Term == n.state.Term:
		return true
	case m.Term < n.state.Term:
		n.rejectStaleTerm(m)
		return false
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true // the term is only asked for
	case m.Kind == MsgVote && n.leaderAlive():
		return false // a returning host must not unseat a working leader
	}
	leader := ID{}
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm answers an old leader or candidate with the present term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.commit})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderAlive reports whether a leader was heard within the shortest election
// timeout. The leader's lease (Status.QuorumUntil) rests on this refusal.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.now-n.heardLeader < n.options.ElectionMin
}

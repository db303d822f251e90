package agree

import "time"

// Step handles a message from another server. The error is an *InvariantError;
// the caller must then stop the server.
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

// acceptsMessage reports whether sender and addressee are current. It rejects
// messages for another incarnation of this host (I6) and messages from an
// incarnation that this server's membership has replaced, unless the sender has
// a newer membership: this server may not know of its admission yet.
func (n *Node) acceptsMessage(m Message) bool {
	if m.To != n.self || m.From.Name == n.self.Name {
		return false
	}
	members := n.members.current()
	s, known := members.Find(m.From.Name)
	return !known || s.ID == m.From || m.Members > members.Index
}

// checkTerm reports whether a message is to be handled in view of its term. A later
// term becomes the current one.
func (n *Node) checkTerm(m Message) bool {
	switch {
	case m.Term == n.state.Term:
		return true
	case m.Term < n.state.Term:
		n.rejectStaleTerm(m)
		return false
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true // a pre-vote does not start the term
	case m.Kind == MsgVote && n.leaderAlive():
		return false // a returning host must not depose a working leader
	}
	leader := ID{}
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm answers a leader or pre-candidate of an earlier term with the
// current term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.commit})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderAlive reports whether a leader was heard within ElectionMin, so that
// votes are refused. The leader's lease (Status.LeaseEnd) relies on that.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.now-n.heardLeader < n.options.ElectionMin
}

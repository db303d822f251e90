package agree

// handleVote answers a candidate or pre-candidate of the present or a later term.
func (n *Node) handleVote(m Message) {
	grant := !n.log.fresherThan(m.Index, m.LogTerm) // I2
	if m.Kind == MsgPreVote {
		grant = grant && m.Term > n.state.Term && !n.leaderAlive()
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant, Term: m.Term}
		if !grant {
			reply.Term = n.state.Term
		}
		n.send(reply)
		return
	}
	// I1: one vote in each term, repeated to the same candidate only.
	grant = grant && (n.state.Vote == ID{} || n.state.Vote == m.From) && !n.leaderAlive()
	if grant {
		n.becomeFollower(n.state.Term, ID{}) // ends an own pre-election
		n.state.Vote = m.From
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	wanted := n.role == PreCandidate && m.Kind == MsgPreVoteReply && m.Term == n.state.Term+1 ||
		n.role == Candidate && m.Kind == MsgVoteReply && m.Term == n.state.Term
	if !wanted || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// countVotes counts voters of the own membership, each with its incarnation (I6).
func (n *Node) countVotes() {
	members := n.members.current()
	granted := 0
	for id := range n.votes {
		if members.IsVoter(id) {
			granted++
		}
	}
	if granted < members.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign()
		return
	}
	n.becomeLeader()
}

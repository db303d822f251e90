package agree

// handleVote answers a candidate or pre-candidate of the current or a later term.
func (n *Node) handleVote(m Message) {
	grant := !n.log.moreUpToDateThan(m.Index, m.LogTerm) // I2
	if m.Kind == MsgPreVote {
		grant = grant && m.Term > n.state.Term && !n.leaderAlive() && !n.hasPreVotePriority(m)
		if grant && n.role != Candidate {
			n.becomeFollower(n.state.Term, n.leader) // ends this server's own pre-vote: two candidates would split the votes
		}
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant, Term: m.Term}
		if !grant {
			reply.Term = n.state.Term
		}
		n.send(reply)
		return
	}
	// I1: one vote in each term, repeated only for the same candidate.
	grant = grant && (n.state.Vote == ID{} || n.state.Vote == m.From) && !n.leaderAlive()
	if grant {
		n.becomeFollower(n.state.Term, ID{}) // ends this server's own pre-vote
		n.state.Vote = m.From
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// hasPreVotePriority reports whether this server's pre-vote takes precedence over
// one that started at about the same time with an equal log; the smaller name
// wins. Otherwise both would become candidates of one term, and with an even
// number of voters neither might win. The precedence lasts ElectionMin/2, since
// this server may be unable to win.
func (n *Node) hasPreVotePriority(m Message) bool {
	return n.role == PreCandidate && n.now-n.preVoteStarted < n.options.ElectionMin/2 && m.Term == n.state.Term+1 &&
		m.Index == n.log.last() && m.LogTerm == n.log.lastTerm() && n.self.Name < m.From.Name
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

// countVotes ends a pre-vote or election that a majority has granted. It counts
// voters of this server's membership, each with its incarnation (I6).
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
		n.startElection()
		return
	}
	n.becomeLeader()
}

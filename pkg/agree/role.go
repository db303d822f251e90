package agree

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.state.Term {
		n.state = HardState{Term: term}
	}
	if n.role == Leader {
		n.failReads()
	}
	n.role, n.leader, n.votes, n.leadership = Follower, leader, nil, nil
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	spread := n.options.ElectionMax - n.options.ElectionMin
	n.electionDue = n.now + n.options.ElectionMin
	if spread > 0 {
		n.electionDue += durationOf(n.options.Random(int64(spread)))
	}
}

// startPreVote asks whether an election could be won, without a new term.
func (n *Node) startPreVote() {
	n.resetElectionTimer()
	members := n.members.current()
	if !members.IsVoter(n.self) {
		return
	}
	n.role, n.leader, n.preVoteStarted = PreCandidate, ID{}, n.now
	n.requestVotes(MsgPreVote, n.state.Term+1)
}

func (n *Node) startElection() {
	n.role = Candidate
	n.state = HardState{Term: n.state.Term + 1, Vote: n.self}
	n.resetElectionTimer()
	n.requestVotes(MsgVote, n.state.Term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	n.votes = map[ID]bool{n.self: true}
	for _, s := range n.members.current().Servers {
		if s.Voter && s.ID != n.self {
			n.send(Message{Kind: kind, To: s.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes()
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.self, nil
	n.leadership = newLeadership(n)
	// I2: earlier entries are committed by the commit of this one.
	n.append(Entry{Kind: EntryEmpty})
}

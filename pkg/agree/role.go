package agree

// becomeFollower makes this server a follower in the term if it is later than
// the current one, otherwise in the current term. A zero leader means that it is unknown.
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

// resetElectionTimer draws a new election timeout between ElectionMin and
// ElectionMax, so that servers rarely start elections at the same time.
func (n *Node) resetElectionTimer() {
	spread := n.options.ElectionMax - n.options.ElectionMin
	n.electionDue = n.now + n.options.ElectionMin
	if spread > 0 {
		n.electionDue += durationOf(n.options.Random(int64(spread)))
	}
}

// startPreVote asks the voters whether this server could win an election, without
// starting a new term. Servers that are not voters do nothing.
func (n *Node) startPreVote() {
	n.resetElectionTimer()
	members := n.members.current()
	if !members.IsVoter(n.self) {
		return
	}
	n.role, n.leader, n.preVoteStarted = PreCandidate, ID{}, n.now
	n.requestVotes(MsgPreVote, n.state.Term+1)
}

// startElection starts a new term, in which this server votes for itself.
func (n *Node) startElection() {
	n.role = Candidate
	n.state = HardState{Term: n.state.Term + 1, Vote: n.self}
	n.resetElectionTimer()
	n.requestVotes(MsgVote, n.state.Term)
}

// requestVotes asks all other voters for a vote or pre-vote.
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
	// I2: committing this entry also commits those of earlier terms.
	n.append(Entry{Kind: EntryEmpty})
}

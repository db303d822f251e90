package agree

// followLeader follows the sender of an append or snapshot of the current term.
// It returns false and sets invariantErr if this server leads the term itself.
func (n *Node) followLeader(m Message) bool {
	if n.role == Leader {
		n.invariantErr = invariant("two leaders in term %d: %s and %s", n.state.Term, n.self, m.From) // I1
		return false
	}
	n.becomeFollower(n.state.Term, m.From)
	n.heardLeader = n.now
	return true
}

func (n *Node) handleAppend(m Message) {
	if !n.followLeader(m) {
		return
	}
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Sent: m.Sent, Index: m.Index}
	entries := m.Entries
	index, logTerm := m.Index, m.LogTerm
	if index < n.log.base { // entries up to the base are committed and therefore match (I4)
		skip := min(n.log.base-index, uint64(len(entries)))
		entries, index, logTerm = entries[skip:], n.log.base, n.log.baseTerm
	}
	if term, ok := n.log.term(index); !ok || term != logTerm {
		reply.Reject, reply.Hint = true, n.matchHint(index)
		n.send(reply)
		return
	}
	if !n.store(entries) {
		return
	}
	reply.Index = index + uint64(len(entries))
	n.commitUpTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// store appends the entries that the log does not hold yet. Matching entries
// stay: a delayed message must not remove the entries after them. It returns
// false and sets invariantErr if a committed entry would be replaced.
func (n *Node) store(entries []Entry) bool {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= n.commit {
			n.invariantErr = invariant("entry %d is committed and would be replaced", e.Index) // I4
			return false
		}
		n.members.truncate(e.Index - 1)
		n.log.add(entries[i:]...)
		n.members.record(entries[i:])
		return true
	}
	return true
}

// matchHint returns the largest index before the rejected one that may match the
// leader's log: it skips all entries of a conflicting entry's term.
func (n *Node) matchHint(refused uint64) uint64 {
	if refused > n.log.last() {
		return n.log.last()
	}
	conflict, _ := n.log.term(refused)
	hint := refused - 1
	for hint > n.commit {
		if term, _ := n.log.term(hint); term != conflict {
			break
		}
		hint--
	}
	return hint
}

// commitUpTo raises the commit index, at most to the end of the log.
func (n *Node) commitUpTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
	n.members.dropSuperseded(min(n.commit, n.snapshot.Index))
}

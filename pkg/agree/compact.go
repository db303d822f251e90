package agree

// SnapshotAt returns a snapshot with the state machine's data as of index. ok
// is false if a snapshot of this or a later index was installed meanwhile.
func (n *Node) SnapshotAt(index uint64, data []byte) (s Snapshot, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index <= n.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}, true
}

// StateAfter returns the saved hard state and the saved entries after s. Together
// with s they are the whole state to persist.
func (n *Node) StateAfter(s Snapshot) (HardState, []Entry) {
	return n.saved, n.log.between(s.Index, n.log.unsaved-1)
}

// Compact drops the entries that the durable snapshot s covers, except for the
// last ones up to trailingEntries and trailingBytes, which slow followers may need.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	n.log.compact(n.log.trailingStart(s.Index, trailingEntries, trailingBytes))
	n.members.dropSuperseded(n.snapshot.Index)
}

func (n *Node) handleSnapshot(m Message) {
	if !n.followLeader(m) || m.Snapshot == nil {
		return
	}
	s := *m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Sent: m.Sent, Index: s.Index}
	switch term, held := n.log.term(s.Index); {
	case s.Index <= n.commit:
		reply.Index = n.commit
	case held && term == s.Term:
		n.commitUpTo(s.Index) // I3: all entries up to the snapshot match
	default:
		n.log.reset(s.Index, s.Term)
		n.members.list = []Membership{s.Members}
		n.commit, n.applied = s.Index, s.Index
		n.snapshot, n.install = s, &s
	}
	n.send(reply)
}

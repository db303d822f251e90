package agree

import "time"

// Admit replaces the server of the same name by a new incarnation as a
// learner. The leader promotes it once it holds all committed entries. A
// server of a new name is added if Options.AllowJoin is set. Admit only starts
// the change; it returns nil if the server is a member already.
func (n *Node) Admit(now time.Duration, s Server) error {
	n.Tick(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	members := n.members.current()
	old, ok := members.Find(s.ID.Name)
	if !ok && !n.options.AllowJoin {
		return ErrUnknownMember
	}
	if old.ID == s.ID {
		return nil
	}
	if err := n.checkChangeAllowed(); err != nil {
		return err
	}
	if !ok {
		s.Voter = false
		n.changeMembership(members.with(s))
		return nil
	}
	// If the old incarnation still answers, two processes use the same name.
	if old.ID == n.self || n.now-n.progressOf(old.ID).lastHeard < n.options.ElectionMax {
		return ErrStillActive
	}
	s.Voter = false
	if s.Peer == "" {
		s.Peer = old.Peer
	}
	n.changeMembership(members.with(s))
	return nil
}

// promote turns a learner that holds all committed entries into a voter. The
// change that admitted it is committed by then.
func (n *Node) promote() {
	if n.role != Leader || n.checkChangeAllowed() != nil {
		return
	}
	members := n.members.current()
	for _, s := range members.Servers {
		if !s.Voter && n.progressOf(s.ID).match >= n.commit {
			s.Voter = true
			n.changeMembership(members.with(s))
			return
		}
	}
}

// removeSilentMember removes one member that has not answered for
// Options.SilentAfter, so that a host that never returns stops counting towards
// the size of the majority. A host that does return asks for admission again.
func (n *Node) removeSilentMember() {
	if n.options.SilentAfter == 0 || n.role != Leader || n.checkChangeAllowed() != nil {
		return
	}
	members := n.members.current()
	for _, s := range members.Servers {
		if s.ID == n.self || n.now-n.progressOf(s.ID).lastHeard < n.options.SilentAfter {
			continue
		}
		if s.Voter && !n.mayRemoveVoter() {
			continue
		}
		n.changeMembership(members.without(s.ID.Name))
		return
	}
}

// mayRemoveVoter reports whether the group without one of its voters still survives the
// tolerated losses, or as many as with it: an even number of voters survives no more than
// one voter less, so that replaced hosts do not add up in a small group.
func (n *Node) mayRemoveVoter() bool {
	voters := n.members.current().voters()
	if voters <= minVoters {
		return false
	}
	return survivedLosses(voters-1) >= min(n.options.ToleratedLosses, survivedLosses(voters))
}

// checkChangeAllowed returns ErrNotReady or ErrChangePending if a membership change
// would break I5.
func (n *Node) checkChangeAllowed() error {
	if !n.hasCommittedInTerm() {
		return ErrNotReady
	}
	if n.members.current().Index > n.commit {
		return ErrChangePending
	}
	return nil
}

// changeMembership appends the new membership and drops the progress of servers
// that it does not hold.
func (n *Node) changeMembership(servers []Server) {
	n.append(Entry{Kind: EntryMembership, Servers: servers})
	for id := range n.leadership.progress {
		if !n.members.current().Has(id) {
			delete(n.leadership.progress, id)
		}
	}
}

package agree

import "time"

// Role of a server in the present term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one server's part in the agreement. It is not safe for concurrent use.
type Node struct {
	options Options
	self    ID

	state HardState
	saved HardState // as last handed out for persistence

	log      *entryLog
	members  membershipHistory
	snapshot Snapshot // newest one, sent to servers that are behind the log's base
	install  *Snapshot

	role     Role
	leader   ID
	commit   uint64
	applied  uint64 // handed out as committed
	messages []Message
	reads    []ReadResult

	now            time.Duration
	heardLeader    time.Duration // last message of the present leader, or the start
	electionDue    time.Duration
	preVoteStarted time.Duration // begin of the last pre-election
	votes          map[ID]bool   // granted in the running (pre-)election
	leadership     *leadership   // nil unless leader
	invariantErr   error
}

// New returns the node that was persisted in o.
func New(o Options, now time.Duration) *Node {
	o.setDefaults()
	n := &Node{
		options: o, self: o.Self, state: o.State, saved: o.State, snapshot: o.Snapshot,
		log:    newEntryLog(o.Snapshot.Index, o.Snapshot.Term, o.Entries),
		commit: o.Snapshot.Index, applied: o.Snapshot.Index, now: now,
		// The vote lease of the last leader may have been lost with the
		// restart, so votes are refused as if the leader had just been heard.
		heardLeader: now,
	}
	if o.Snapshot.Index > 0 {
		n.members.list = []Membership{o.Snapshot.Members}
	}
	n.members.record(o.Entries)
	n.resetElectionTimer()
	return n
}

// Bootstrap starts the history with its first membership. It is called on one
// server only, and only if no member holds a history.
func (n *Node) Bootstrap(servers []Server) error {
	if n.HasHistory() {
		return ErrNotEmpty
	}
	n.state.Term = max(n.state.Term, 1)
	n.append(Entry{Kind: EntryMembership, Servers: servers})
	return nil
}

// HasHistory reports whether the node holds a snapshot or entries.
func (n *Node) HasHistory() bool { return n.log.last() > 0 }

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.checkQuorum()
		n.removeSilentMember()
		n.scheduleHeartbeat()
		return
	}
	if n.now >= n.electionDue {
		n.startPreVote()
	}
}

// Propose appends a command if this server leads and returns its place. The
// command is accepted once the entry of this index and term is committed.
func (n *Node) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	n.Tick(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.log.last()-n.commit >= maxUncommitted {
		return 0, 0, ErrTooMany
	}
	e := n.append(Entry{Kind: EntryCommand, Command: command})
	return e.Index, e.Term, nil
}

// append adds an entry of the present term to the own log.
func (n *Node) append(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.state.Term
	n.log.add(e)
	n.members.record([]Entry{e})
	if n.role == Leader {
		n.advanceCommit()
	}
	return e
}

// Ready returns what has to be done since the last call.
func (n *Node) Ready() Output {
	if n.role == Leader {
		n.flush()
	}
	o := Output{Install: n.install, Entries: n.log.takeUnsaved(), Messages: n.messages, Reads: n.reads}
	if n.state != n.saved {
		state := n.state
		o.State, n.saved = &state, state
	}
	if n.applied < n.commit {
		o.Committed = n.log.between(n.applied, n.commit)
		n.applied = n.commit
	}
	n.install, n.messages, n.reads = nil, nil, nil
	return o
}

func (n *Node) send(m Message) {
	m.From, m.Members = n.self, n.members.current().Index
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.messages = append(n.messages, m)
}

package agree

import "time"

// Role is the role of a server in its current term.
type Role uint8

// Roles of a server.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the consensus state of one server. It is not safe for concurrent use.
type Node struct {
	options Options
	self    ID

	state HardState
	saved HardState // as last handed out for persistence

	log      *entryLog
	members  membershipHistory
	snapshot Snapshot  // newest one, sent to servers that lack entries up to the log's base
	install  *Snapshot // received one for the next output

	role     Role
	leader   ID
	commit   uint64
	applied  uint64 // last index handed out as committed
	messages []Message
	reads    []ReadResult

	now            time.Duration
	heardLeader    time.Duration // time of the current leader's last message, or of the start
	electionDue    time.Duration
	preVoteStarted time.Duration // start of the last pre-vote
	votes          map[ID]bool   // granted in the current pre-vote or election
	leadership     *leadership   // nil unless leader
	invariantErr   error
}

// New returns a node that continues from the persisted state in o.
func New(o Options, now time.Duration) *Node {
	o.setDefaults()
	n := &Node{
		options: o, self: o.Self, state: o.State, saved: o.State, snapshot: o.Snapshot,
		log:    newEntryLog(o.Snapshot.Index, o.Snapshot.Term, o.Entries),
		commit: o.Snapshot.Index, applied: o.Snapshot.Index, now: now,
		// The server may have answered a leader just before the restart and
		// so extended its lease; votes are refused as if that leader had just
		// been heard.
		heardLeader: now,
	}
	if o.Snapshot.Index > 0 {
		n.members.list = []Membership{o.Snapshot.Members}
	}
	n.members.record(o.Entries)
	n.resetElectionTimer()
	return n
}

// Bootstrap starts the log with the first membership. It must be called on one
// server only, and only if no member holds entries or a snapshot. It returns
// ErrNotEmpty if this server does.
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

// Tick advances the clock and starts whatever is due: heartbeats, the removal of
// a silent member, a pre-vote, or the end of a leadership without a majority.
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

// Propose appends a command if this server leads, and returns the index and term
// of its entry. The command is accepted once the entry of this index and term is
// committed.
func (n *Node) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	n.Tick(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !n.fitsUncommitted(len(command)) {
		return 0, 0, ErrTooManyUncommitted
	}
	e := n.append(Entry{Kind: EntryCommand, Command: command})
	return e.Index, e.Term, nil
}

// fitsUncommitted reports whether a command of this size may be appended. A command of any
// size may while nothing else is uncommitted.
func (n *Node) fitsUncommitted(size int) bool {
	uncommitted := n.log.between(n.commit, n.log.last())
	if len(uncommitted) >= maxUncommitted {
		return false
	}
	held := 0
	for i := range uncommitted {
		held += len(uncommitted[i].Command)
	}
	return held == 0 || held+size <= maxUncommittedBytes
}

// append adds an entry of the current term to this server's log.
func (n *Node) append(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.state.Term
	n.log.add(e)
	n.members.record([]Entry{e})
	if n.role == Leader {
		n.advanceCommit()
	}
	return e
}

// Ready returns the work that has arisen since the last call.
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

// send queues a message for the next output, by default with the current term.
func (n *Node) send(m Message) {
	m.From, m.Members = n.self, n.members.current().Index
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.messages = append(n.messages, m)
}

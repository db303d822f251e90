package agree

import "time"

// Default timings. A follower starts a pre-vote at a random time between
// ElectionMin and ElectionMax after the leader's last message, so a lost leader
// is replaced in about 1 s.
const (
	DefaultElectionMin = 500 * time.Millisecond
	DefaultElectionMax = 1000 * time.Millisecond
	DefaultHeartbeat   = 100 * time.Millisecond
)

const (
	// maxAppendBytes limits the total size of the entries in one append. A larger
	// entry is sent on its own.
	maxAppendBytes = 1 << 20
	// maxUncommitted and maxUncommittedBytes limit the uncommitted entries, above
	// which a leader rejects further proposals.
	maxUncommitted      = 4096
	maxUncommittedBytes = 16 << 20
	// resendHeartbeats is the number of heartbeat intervals after which an
	// unanswered append is sent again.
	resendHeartbeats = 3
	// snapshotResend is the time after which an unanswered snapshot is sent
	// again. It is longer than that of an append, since a large snapshot takes
	// seconds on a slow link.
	snapshotResend = 5 * time.Second
	// minVoters is the smallest number of voters that the removal of silent
	// members leaves.
	minVoters = 3
	// trailingEntries and trailingBytes limit the entries before a snapshot that
	// stay in memory, so that a follower that lags slightly gets entries instead
	// of the snapshot. Few large entries are no smaller than the snapshot itself.
	trailingEntries = 256
	trailingBytes   = 4 << 20
	// leaseDriftPercent is the share of a lease that is given up to allow for
	// clocks that run at different speeds.
	leaseDriftPercent = 10
)

// Options configure a Node. State, Snapshot and Entries are the persisted
// state. Timings that are zero get their defaults.
type Options struct {
	Self     ID
	Peer     string
	State    HardState
	Snapshot Snapshot // zero if none
	Entries  []Entry  // consecutive, from Snapshot.Index+1
	// Random returns a number in [0, n).
	Random func(n int64) int64

	// AllowJoin lets servers join whose names are not in the membership.
	AllowJoin bool
	// SilentAfter is how long a member may leave messages unanswered before the
	// leader removes it; 0 means that it stays.
	SilentAfter time.Duration
	// ToleratedLosses is the number of voters that may lose their disks at the
	// same time. The removal of silent members leaves enough voters for that: a
	// majority keeps its disks, and with it all committed entries. 0 counts as 1.
	ToleratedLosses int

	ElectionMin time.Duration
	ElectionMax time.Duration
	Heartbeat   time.Duration
}

func (o *Options) setDefaults() {
	if o.ElectionMin == 0 {
		o.ElectionMin = DefaultElectionMin
	}
	if o.ElectionMax == 0 {
		o.ElectionMax = DefaultElectionMax
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	o.ToleratedLosses = max(o.ToleratedLosses, 1)
}

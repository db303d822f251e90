package agree

import "time"

// Default timings: a follower campaigns between ElectionMin and ElectionMax
// after it last heard the leader, so a lost leader is replaced in about 1 s.
const (
	DefaultElectionMin = 500 * time.Millisecond
	DefaultElectionMax = 1000 * time.Millisecond
	DefaultHeartbeat   = 100 * time.Millisecond
)

const (
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 1 << 20
	// maxUncommitted bounds the entries a leader accepts without a majority's answer.
	maxUncommitted = 4096
	// resendHeartbeats is the number of heartbeats after which an unanswered append is sent again.
	resendHeartbeats = 3
	// snapshotResend is longer, since a large snapshot takes seconds on a slow link.
	snapshotResend = 5 * time.Second
	// minVoters is the smallest number of voters that removals of silent members leave.
	minVoters = 3
	// trailingEntries stay in memory behind a snapshot, so that a follower
	// that is slightly behind gets entries instead of the snapshot.
	trailingEntries = 256
	// leaseDriftPercent is the part of a lease given up for clocks that run at different speeds.
	leaseDriftPercent = 10
)

// Options describe a Node. State, Snapshot and Entries are what was persisted.
type Options struct {
	Self     ID
	Peer     string
	State    HardState
	Snapshot Snapshot // zero if none
	Entries  []Entry  // consecutive, from Snapshot.Index+1
	// Random returns a number in [0, n).
	Random func(n int64) int64

	// AllowJoin lets servers join whose names the membership does not hold.
	AllowJoin bool
	// SilentAfter is the silence after which a member is removed; 0 keeps it.
	SilentAfter time.Duration

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
}

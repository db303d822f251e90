package slots

import (
	"math"
	"time"
)

const (
	// AnnounceLifetime is how long an announcement, or a load figure, counts
	// (targets renew each second).
	AnnounceLifetime = 3 * time.Second
	// AbandonGrace is how long a target may go on working after its connection closed.
	AbandonGrace = time.Second
	// StreamSilence is how long after its deadline or last renewal a silent
	// holder's permit counts. It exceeds LostAfter, the 30 s after which targets
	// close a connection that accepts no bytes, and AbandonGrace together.
	StreamSilence = 45 * time.Second
	// LostAfter is how long after the deadline a holder goes on streaming while
	// its renewals stay unanswered. It may then freeze for almost 30 s and resume
	// before the coordinator gives the slot away.
	LostAfter = 12 * time.Second
	// RenewInterval is the interval of renewals of streaming permits.
	RenewInterval = time.Second
	// failuresToSuspect is the number of consecutive failures that lowers a
	// target's share to one probe at a time.
	failuresToSuspect = 3
	// probeInterval separates probes of a suspect target.
	probeInterval = time.Second
	// shedPause is how long a target that shed load is chosen last.
	shedPause = 250 * time.Millisecond
	// saturatedLoad is the reported load from which a target is chosen last.
	saturatedLoad = 1.0
	// forgetAfter is how long a silent target's incarnation and sequence are
	// kept, so that late announcements stay recognizable.
	forgetAfter = 10 * time.Minute
	// cancelMemory is how long a release is remembered whose request has not arrived yet.
	cancelMemory = 10 * time.Second
	// recoveryQueueing is how long requests queue during a recovery before its
	// remaining time counts as their expected wait.
	recoveryQueueing = 2 * time.Second

	// never is the expected wait where no slot will become free.
	never = time.Duration(math.MaxInt64)

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

package slots

import (
	"math"
	"time"
)

const (
	// AnnounceLifetime is how long an announcement and the load it reports are
	// valid. Targets renew their announcements each second.
	AnnounceLifetime = 3 * time.Second
	// AbandonGrace is how long a target may continue to work on a request after
	// the connection was closed.
	AbandonGrace = time.Second
	// StreamSilence is how long a permit whose holder has gone silent still
	// occupies its slot, counted from the deadline or the last renewal. It exceeds
	// the sum of LostAfter, the 30 s after which targets close a connection that
	// accepts no bytes, and AbandonGrace.
	StreamSilence = 45 * time.Second
	// LostAfter is how long a holder continues to stream, counted from the
	// deadline or the last confirmed renewal, while renewals are not answered. A
	// holder that then freezes for almost 30 s still resumes before the
	// coordinator grants the slot to another request.
	LostAfter = 12 * time.Second
	// RenewInterval is the interval of renewals of streaming permits.
	RenewInterval = time.Second
	// failuresToSuspect is the number of consecutive failures after which a
	// target is suspect and gets only one probe request at a time.
	failuresToSuspect = 3
	// probeInterval is the minimum time between two probes of a suspect target.
	probeInterval = time.Second
	// shedPause is how long a target is deprioritized after it shed a request.
	shedPause = 250 * time.Millisecond
	// saturatedLoad is the reported load, as a share of the slots, from which a
	// target is deprioritized.
	saturatedLoad = 1.0
	// targetRetention is how long the incarnation and sequence of a silent target
	// are kept, so that late announcements are recognized as stale.
	targetRetention = 10 * time.Minute
	// cancelRetention is how long a release that arrived before its request is kept.
	cancelRetention = 10 * time.Second
	// recoveryQueueTime is how long after its start a recovery queues every
	// request; after that its remaining time is their expected wait.
	recoveryQueueTime = 2 * time.Second

	// noSlotExpected is the expected wait if no slot will become free.
	noSlotExpected = time.Duration(math.MaxInt64)

	// minRetryAfter and maxRetryAfter bound BusyError.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

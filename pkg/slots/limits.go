package slots

import "time"

const (
	// AnnounceLifetime is how long an announcement, or a load figure, counts
	// (targets renew each second).
	AnnounceLifetime = 3 * time.Second
	// DeadlineMargin covers clocks that differ between coordinator and target,
	// and a target that ends its work late.
	DeadlineMargin = time.Second
	// AbandonGrace is how long a target may go on working after its connection closed.
	AbandonGrace = time.Second
	// StreamSilence is how long a streaming holder may stay silent. Targets close
	// a connection that accepts no bytes for 30 s.
	StreamSilence = 45 * time.Second
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

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

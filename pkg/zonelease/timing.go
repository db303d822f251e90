package zonelease

import "time"

const (
	// LeaseDuration is how long a voter promises itself to one candidate.
	LeaseDuration = 2 * time.Second
	// RenewInterval lets three renewals fail before the lease ends.
	RenewInterval = 500 * time.Millisecond
	// HeldDuration is the part of LeaseDuration that a holder uses; the other
	// 10% covers clocks that run at different speeds.
	HeldDuration = LeaseDuration * 9 / 10
	// rankDelay separates candidates that see a lease end at the same time, so
	// that they rarely split the votes.
	rankDelay = 60 * time.Millisecond
	// maxRanks bounds the delay of the last candidate of a long list.
	maxRanks = 8
	// electionTimeout is how long an election waits for a majority before its
	// votes are given back.
	electionTimeout = 400 * time.Millisecond
)

package zonelease

import "time"

const (
	// LeaseDuration is how long a voter's promise to one candidate lasts.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the time between renewals. Three renewals may fail before
	// the lease ends.
	RenewInterval = 500 * time.Millisecond
	// HeldDuration is how long the holder relies on a grant. The remaining 10% of
	// LeaseDuration allow for clocks that run at different speeds.
	HeldDuration = LeaseDuration * 9 / 10
	// rankDelay is the delay per position in the voter list. It staggers
	// candidates that see a lease end at the same time, so that votes are rarely
	// split.
	rankDelay = 60 * time.Millisecond
	// maxRanks bounds the delay of the last candidates of a long list.
	maxRanks = 8
	// electionTimeout is how long an election waits for a majority before it
	// releases the votes it got.
	electionTimeout = 400 * time.Millisecond
)

package claim

import "time"

const (
	// Lifetime is how long after its timestamp a key can be voted for.
	Lifetime = 24 * time.Hour
	// MaxClockSkew bounds the difference between any two clocks of callers and stores.
	MaxClockSkew = 5 * time.Minute
	// OwnerTimeout is how long after its last vote or renewal an owner counts as alive.
	OwnerTimeout = 3 * time.Second
	// RenewInterval is the time between renewals of an owner; two may be lost within OwnerTimeout.
	RenewInterval = time.Second
	// HoldDown is how long stores refuse votes for a key after the caller of an
	// attempt was told "not run". It outlasts every earlier send of the key that an
	// entry host may still hold: MaxDeadline plus the time an attempt has to collect votes.
	HoldDown = 30 * time.Second
	// MaxDeadline bounds the time from the arrival of a keyed request to its claim.
	MaxDeadline = 25 * time.Second
	// MaxBody is the largest response body that is recorded, in bytes.
	MaxBody = 64 << 10
)

package claim

import "time"

const (
	// Lifetime is how long after its timestamp a key can be voted for.
	Lifetime = 24 * time.Hour
	// Allowance bounds the difference between any two clocks of callers and stores.
	Allowance = 5 * time.Minute
	// RecentLimit is how long after its last vote or renewal an owner counts as alive.
	RecentLimit = 3 * time.Second
	// RenewInterval is the time between renewals of an owner; two may be lost within RecentLimit.
	RenewInterval = time.Second
	// MaxBody is the largest response body that is recorded, in bytes.
	MaxBody = 64 << 10
)

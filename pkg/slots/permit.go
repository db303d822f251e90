package slots

import "time"

// permit is a granted slot, which may be in use at its target.
type permit struct {
	id        ID
	target    *target
	grantedAt time.Time // zero if an earlier term's coordinator granted it
	expires   time.Time // the target must have ended the work by then
	released  bool      // the holder has released it; the slot is freed at expires
}

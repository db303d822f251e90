package slots

import "time"

// permit is a slot that may be in use.
type permit struct {
	id        ID
	target    *target
	expires   time.Time
	streaming bool
	released  bool // waits for the end of its grace period
}

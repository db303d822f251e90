package slots

import "time"

// permit is a slot that may be in use.
type permit struct {
	id       ID
	target   *target
	expires  time.Time // the target must have ended the work by then
	released bool      // waits for the end of its grace period
}

package slots

import "time"

// permit is a slot that may be in use.
type permit struct {
	id       ID
	target   *target
	since    time.Time // grant; zero if another coordinator granted it
	expires  time.Time // the target must have ended the work by then
	released bool      // waits for the end of its grace period
}

package affinity

// Location is the availability zone and region of callers.
type Location struct{ Zone, Region string }

// Target is a target that requests may be sent to.
type Target struct {
	Name   string
	Zone   string
	Region string
	Slots  int
}

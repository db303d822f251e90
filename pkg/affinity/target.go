package affinity

// Location is where callers are.
type Location struct{ Zone, Region string }

// Target is a target that may be chosen.
type Target struct {
	Name   string
	Zone   string
	Region string
	Slots  int
}

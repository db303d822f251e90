package affinity

// Target is a target that may be chosen.
type Target struct {
	Name   string
	Zone   string
	Region string
	Slots  int
}

package affinity

// Target is a target that may be chosen.
type Target struct {
	Name   string
	Zone   string
	Region string
	Slots  int
	// Share is the part of its usual objects that the target takes, below 1
	// while it is cold. The objects it does not take go to their next target.
	Share float64
}

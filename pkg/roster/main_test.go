package roster

import "flag"

// A fixed seed repeats the same runs; -rapid.seed on the command line takes precedence.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

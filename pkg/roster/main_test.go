package roster

import "flag"

// A fixed seed makes the property tests reproducible. -rapid.seed on the command line
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

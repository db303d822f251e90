package link

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run explores the same histories. Flags
// given on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "1000"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Command rig3 plays the scripted cases of the third review: it starts the programs of the
// deploy file on loopback addresses, with stand-ins for callers, servers and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0 // the rule was kept
	broken = 1 // the rule was broken
	unable = 2 // the case could not run
)

// script plays a case with or without its trouble. It returns whether the rule was broken.
type script func(d *recorder, trouble bool) (bool, error)

var scripts = map[string]script{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(unable)
	}
	play, ok := scripts[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(unable)
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	wrong, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		os.Exit(unable)
	case wrong:
		r.note("the rule was broken")
		os.Exit(broken)
	}
	r.note("the rule was kept")
	os.Exit(held)
}

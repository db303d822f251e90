// Command hornbeam-gateway runs a entry host on the platform.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/platformnode"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

type arguments struct{}

// Description implements the go-arg interface.
func (arguments) Description() string {
	return "Runs a entry host on the platform. " + platform.SettingsVariable + " names the settings file. SIGTERM ends it.\n" +
		"Exit status: 0 ended as asked, 1 failed, 2 bad arguments or settings."
}

// Version implements the go-arg interface.
func (arguments) Version() string { return "hornbeam-gateway " + platformnode.Version() }

func main() {
	var args arguments
	arg.MustParse(&args)
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := platformnode.RunGateway(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

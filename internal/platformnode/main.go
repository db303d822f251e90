package platformnode

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/platform"
)

// Exit codes of the platform's programs.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the command-line arguments of a program. It has only --help and
// --version; everything else comes from the settings.
type arguments struct {
	Program string `arg:"-"`
	Purpose string `arg:"-"`
}

// Description implements arg.Described.
func (a arguments) Description() string {
	return a.Purpose + " " + platform.SettingsVariable + " names the settings file. SIGTERM ends it.\n" +
		"Exit status: 0 ended as asked, 1 failed, 2 bad arguments or settings."
}

// Version implements arg.Versioned.
func (a arguments) Version() string { return a.Program + " " + Version() }

// Main is the main function of a program. It parses the arguments, loads the
// settings and calls run, and exits with exitUsage or exitFailed on an error.
func Main(program, purpose string, run func(*platform.Settings) error) {
	args := arguments{Program: program, Purpose: purpose}
	arg.MustParse(&args)
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

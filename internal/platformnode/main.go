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

// arguments are the options of a program that reads all else from its settings.
type arguments struct {
	Program string `arg:"-"`
	Purpose string `arg:"-"`
}

// Description implements the go-arg interface.
func (a arguments) Description() string {
	return a.Purpose + " " + platform.SettingsVariable + " names the settings file. SIGTERM ends it.\n" +
		"Exit status: 0 ended as asked, 1 failed, 2 bad arguments or settings."
}

// Version implements the go-arg interface.
func (a arguments) Version() string { return a.Program + " " + Version() }

// Main is the whole of a program: it reads the arguments and the settings, and runs.
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

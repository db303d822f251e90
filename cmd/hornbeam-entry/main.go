// Command hornbeam-entry runs an entry host: look-ups, the request path, target
// announcements and the coordination of its availability zone.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/node"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file (docs/settings.md)"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs an entry host. SIGTERM starts a graceful shutdown, a second one ends at once.\n" +
		"Exit status: 0 ended as asked, 1 failed, 2 bad arguments or settings."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	s, err := settings.LoadEntry(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s *settings.Entry) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	e, err := node.StartEntry(s)
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { <-signals; cancel() }()
	return e.Stop(ctx)
}

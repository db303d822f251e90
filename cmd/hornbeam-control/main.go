// Command hornbeam-control runs a control host: the bundle history, the claim
// store and the allocation of link shares.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/node"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
)

// stopTimeout bounds how long a shutdown waits for requests of operators.
const stopTimeout = 5 * time.Second

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file (docs/settings.md)"`
	Founding bool   `arg:"--founding" help:"first start of a new deployment: all claim stores are new"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs a control host. SIGTERM ends it.\n" +
		"Exit status: 0 ended as asked, 1 failed, 2 bad arguments or settings."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	s, err := settings.LoadControl(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := run(s, args.Founding); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s *settings.Control, founding bool) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	c, err := node.StartControl(s, founding)
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return c.Stop(ctx)
}

// Command hornbeamctl is the operators' command line; see docs/operators.md.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/hornbeamstack/hornbeamstack/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

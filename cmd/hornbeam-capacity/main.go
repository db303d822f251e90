// Command hornbeam-capacity measures how costs grow with the size of a
// deployment and extrapolates them linearly to the planned size
// (docs/CAPACITY.md).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/capacity"
)

type arguments struct {
	Sections []string `arg:"--section,separate" help:"measure only these: blocks, slots, storage, claims, traffic, rollout, restart"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := capacity.Run(ctx, os.Stdout, os.Stderr, args.Sections); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

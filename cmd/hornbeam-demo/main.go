// Command hornbeam-demo runs a small deployment on loopback addresses, each
// program as its own process, and prints what callers and operators see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/demo"
)

// demoTimeout bounds the whole demo, so that a step that hangs is reported as a
// failure.
const demoTimeout = 45 * time.Second

type arguments struct {
	Bin    string `arg:"--bin" default:"bin" help:"folder of the programs"`
	Bundle string `arg:"--bundle" default:"examples/demo.toml" help:"bundle to roll out"`
	Keep   bool   `arg:"--keep" help:"keep the folder with settings, logs and traces"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := demo.Run(ctx, os.Stdout, args.Bin, args.Bundle, args.Keep); err != nil {
		fmt.Println("demo: failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: ok")
}

// Command hornbeam-measure puts load on a deployment of each shape on loopback
// addresses and reports ratios against the stated performance goals.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/measure"
)

type arguments struct {
	Cases    []string `arg:"--case,separate" help:"run only these cases"`
	Policy   string   `arg:"--policy" help:"run only this policy: current, random or least reported load"`
	Out      string   `arg:"--out" help:"also write the table to this Markdown file"`
	JSON     string   `arg:"--json" help:"also write the rows to this JSON file"`
	Previous string   `arg:"--previous" help:"JSON rows of an earlier commit, measured on the same machine, to show beside"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args arguments) error {
	rows, err := measure.Run(ctx, os.Stderr, args.Cases, args.Policy)
	if err != nil {
		return err
	}
	if args.JSON != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(args.JSON, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if args.Previous != "" {
		if rows, err = measure.AddPrevious(rows, args.Previous); err != nil {
			return err
		}
	}
	measure.WriteTable(os.Stdout, rows)
	if args.Out == "" {
		return nil
	}
	return measure.WritePage(args.Out, rows)
}

// Package ctl implements hornbeamctl, the command line of the operators.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// command is one invocation of hornbeamctl.
type command struct {
	args   args
	parser *arg.Parser
	out    io.Writer
	client *client // created on first use by control
}

// Run executes one command line, given without the program name, and returns
// the exit code.
func Run(ctx context.Context, line []string, out, errOut io.Writer) int {
	c := &command{out: out}
	parser, err := arg.NewParser(arg.Config{Program: "hornbeamctl"}, &c.args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	c.parser = parser
	switch err := parser.Parse(line); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitDone
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	err = c.dispatch(ctx)
	c.reportError(errOut, err)
	return exitCode(err)
}

// dispatch runs the sub-command that was parsed.
func (c *command) dispatch(ctx context.Context) error {
	switch sub := c.parser.Subcommand().(type) {
	case *keyNewArgs:
		return c.keyNew(sub)
	case *checkArgs:
		return c.check(sub)
	case *signArgs:
		return c.sign(ctx, sub)
	case *rolloutArgs:
		return c.rollout(ctx, sub)
	case *historyArgs:
		return c.history(ctx, sub)
	case *showArgs:
		return c.show(ctx, sub)
	case *diffArgs:
		return c.diff(ctx, sub)
	case *drainArgs:
		return c.drain(ctx, sub, c.args.Drain != nil)
	case *explainArgs:
		return c.explain(sub, os.Stdin)
	case *statusArgs:
		return c.status(ctx)
	}
	return badInput("a sub-command is missing; see hornbeamctl --help")
}

// print writes v as indented JSON with --json, otherwise the formatted text.
func (c *command) print(v any, text string, args ...any) error {
	if !c.args.JSON {
		_, err := fmt.Fprintf(c.out, text+"\n", args...)
		return err
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// reportError writes err to errOut. With --json it also writes the findings in
// err, if any, to standard output.
func (c *command) reportError(errOut io.Writer, err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(errOut, "error:", err)
	var found finding.List
	if c.args.JSON && errors.As(err, &found) {
		_ = c.print(map[string]any{"findings": found}, "")
	}
}

package ctl

import (
	"context"
	"errors"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// drainAttempts bounds how often a drain is tried, each time on the newest
// version, when another operator's version is accepted first.
const drainAttempts = 5

// drain submits a new version that adds or removes a drain, and retries on
// conflict.
func (c *command) drain(ctx context.Context, a *drainArgs, add bool) error {
	for attempt := 1; ; attempt++ {
		err := c.drainOnce(ctx, a, add)
		var refusal *submitError
		if attempt < drainAttempts && errors.As(err, &refusal) && refusal.result.Outcome == history.Conflict {
			continue
		}
		return err
	}
}

// drainOnce makes one attempt on top of the newest version. It succeeds without a
// new version if the drain to add exists already, or the one to remove does not.
func (c *command) drainOnce(ctx context.Context, a *drainArgs, add bool) error {
	current, b, err := c.current(ctx)
	if err != nil {
		return err
	}
	if current == nil {
		return failed("no version has been accepted")
	}
	drain := bundle.Drain{Kind: bundle.DrainKind(a.Kind), Name: a.Name}
	index := slices.Index(b.Drains, drain)
	switch {
	case add && index >= 0, !add && index < 0:
		return c.finish(ctx, &history.Result{Outcome: history.Accepted, Accepted: &current.Header, Message: "no change was needed"}, a.Wait)
	case add:
		b.Drains = append(b.Drains, drain)
	default:
		b.Drains = slices.Delete(b.Drains, index, index+1)
	}
	b.Version = current.Header.Version + 1
	b.Canonicalize()
	if found := bundle.CheckContent(b.Deployment, b); len(found) > 0 {
		return &exitError{ExitUsage, found}
	}
	signed, err := c.signBundle(b, current.Header.Root)
	if err != nil {
		return err
	}
	result, err := c.submit(ctx, signed)
	if err != nil {
		return err
	}
	return c.finish(ctx, result, a.Wait)
}

package ctl

import (
	"context"
	"errors"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// drainAttempts bounds how often a drain is built anew because another operator was first.
const drainAttempts = 5

// drain adds or removes a drain in a new version that follows the newest one.
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

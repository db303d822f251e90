package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
)

// LookupLifetime is the time for which callers may keep a look-up answer.
const LookupLifetime = 5 * time.Second

// lookupMargin covers answers that were on their way when the host began to leave.
const lookupMargin = time.Second

// Membership is the part of zone coordination that takes part in a shutdown.
type Membership interface {
	// Leave makes heartbeats report that the host is leaving, so that look-ups stop naming it.
	Leave()
	// Resign gives up the coordinator lease, if this host has it, and ends coordination.
	Resign(ctx context.Context) error
}

// Shutdown ends an entry host without cutting a request.
type Shutdown struct {
	HTTPServer *HTTPServer
	Membership Membership
	// Pause waits for the duration or the end of the context.
	Pause func(ctx context.Context, d time.Duration) error
	Log   *log.Logger
}

// Run goes through the steps of docs/design.md section 5.9. It returns when no
// request is in flight. The context cuts the shutdown short; without an end it
// waits as long as bodies take.
func (s *Shutdown) Run(ctx context.Context) error {
	s.step("reporting leaving")
	s.Membership.Leave()
	s.HTTPServer.SetLeaving()
	s.step("serving until cached look-ups have expired")
	if err := s.Pause(ctx, LookupLifetime+lookupMargin); err != nil {
		return s.cutShort(err)
	}
	s.step("closing idle connections")
	s.HTTPServer.CloseIdle()
	s.step("waiting for requests in flight")
	if err := s.HTTPServer.Finish(ctx); err != nil {
		return s.cutShort(err)
	}
	s.step("resigning")
	if err := s.Membership.Resign(ctx); err != nil {
		return fmt.Errorf("resign: %w", err)
	}
	s.step("ended")
	return nil
}

func (s *Shutdown) step(name string) {
	s.Log.Info("shutdown", "step", name, "in_flight", s.HTTPServer.InFlight())
}

func (s *Shutdown) cutShort(err error) error {
	return fmt.Errorf("shutdown cut short with %d requests in flight: %w", s.HTTPServer.InFlight(), err)
}

// PauseFor is the Pause of a real shutdown.
func PauseFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

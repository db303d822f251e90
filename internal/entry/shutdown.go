package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
)

// LookupLifetime is how long callers may cache a look-up answer.
const LookupLifetime = 5 * time.Second

// lookupMargin covers look-up answers that were in flight when the host began to leave.
const lookupMargin = time.Second

// Membership is the part of zone coordination that a shutdown needs.
type Membership interface {
	// Leave makes heartbeats report that the host is leaving, so that look-ups stop naming it.
	Leave()
	// Resign gives up the coordinator lease, if this host holds it, and ends coordination.
	Resign(ctx context.Context) error
}

// Shutdown stops an entry host without cutting off a request.
type Shutdown struct {
	HTTPServer *HTTPServer
	Membership Membership
	// Pause waits for the duration or the end of the context.
	Pause func(ctx context.Context, d time.Duration) error
	Log   *log.Logger
}

// Run executes the steps of docs/design.md section 5.9 and returns once no
// request is in flight. It has no timeout of its own: it waits as long as bodies
// take, unless ctx ends first, which is an error.
func (s *Shutdown) Run(ctx context.Context) error {
	s.step("reporting the host as leaving")
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
		return fmt.Errorf("resign from zone coordination: %w", err)
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

// PauseFor waits for d. If ctx ends first, it returns the error of ctx. It can
// be used as Shutdown.Pause.
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

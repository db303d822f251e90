package node

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/internal/claims"
	"github.com/hornbeamstack/hornbeamstack/internal/entry"
	"github.com/hornbeamstack/hornbeamstack/internal/zone"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// permits adapts zone.Zone to entry.Permits.
type permits struct{ zone *zone.Zone }

func (p permits) Acquire(ctx context.Context, r entry.PermitRequest) (entry.Permit, error) {
	got, err := p.zone.Acquire(ctx, zone.Request{
		Service: r.Service, Class: r.Class, Deadline: r.Deadline, Exclude: r.Exclude, AllowRemote: r.AllowRemote,
	})
	var busy *slots.BusyError
	if errors.As(err, &busy) {
		return nil, &entry.BusyError{RetryAfter: busy.RetryAfter}
	}
	if err != nil {
		return nil, err
	}
	return permit{got}, nil
}

// permit adapts zone.Permit to entry.Permit.
type permit struct{ *zone.Permit }

func (p permit) Target() string { return p.Permit.Target }
func (p permit) Zone() string   { return p.Permit.AvailabilityZone }
func (p permit) Region() string { return p.Permit.Region }

// claimSource adapts claims.Client to entry.Claims.
type claimSource struct{ client *claims.Client }

func (c claimSource) Begin(ctx context.Context, service, key string) (entry.Claim, *claim.Answer, error) {
	held, answer, err := c.client.Begin(ctx, service, key)
	var refused *claims.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, nil, &entry.ClaimRefusedError{
			Outcome: refused.Outcome, Code: refused.Code, Message: refused.Message, RetryAfter: refused.RetryAfter, AttemptOnly: refused.AttemptOnly,
		}
	case err != nil:
		return nil, nil, err
	case answer != nil:
		return nil, answer, nil
	}
	return held, nil, nil
}

// targets adapts zone.Zone to entry.Targets.
type targets struct{ zone *zone.Zone }

func (t targets) Announce(ctx context.Context, a entry.Announcement) error {
	err := t.zone.Announce(ctx, zone.Announcement{
		Service: a.Service, Address: a.Address.String(), AvailabilityZone: a.Zone, Incarnation: a.Incarnation,
		Sequence: a.Sequence, Slots: a.Slots, Connections: a.Connections, Leaving: a.State == entry.StateLeaving, Load: a.Load,
	})
	var refused *zone.AnnounceError
	if errors.As(err, &refused) && refused.Code != zone.CodeUnavailable {
		return &entry.RefusedTargetError{Reason: refused.Code + ": " + refused.Message}
	}
	return err
}

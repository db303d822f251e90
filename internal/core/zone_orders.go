package core

import (
	"context"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
)

// Evacuate commits that targets of an availability zone get nothing more. Without a basis
// it returns a *ConfirmationError.
func (n *Node) Evacuate(ctx context.Context, zone string, basis Basis) error {
	return n.submitZoneOrder(ctx, desired.Command{Evacuate: zone, Basis: uint64(basis)})
}

// Readmit commits the end of the evacuation of an availability zone, with basis as for
// Evacuate.
func (n *Node) Readmit(ctx context.Context, zone string, basis Basis) error {
	return n.submitZoneOrder(ctx, desired.Command{Readmit: zone, Basis: uint64(basis)})
}

// submitZoneOrder submits an order that must not undo a later one. The caller has learned
// the basis while it waited for this order, so its later orders have a higher index.
func (n *Node) submitZoneOrder(ctx context.Context, c desired.Command) error {
	if c.Basis != 0 {
		return n.Submit(ctx, c)
	}
	state, err := n.Current(ctx)
	if err != nil {
		return err
	}
	return &ConfirmationError{Basis: Basis(max(state.Index, 1))}
}

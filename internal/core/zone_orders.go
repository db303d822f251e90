package core

import (
	"context"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
)

// Evacuate commits that targets of an availability zone get nothing more. ctx has to end
// once the caller closes its connection.
func (n *Node) Evacuate(ctx context.Context, zone string) error {
	return n.submitZoneOrder(ctx, desired.Command{Evacuate: zone})
}

// Readmit commits the end of the evacuation of an availability zone, with ctx as for
// Evacuate.
func (n *Node) Readmit(ctx context.Context, zone string) error {
	return n.submitZoneOrder(ctx, desired.Command{Readmit: zone})
}

// submitZoneOrder submits an order that must not undo a later one. Its basis is read
// before the check of the caller: orders that the caller gave elsewhere after it had moved
// on are later than the basis, and earlier ones show in its close.
func (n *Node) submitZoneOrder(ctx context.Context, c desired.Command) error {
	state, err := n.Current(ctx)
	if err != nil {
		return err
	}
	if err := checkCaller(ctx); err != nil {
		return err
	}
	c.Basis = max(state.Index, 1)
	return n.Submit(ctx, c)
}

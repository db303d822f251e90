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
// while the caller is checked: orders that the caller gave elsewhere after it had moved on
// are later than the basis, or its close has arrived by the time the basis was read.
func (n *Node) submitZoneOrder(ctx context.Context, c desired.Command) error {
	err := checkCaller(ctx, func() error {
		state, err := n.Current(ctx)
		c.Basis = max(state.Index, 1)
		return err
	})
	if err != nil {
		return err
	}
	return n.Submit(ctx, c)
}

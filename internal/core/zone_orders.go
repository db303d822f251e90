package core

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
)

// callerCheck is how long an order is held back to see whether its caller has given up.
// Bytes that waited for this host, while it or the link stood still, arrive a round trip
// before the close of their connection; the longest round trip is about 50 ms.
const callerCheck = 150 * time.Millisecond

// ErrCallerLeft is returned for an order whose caller has closed its connection. The order
// may be an old one, so it is not submitted.
var ErrCallerLeft = errors.New("the caller has given up, the order may be an old one")

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

// checkCaller waits for callerCheck and returns ErrCallerLeft if the caller has given up
// by then.
func checkCaller(ctx context.Context) error {
	err := wait.For(ctx, callerCheck)
	if errors.Is(err, context.Canceled) {
		return ErrCallerLeft
	}
	return err
}

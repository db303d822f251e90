package core

import "fmt"

// Basis is what an order depends on: for an order about an availability zone the log index
// of the desired state, for the departure of a target its life. 0 means that it is not
// known yet.
type Basis uint64

// ConfirmationError is returned for an order without a basis. The order has no effect until
// its caller repeats it with the basis. A copy that waited in a socket or on a link while
// its caller turned to another host is never repeated, and one that is repeated in time
// but read late is bound by the basis.
type ConfirmationError struct{ Basis Basis }

func (e *ConfirmationError) Error() string {
	return fmt.Sprintf("the caller has to confirm the order by repeating it with basis %d", e.Basis)
}

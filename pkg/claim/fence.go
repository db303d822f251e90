package claim

// Fence identifies the disk contents of a store. The generation rises with
// each incarnation, since incarnations alone are random and have no order.
type Fence struct {
	Generation  uint64 `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint"`
}

// Replaces reports whether grants of old are void once f is known.
func (f Fence) Replaces(old Fence) bool {
	if f.Generation != old.Generation {
		return f.Generation > old.Generation
	}
	return f.Incarnation != old.Incarnation
}

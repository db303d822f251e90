package claim

// Fence identifies one incarnation of a store's data folder. Incarnations are
// random and have no order, so each new one also gets a higher generation.
type Fence struct {
	Generation  uint64 `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint"`
}

// Replaces reports whether f supersedes old, so that grants given under old
// must be discarded.
func (f Fence) Replaces(old Fence) bool {
	if f.Generation != old.Generation {
		return f.Generation > old.Generation
	}
	return f.Incarnation != old.Incarnation
}

package fleet

// TargetLoad is the load of a target in tenths of a request at each slot.
type TargetLoad struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Tenths uint16
}

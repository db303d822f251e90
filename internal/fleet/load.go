package fleet

// TargetReport is what an entry host saw of a target since its last pull.
type TargetReport struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// Tenths is the last load that the target reported, in tenths of a request
	// at each slot; negative if it reported none.
	Tenths int16
	Good   uint16 // requests that it answered well
	Bad    uint16 // requests that failed, broke off or took far too long
}

// TargetState is what the entry hosts together have seen of a target.
type TargetState struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Tenths  uint16 // average load, in tenths of a request at each slot
	Failing bool   // it fails much more of its work than others of its service
}

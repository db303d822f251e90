package fleet

// TargetReport is what an entry host observed of a target since its last pull.
type TargetReport struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// Tenths is the last load that the target reported, in tenths of a request
	// per slot; negative if it reported none.
	Tenths int16
	Good   uint16 // successful requests
	Bad    uint16 // requests that failed, were cut off or took far too long
}

// TargetState combines the reports of all entry hosts on a target.
type TargetState struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Tenths  uint16 // average load, in tenths of a request per slot
	Failing bool   // its failure rate is much higher than that of others of its service
}

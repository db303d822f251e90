package steer

// HostState is what is known of an entry host at the time a Picker is built.
type HostState struct {
	Leaving       bool
	Silent        bool    // not heard of for so long that callers should not be sent there
	SpareCapacity float64 // spare capacity, 0 (full) to 1 (idle)
}

package steer

// HostState is the last known state of an entry host.
type HostState struct {
	Leaving       bool
	Silent        bool    // not heard from for so long that no callers should be sent to it
	SpareCapacity float64 // 0 (full) to 1 (idle)
}

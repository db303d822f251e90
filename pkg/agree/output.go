package agree

// Output is the work that the caller must do, in the order of the fields. State,
// Install and Entries must be durable together before the rest is started.
type Output struct {
	State   *HardState // nil if unchanged
	Install *Snapshot  // replaces the log and the state machine
	Entries []Entry    // the first replaces the persisted entry of its index and all later ones

	Messages  []Message
	Committed []Entry // consecutive; after Install they follow the snapshot
	Reads     []ReadResult
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.State == nil && o.Install == nil && len(o.Entries)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// ReadResult is the result of Node.Read. If Err is nil, the read may be served
// once the state machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error
}

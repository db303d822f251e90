package claims

// Log is the durable log of one store. Append and SaveSnapshot are called
// from different goroutines; Append from one at a time.
type Log interface {
	// Append returns once the records, numbered upwards from first, are synced.
	Append(first uint64, records [][]byte) error
	// SaveSnapshot replaces all records up to index.
	SaveSnapshot(index uint64, data []byte) error
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	Incarnation   string // of the data folder
	Fresh         bool   // the folder was empty
	SnapshotIndex uint64
	Snapshot      []byte
	Records       [][]byte // after the snapshot
	LastIndex     uint64
}

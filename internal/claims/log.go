package claims

// Log is the durable log of one store. Append and SaveSnapshot may be called
// concurrently with each other; calls of Append do not overlap.
type Log interface {
	// Append writes the records, with consecutive indexes from first, and returns
	// once they are synced.
	Append(first uint64, records [][]byte) error
	// SaveSnapshot saves a snapshot that replaces all records up to and including index.
	SaveSnapshot(index uint64, data []byte) error
}

// Recovered is the content of a log when it was opened.
type Recovered struct {
	Incarnation   string // identifies the data folder
	Fresh         bool   // the folder was empty
	SnapshotIndex uint64
	Snapshot      []byte
	Records       [][]byte // records after the snapshot
	LastIndex     uint64
}

package wal

// DefaultSegmentBytes is the segment size if Options names none.
const DefaultSegmentBytes = 4 << 20

// formatVersion is the version of frames, snapshots and the identity file.
const formatVersion = 1

// Options describe the log to open.
type Options struct {
	Folder       string // data folder, created if missing
	Host         string // host that owns the folder
	Kind         string // names the content, e.g. "agree" or "claim"
	SegmentBytes int64  // a segment is closed once it has this size; 0 means DefaultSegmentBytes
	Files        Files  // file access; nil means the operating system's files in Folder
}

// Record is one entry of the log. The log orders records by their append, not
// by Index; Index decides what TruncateAfter and SaveSnapshot remove.
type Record struct {
	Index uint64
	Data  []byte
}

// Recovered is what Open found.
type Recovered struct {
	Identity      Identity
	Fresh         bool // the folder held no log before
	SnapshotIndex uint64
	Snapshot      []byte   // nil if there is none
	Records       []Record // live records with an index above SnapshotIndex, in order of append
}

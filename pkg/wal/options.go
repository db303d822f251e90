package wal

// DefaultSegmentBytes is the segment size if Options.SegmentBytes is not set.
const DefaultSegmentBytes = 4 << 20

// formatVersion is the format version of frames, snapshots and the identity file.
const formatVersion = 1

// Options describe the log to open.
type Options struct {
	Folder       string // data folder, created if missing
	Host         string // host that owns the folder
	Kind         string // kind of content, e.g. "agree" or "claim"
	SegmentBytes int64  // a segment is closed once it has this size; 0 means DefaultSegmentBytes
	Files        Files  // file access; nil means the operating system's files in Folder
}

// Record is one entry of the log. Records are ordered as appended, not by Index.
// Index decides which records TruncateAfter and SaveSnapshot remove.
type Record struct {
	Index uint64
	Data  []byte
}

// Recovered is the content of the folder that Open found.
type Recovered struct {
	Identity      Identity
	Fresh         bool // the log was created by Open
	SnapshotIndex uint64
	Snapshot      []byte   // nil if there is none
	Records       []Record // records with an index above SnapshotIndex that were not truncated, as appended
}

package entry

import "time"

// Timeouts are the time limits of callers' connections. None of them limits how
// long a body takes.
type Timeouts struct {
	Control    time.Duration // look-ups and announcements
	ReadHeader time.Duration // from the first byte of a request to the end of its header
	CallerIdle time.Duration // until an idle connection of a caller is closed
	// CallerStall is how long a caller may accept no byte of a response before
	// its connection is reset. Targets do the same (docs/targets.md).
	CallerStall time.Duration
}

// DefaultTimeouts allow for callers on slow links. Idle connections stay open
// longer than the minute for which many HTTP clients keep theirs.
var DefaultTimeouts = Timeouts{Control: 2 * time.Second, ReadHeader: 10 * time.Second, CallerIdle: 75 * time.Second,
	CallerStall: 30 * time.Second}

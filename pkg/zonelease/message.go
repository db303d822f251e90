package zonelease

import "time"

// Request asks a voter for its promise, or gives the promise back.
type Request struct {
	Candidate string // host and incarnation
	Term      uint64
	Round     uint64 // pairs replies with the request's send time
	Release   bool
}

// Reply answers a Request.
type Reply struct {
	Granted   bool
	Term      uint64        // highest term the voter has promised to
	Holder    string        // candidate the voter is promised to, if it refused
	Remaining time.Duration // time until the voter may promise itself to another candidate
}

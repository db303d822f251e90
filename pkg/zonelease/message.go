package zonelease

import "time"

// Request asks a voter for its promise, or releases that promise.
type Request struct {
	Candidate string // host and incarnation
	Term      uint64
	Round     uint64 // matches replies with the send time of their request
	Release   bool
}

// Reply answers a Request.
type Reply struct {
	Granted   bool
	Term      uint64        // highest term for which the voter has given a promise
	Holder    string        // on refusal: the candidate that last got the voter's promise
	Remaining time.Duration // on refusal: time until the voter can grant to another candidate
}

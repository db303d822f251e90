package retry

import (
	"slices"
	"time"
)

// Outcome is the way an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered   Outcome = iota // the response has begun
	Unreached                 // no connection to the target
	Void                      // the permit expired, or the connection was found broken, before the first byte
	Shed                      // the target refused with its documented shed response
	Broken                    // the connection broke or the response was not valid HTTP
	TimedOut                  // the deadline passed
	CallerGone                // the caller closed its connection or aborted its upload
)

func (o Outcome) String() string {
	names := [...]string{"answered", "unreached", "void", "shed", "broken", "timed-out", "caller-gone"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown outcome"
}

// Attempt describes one attempt that ended without a response for the caller.
type Attempt struct {
	Method            string
	RepeatableMethods []string // methods that the service may run more than once
	Outcome           Outcome
	Sent              bool      // a byte may have reached the target
	BodyRead          bool      // a byte of the caller's body was read, so the body cannot be sent again
	Now               time.Time // when the attempt ended
	Deadline          time.Time // of the request
}

// Repeatable reports whether the service may run the method more than once.
func Repeatable(method string, repeatable []string) bool { return slices.Contains(repeatable, method) }

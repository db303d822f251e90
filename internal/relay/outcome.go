package relay

// Outcome says why a relay returns no response from a target.
type Outcome string

// The values of Outcome.
const (
	// Busy means that the relay does not accept the request: it is at its limit or
	// stopping, does not know the target at that address or its incarnation, or has too
	// little time left.
	// Nothing was sent.
	Busy Outcome = "busy"
	// Unreached means that no connection to the target could be opened, by this request
	// or by others just before. Nothing was sent.
	Unreached Outcome = "unreached"
	// Leaving means that the target's incarnation in HeaderLife is about to exit. Nothing
	// was sent.
	Leaving Outcome = "leaving"
	// Paused means that the target's incarnation in HeaderLife has asked this relay to
	// send no requests for the time in HeaderPause. Nothing was sent.
	Paused Outcome = "paused"
	// Broken means that the request was sent and its response was lost.
	Broken Outcome = "broken"
	// TimedOut means that the request's deadline passed before a response arrived.
	TimedOut Outcome = "timed out"
)

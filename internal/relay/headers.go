package relay

import "net/http"

// Headers of a request to a relay.
const (
	// HeaderTarget and HeaderAddress carry the name and the address of the target.
	HeaderTarget  = "Hornbeam-Target"
	HeaderAddress = "Hornbeam-Address"
	// HeaderRepeatable is set if the request may be executed more than once.
	HeaderRepeatable = "Hornbeam-Repeatable"
	// HeaderRate carries the total rate of all responses to an entry host, in bytes
	// per second.
	HeaderRate = "Hornbeam-Rate"
	// HeaderBulk is set if the response yields to other responses to the entry host.
	HeaderBulk = "Hornbeam-Bulk"
)

// HeaderOutcome is set on responses that come from the relay itself. Its value is an
// Outcome.
const HeaderOutcome = "Hornbeam-Outcome"

// Strip removes the headers that are used only between entry hosts and relays.
func Strip(h http.Header) {
	for _, name := range []string{HeaderTarget, HeaderAddress, HeaderRepeatable, HeaderRate, HeaderBulk, HeaderOutcome} {
		h.Del(name)
	}
}

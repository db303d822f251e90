package relay

import "net/http"

// Headers of a request to a relay.
const (
	// HeaderTarget and HeaderAddress name the target and its address.
	HeaderTarget  = "Hornbeam-Target"
	HeaderAddress = "Hornbeam-Address"
	// HeaderRepeatable is set if the request may run more than once.
	HeaderRepeatable = "Hornbeam-Repeatable"
	// HeaderRate bounds the answers to all requests of an entry host, in bytes a
	// second.
	HeaderRate = "Hornbeam-Rate"
	// HeaderBulk is set if the answer may wait for others of the entry host.
	HeaderBulk = "Hornbeam-Bulk"
)

// HeaderOutcome is set on answers of the relay's own.
const HeaderOutcome = "Hornbeam-Outcome"

// Strip removes the headers between entry hosts and relays.
func Strip(h http.Header) {
	for _, name := range []string{HeaderTarget, HeaderAddress, HeaderRepeatable, HeaderRate, HeaderBulk, HeaderOutcome} {
		h.Del(name)
	}
}

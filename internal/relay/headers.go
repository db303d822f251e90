package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Headers of a request to a relay.
const (
	// HeaderTarget and HeaderAddress carry the name and the address of the target.
	HeaderTarget  = "Hornbeam-Target"
	HeaderAddress = "Hornbeam-Address"
	// HeaderLife carries the roster.Life of the target: the one that the entry host means
	// or, with the outcomes Leaving and Paused, the one that the relay means.
	HeaderLife = "Hornbeam-Life"
	// HeaderRepeatable is set if the request may be executed more than once.
	HeaderRepeatable = "Hornbeam-Repeatable"
	// HeaderRate carries the total rate of all responses to an entry host, in bytes
	// per second.
	HeaderRate = "Hornbeam-Rate"
	// HeaderStream is set if the body follows once the relay has answered 100, which it
	// does when it has a connection to the target. Until then nothing was sent.
	HeaderStream = "Hornbeam-Stream"
	// HeaderBulk is set if the response yields to other responses to the entry host.
	HeaderBulk = "Hornbeam-Bulk"
)

// HeaderOutcome is set on responses that come from the relay itself. Its value is an
// Outcome.
const HeaderOutcome = "Hornbeam-Outcome"

// HeaderPause is the time in milliseconds for which the target wants no requests from
// the relay. It is set with the outcome Paused.
const HeaderPause = "Hornbeam-Pause"

// PauseLeft returns the time in HeaderPause, 0 if there is none.
func PauseLeft(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderPause), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// TargetLife returns the life in HeaderLife, 0 if there is none. Hosts of earlier versions
// send none.
func TargetLife(h http.Header) roster.Life {
	life, err := strconv.ParseInt(h.Get(HeaderLife), 10, 64)
	if err != nil || life < 0 {
		return 0
	}
	return roster.Life(life)
}

// SetTargetLife sets HeaderLife.
func SetTargetLife(h http.Header, life roster.Life) {
	h.Set(HeaderLife, strconv.FormatInt(int64(life), 10))
}

// Strip removes the headers that are used only between entry hosts and relays.
func Strip(h http.Header) {
	for _, name := range []string{HeaderTarget, HeaderAddress, HeaderLife, HeaderRepeatable, HeaderRate, HeaderStream, HeaderBulk, HeaderOutcome, HeaderPause} {
		h.Del(name)
	}
}

package hop

import (
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// Call is what the headers of a caller's request say.
type Call struct {
	ID       string        // of this attempt of the caller, returned with the answer
	Object   string        // what the request concerns, empty if not said
	TimeLeft time.Duration // how long the caller waits, 0 if not said
}

// Answer is what the headers of a target's response say.
type Answer struct {
	ID          string // of the request that was answered
	NotExecuted bool   // the target has not run the request and will not
	Load        *evidence.Load
	Signed      bool          // the response is the target's own
	KeepAlive   time.Duration // idle time after which the target closes, 0 if not said
}

// Codec translates headers. It is safe for concurrent use.
type Codec interface {
	Call(h http.Header) Call
	// Forward sets the headers for a target: the time left and the target meant.
	Forward(h http.Header, left time.Duration, target string)
	Answer(status int, h http.Header) Answer
	// Refuse sets the headers of a refusal that asks to come back after a pause.
	Refuse(h http.Header, pause time.Duration)
	// Echo sets the id of the request on an answer of the sender's own.
	Echo(h http.Header, id string)
}

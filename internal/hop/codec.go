package hop

import (
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// Call holds the metadata that a caller sends in its request headers.
type Call struct {
	ID       string        // id of this attempt of the caller, echoed in the response
	Object   string        // key of the object that the request concerns, empty if not stated
	TimeLeft time.Duration // time that the caller still waits for the response, 0 if not stated
}

// Answer holds the metadata that a target sends in its response headers.
type Answer struct {
	ID          string         // id of the request that this responds to
	NotExecuted bool           // the target has not executed the request and will not do so
	Refusal     bool           // to callers, the status means that the request was not executed
	Load        *evidence.Load // load reported by the target, nil if not stated
	Signed      bool           // the response carries the signature of the target
	Leaving     bool           // the target is about to exit and must get no further requests
	RetryAfter  time.Duration  // time for which the target wants no requests from this host, 0 if not stated
	KeepAlive   time.Duration  // idle time after which the target closes the connection, 0 if not stated
}

// Codec reads and writes the protocol-specific headers of requests and responses.
// Implementations must be safe for concurrent use.
type Codec interface {
	// Call parses the headers of a request.
	Call(h http.Header) Call
	// Forward sets the headers of a request to a target: the time left and the
	// target that is addressed.
	Forward(h http.Header, left time.Duration, target string)
	// Answer parses the status and headers of a response.
	Answer(status int, h http.Header) Answer
	// AnswerHeaders returns the names of the headers that decide what an answer is. A
	// response has each of them at most once.
	AnswerHeaders() []string
	// Refuse sets the headers of a refusal that asks the caller to retry after a
	// pause.
	Refuse(h http.Header, pause time.Duration)
	// Echo sets the request id on a response that does not come from a target.
	Echo(h http.Header, id string)
}

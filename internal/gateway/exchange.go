package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	request  *http.Request
	call     hop.Call
	received time.Duration // when the header was complete
	body     *requestBody
	route    *policy.Route
	policy   *policy.Policy

	ctx          context.Context // ends when the caller leaves
	cancel       context.CancelFunc
	pipeline     *pipeline     // of the connection
	number       uint64        // in pipeline
	previousDone chan struct{} // closed once all earlier answers on the connection were sent
	done         chan struct{} // closed once the answer was sent
	answer       chan *reply   // receives the answer once
	// refused means that the request is not handled: answer already holds an error.
	refused bool
}

// reply is an answer to a caller.
type reply struct {
	status int
	header http.Header
	body   []byte    // sent first
	rest   io.Reader // sent after body, nil if there is nothing more
	length int64     // of body and rest together in bytes, -1 if unknown
	close  bool      // the connection is closed after the answer
	// finish is called after the answer was sent or abandoned; it may be nil.
	finish func()
}

// newReply returns an answer of the gateway itself, with a line of plain text.
func newReply(status int, text string) *reply {
	header := http.Header{}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := []byte(text + "\n")
	return &reply{status: status, header: header, body: body, length: int64(len(body))}
}

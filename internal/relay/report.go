package relay

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// reportFailure tells the entry host why there is no response from the target. It
// reports whether the connection to the entry host can be used again.
func (x *exchange) reportFailure(outcome Outcome, cause error) bool {
	s := x.session
	s.server.count("relay.outcome." + string(outcome))
	if cause != nil {
		x.log("relayed request got no answer", cause, "outcome", outcome)
	}
	header := http.Header{}
	header.Set(HeaderOutcome, string(outcome))
	if outcome == Leaving || outcome == Paused {
		SetTargetLife(header, roster.Life(x.to.Start))
	}
	if outcome == Paused {
		left := s.server.pauses.Left(s.server.now(), x.key())
		header.Set(HeaderPause, strconv.FormatInt(left.Milliseconds(), 10))
	}
	header.Set("Content-Length", "0")
	s.server.config.Codec.Echo(header, x.call.ID)
	x.markLast(header)
	if err := writeHead(s.writer, http.StatusBadGateway, header); err != nil {
		return false
	}
	return s.writer.Flush() == nil
}

// markLast tells the entry host that the connection ends after the answer, since the rest of
// a body may still be on its way on it.
func (x *exchange) markLast(header http.Header) {
	if x.upload != nil && x.upload.continued {
		header.Set("Connection", "close")
	}
}

// log logs a failure of the request through the rate-limiting sampler.
func (x *exchange) log(message string, err error, detail ...any) {
	s := x.session.server
	s.sampler.Warn(s.config.Log, message, append([]any{"id", x.call.ID, "target", x.target, "address", x.to.Address,
		"entry", x.session.host, "after", s.now() - x.received, "err", err}, detail...)...)
}

// countUnsound counts an answer whose head is not sound.
func (x *exchange) countUnsound(err error) {
	var unsound *hop.HeadError
	if errors.As(err, &unsound) {
		x.session.server.count("relay.unsound_heads")
	}
}

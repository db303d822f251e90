package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
)

// maxShedBody is the number of bytes that are read of a shed response so that
// its connection can be reused.
const maxShedBody = 4 << 10

// accept returns the response if it can be passed on to the caller. Stray and
// invalid responses and those by which the target sheds load are failures.
func (a *attempt) accept(response *http.Response) (*http.Response, *failure) {
	if a.gotStray.Load() {
		response.Body.Close()
		return nil, a.failed(errStray)
	}
	if problem := a.checkResponse(response); problem != nil {
		f := a.failed(problem)
		f.badResponse = true
		response.Body.Close()
		return nil, f
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderShed) == shedNotRun {
		return nil, a.shed(response)
	}
	return response, nil
}

// checkResponse returns an error for a malformed response, for one whose end cannot be
// detected and for one that belongs to another attempt.
func (a *attempt) checkResponse(response *http.Response) error {
	if err := errors.Join(hop.CheckStatus(response), hop.CheckFields(response.Header)); err != nil {
		return err
	}
	echo, echoed := response.Header[HeaderAttempt]
	switch {
	case echoed && (len(echo) != 1 || echo[0] != a.name):
		return fmt.Errorf("the target answered attempt %.100q instead of %q", echo, a.name)
	case a.conn.echoed(echoed):
		return errors.New("the response does not name its attempt, as earlier ones on the connection did")
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !hasNoBody(a.x.r.Method, response.StatusCode):
		return errors.New("the response has neither Content-Length nor chunked encoding, so a cut would not show")
	}
	return nil
}

// hasNoBody reports whether HTTP defines a response with this status to this
// method as one without a body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// shed returns the failure for a response by which the target sheds load.
func (a *attempt) shed(response *http.Response) *failure {
	_, _ = io.CopyN(io.Discard, response.Body, maxShedBody)
	response.Body.Close()
	f := &failure{outcome: retry.Shed, sent: true, err: errors.New("the target shed the request")}
	f.bodyRead = a.detach()
	if seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

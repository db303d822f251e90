package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

var errPermitLost = errors.New("the slot was given up because its coordinator could not be reached")

var errDeadline = errors.New("deadline passed before the response began")

// attempt is one try to have a request answered by one target.
type attempt struct {
	x        *exchange
	permit   Permit
	name     string
	upload   *upload
	span     trace.Span
	ctx      context.Context
	cancel   context.CancelCauseFunc
	conn     *targetConn // set while RoundTrip runs, in the same goroutine
	gotStray atomic.Bool // the response cannot belong to this attempt
}

func newAttempt(x *exchange, p Permit) *attempt {
	a := &attempt{x: x, permit: p, name: x.names.name(), upload: &upload{body: x.body}}
	ctx := x.ctx
	if x.claim != nil {
		// A claimed request that was sent goes on without its caller, so that
		// a resend gets the recorded answer instead of "unknown".
		ctx = context.WithoutCancel(ctx)
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	ctx, a.span = x.forwarder.span(ctx, "entry.attempt")
	a.span.SetAttributes(attribute.String("target", p.Target()), attribute.String("zone", p.Zone()))
	a.ctx = ctx
	return a
}

// send returns the response once its header has come, by the deadline.
func (a *attempt) send() (*http.Response, *failure) {
	timer := time.AfterFunc(a.x.timeLeft(a.x.call.deadline), func() { a.cancel(errDeadline) })
	response, failure := a.roundTrip()
	if !timer.Stop() && failure == nil {
		// The timer cancelled the attempt as the header came in, so the body cannot be read.
		response.Body.Close()
		a.cancel(errDeadline) // the function of the timer may not have run yet
		return nil, a.failed(errDeadline)
	}
	return response, failure
}

func (a *attempt) roundTrip() (*http.Response, *failure) {
	request, err := a.request()
	if err != nil {
		return nil, &failure{outcome: retry.Unreached, err: err}
	}
	start := time.Now()
	response, err := a.transport().RoundTrip(request)
	a.x.waitTime += time.Since(start)
	if err != nil {
		return nil, a.failed(err)
	}
	return a.accept(response)
}

func (a *attempt) transport() *http.Transport {
	region := a.permit.Region()
	if region == a.x.config.Directory.Region() {
		region = ""
	}
	return a.x.upstream.transportFor(a.x.call.service, a.x.config.Directory.EntryHosts(), region, a.x.call.class)
}

func (a *attempt) request() (*http.Request, error) {
	path, err := url.PathUnescape(a.x.call.path)
	if err != nil {
		return nil, err
	}
	in := a.x.r
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{Scheme: "http", Host: a.permit.Target(), Path: path, RawPath: a.x.call.path,
			RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        endToEnd(in.Header),
		Host:          in.Host,
		Body:          a.upload,
		ContentLength: in.ContentLength,
	}
	if a.x.body == nil && usuallyLacksBody(in.Method) {
		// Without it, net/http starts a goroutine and a timer to find out
		// whether the body reader has a byte.
		out.TransferEncoding = []string{"identity"}
	}
	delete(out.Header, "Expect") // the caller was told to continue when its body was first read
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // net/http would add its own
	}
	out.Header[HeaderDeadline] = []string{strconv.FormatInt(a.x.call.deadline.UnixMilli(), 10)}
	out.Header[HeaderAttempt] = []string{a.name}
	a.x.config.Tracing.Propagator.Inject(a.ctx, propagation.HeaderCarrier(out.Header))
	return out.WithContext(httptrace.WithClientTrace(a.ctx, a.trace())), nil
}

// usuallyLacksBody lists methods whose requests need no framing of an empty body.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*targetConn)
			if a.conn != nil {
				conn.seal() // a second connection for one attempt would be a resend
				return
			}
			a.conn = conn
			conn.begin(func() bool { return a.permit.Usable(a.x.config.Now()) })
		},
		GotFirstResponseByte: func() {
			if a.conn.receivedStray() {
				a.gotStray.Store(true)
				a.conn.seal()
			}
		},
	}
}

// failed says what an error of RoundTrip means.
func (a *attempt) failed(err error) *failure {
	x, f := a.x, &failure{outcome: retry.Broken, err: err}
	if a.conn != nil {
		f.sent = a.conn.seal()
	}
	f.bodyRead = a.detach()
	switch {
	case x.body != nil && x.body.failed() != nil:
		f.outcome, f.err = retry.CallerGone, fmt.Errorf("upload: %w", x.body.failed())
	case context.Cause(a.ctx) == errDeadline:
		f.outcome, f.err = retry.TimedOut, errDeadline
	case a.ctx.Err() != nil:
		f.outcome = retry.CallerGone
	case errors.Is(err, errPermitExpired) || errors.Is(err, errStray) || a.gotStray.Load():
		f.outcome = retry.Void
	case !f.sent:
		f.outcome = retry.Unreached
		f.unreachable = a.conn == nil && !errors.Is(err, errNoShare)
	}
	if f.sent && f.outcome == retry.Void {
		f.outcome = retry.Broken
	}
	return f
}

// detach ends reading from the caller and reports whether a byte may have been read.
func (a *attempt) detach() (read bool) {
	a.upload.detach()
	return a.x.body != nil && a.x.body.wasRead()
}

// accept checks that the response is one that can be passed on.
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

// checkResponse finds responses whose end cannot be told or that belong to another attempt.
func (a *attempt) checkResponse(response *http.Response) error {
	echo, echoed := response.Header[HeaderAttempt]
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the target switched protocols")
	case echoed && (len(echo) != 1 || echo[0] != a.name):
		return fmt.Errorf("the target answered attempt %.100q instead of %q", echo, a.name)
	case a.conn.echoed(echoed):
		return errors.New("the response does not name its attempt, as earlier ones on the connection did")
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !hasNoBody(a.x.r.Method, response.StatusCode):
		return errors.New("the response has neither Content-Length nor chunked encoding, so a cut would not show")
	}
	return nil
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// maxShedBody bounds what is read of a shed response so that its connection can be used again.
const maxShedBody = 4 << 10

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

// endIfLost cancels the attempt if its permit is lost before the returned function is called.
func (a *attempt) endIfLost() (stop func()) {
	l, ok := a.permit.(LossNotifier)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-l.Lost():
			a.cancel(errPermitLost)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// end releases the permit, after the connection was closed or given back.
func (a *attempt) end(o slots.Outcome) {
	a.cancel(nil)
	a.permit.Release(o)
	a.span.End()
}

package entry

import (
	"context"
	"errors"
	"fmt"
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

// errPermitLost cancels an attempt whose permit was lost after the response began.
var errPermitLost = errors.New("the slot was given up because its coordinator could not be reached")

// errDeadline cancels an attempt whose response header did not arrive by the request's deadline.
var errDeadline = errors.New("deadline passed before the response began")

// attempt is one try at sending a request to one target, under one permit.
type attempt struct {
	x        *exchange
	permit   Permit
	name     string
	upload   *upload
	span     trace.Span
	ctx      context.Context
	cancel   context.CancelCauseFunc
	conn     *targetConn // set while RoundTrip runs, in the same goroutine
	gotStray atomic.Bool // set if the response cannot belong to this attempt
}

func newAttempt(x *exchange, p Permit) *attempt {
	a := &attempt{x: x, permit: p, name: x.names.name(), upload: &upload{body: x.body}}
	ctx := x.ctx
	if x.claim != nil {
		// A claimed request that was sent continues after its caller has left, so
		// that a resend gets the recorded answer instead of "unknown".
		ctx = context.WithoutCancel(ctx)
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	ctx, a.span = x.forwarder.span(ctx, "entry.attempt")
	a.span.SetAttributes(attribute.String("target", p.Target()), attribute.String("zone", p.Zone()))
	a.ctx = ctx
	return a
}

// send sends the request and returns the response once its header has arrived.
// It fails with errDeadline if the header does not arrive by the request's deadline.
func (a *attempt) send() (*http.Response, *failure) {
	timer := time.AfterFunc(a.x.timeLeft(a.x.call.deadline), func() { a.cancel(errDeadline) })
	response, failure := a.roundTrip()
	if !timer.Stop() && failure == nil {
		// The timer fired while the header arrived; the attempt is cancelled, so the body cannot be read.
		response.Body.Close()
		a.cancel(errDeadline) // the timer's function may not have run yet
		return nil, a.failed(errDeadline)
	}
	return response, failure
}

// roundTrip makes the HTTP round trip to the target and checks the response.
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

// transport returns the HTTP transport for the region of the target.
func (a *attempt) transport() *http.Transport {
	region := a.permit.Region()
	if region == a.x.config.Directory.Region() {
		region = ""
	}
	return a.x.upstream.transportFor(a.x.call.service, a.x.config.Directory.EntryHosts(), region, a.x.call.class)
}

// request builds the request to the target from that of the caller.
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
		// Otherwise net/http starts a goroutine and a timer to find out
		// whether the body is empty.
		out.TransferEncoding = []string{"identity"}
	}
	delete(out.Header, "Expect") // this host sends "100 Continue" itself when it first reads the caller's body
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // net/http would add its own
	}
	out.Header[HeaderDeadline] = []string{strconv.FormatInt(a.x.call.deadline.UnixMilli(), 10)}
	out.Header[HeaderAttempt] = []string{a.name}
	a.x.config.Tracing.Propagator.Inject(a.ctx, propagation.HeaderCarrier(out.Header))
	return out.WithContext(httptrace.WithClientTrace(a.ctx, a.trace())), nil
}

// usuallyLacksBody reports whether requests with the method usually have no
// body, so that an empty body needs no framing.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// trace returns hooks that assign the connection to the attempt and detect
// responses that cannot belong to it.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*targetConn)
			if a.conn != nil {
				conn.seal() // a second connection means that net/http is resending the request
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

// failed closes the connection of the attempt and classifies err, which ended
// the round trip or made the response invalid.
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

// detach stops the attempt from reading the caller's body and reports whether
// any of the body may already have been read.
func (a *attempt) detach() (read bool) {
	a.upload.detach()
	return a.x.body != nil && a.x.body.wasRead()
}

// endIfLost cancels the attempt if its permit is lost before stop is called.
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

// end releases the permit. The connection must have been closed or returned to
// the pool of idle connections before.
func (a *attempt) end(o slots.Outcome) {
	a.cancel(nil)
	a.permit.Release(o)
	a.span.End()
}

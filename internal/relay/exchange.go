package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// exchange is one request of an entry host and its answer.
type exchange struct {
	session     *session
	request     *http.Request
	body        []byte
	call        hop.Call
	target      string
	to          hop.Endpoint // the target; its start is known once the relay has found it
	repeatable  bool
	rate        float64 // bytes a second that the entry host's link carries, 0 if unknown
	bulk        bool    // the answer waits for others of the entry host
	received    time.Duration
	requestSent bool // the whole request was sent
}

func newExchange(s *session, request *http.Request, body []byte) *exchange {
	h := request.Header
	x := &exchange{session: s, request: request, body: body, call: s.server.config.Codec.Call(h),
		target: h.Get(HeaderTarget), to: hop.Endpoint{Address: h.Get(HeaderAddress)}, repeatable: h.Get(HeaderRepeatable) != "", bulk: h.Get(HeaderBulk) != "", received: s.server.now()}
	if bytesPerSecond, err := strconv.ParseFloat(h.Get(HeaderRate), 64); err == nil && bytesPerSecond > 0 {
		x.rate = bytesPerSecond
	}
	return x
}

// timeLeft is the time that the request still has.
func (x *exchange) timeLeft() time.Duration {
	return x.call.TimeLeft - (x.session.server.now() - x.received)
}

// run sends the request and returns the answer. It reports whether the
// connection to the entry host may go on.
func (x *exchange) run(ctx context.Context) bool {
	s := x.session.server
	s.count("relay.requests")
	if !s.tryAcquire() {
		return x.reportFailure(Busy, nil)
	}
	defer s.release()
	life, known := s.config.Find(x.target, x.to.Address)
	if !known || x.timeLeft() <= 0 {
		return x.reportFailure(Busy, nil)
	}
	x.to.Start = int64(life)
	ctx, cancel := context.WithTimeout(ctx, x.timeLeft())
	defer cancel()
	u, outcome, err := x.connect()
	if err != nil {
		return x.reportFailure(outcome, err)
	}
	stop := context.AfterFunc(ctx, u.Close)
	defer stop()
	r, outcome := x.send(ctx, u)
	if r.Err != nil {
		u.Abort()
		return x.reportFailure(outcome, r.Err)
	}
	if err := x.relayResponse(ctx, r.Response); err != nil {
		u.Abort()
		x.log("relayed answer broke off", err)
		return false
	}
	u.SetKeepAlive(r.Answer.KeepAlive)
	if stop() && x.requestSent && !r.Response.Close {
		s.pool.Put(u)
	} else {
		u.Abort()
	}
	return x.session.writer.Flush() == nil
}

// reportMargin is the time that is left for the news that nothing was sent: later
// ones find the entry host without knowledge of it.
const reportMargin = 30 * time.Millisecond

// errBreakerOpen says that other requests have just failed to reach the target's host.
var errBreakerOpen = errors.New("the target's host is silent")

// connect takes a kept connection to the target or opens one. The outcome says
// why there is none; nothing was sent then.
func (x *exchange) connect() (*hop.Conn, Outcome, error) {
	s := x.session.server
	if s.dialBreaker.isOpen(s.now(), x.to.Address) {
		return nil, Unreached, errBreakerOpen
	}
	if u := s.pool.Get(x.to, x.repeatable); u != nil {
		return u, "", nil
	}
	limit := min(hop.DialTimeout, x.timeLeft()-reportMargin)
	if limit <= 0 {
		return nil, Busy, context.DeadlineExceeded
	}
	s.count("relay.dials")
	u, err := s.pool.Dial(x.to, limit)
	if err == nil {
		s.dialBreaker.reached(x.to.Address)
		return u, "", nil
	}
	if limit < hop.DialTimeout {
		return nil, Busy, err // cut short by the request's own end, which says nothing of the target
	}
	if hop.IsTimeout(err) {
		s.dialBreaker.timedOut(s.now(), x.to.Address)
	}
	return nil, Unreached, err
}

// send writes the request and waits for the head of the answer.
func (x *exchange) send(ctx context.Context, u *hop.Conn) (hop.Result, Outcome) {
	forwarded := &http.Request{Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: hop.EndToEndHeaders(x.request.Header)}
	Strip(forwarded.Header)
	x.session.server.config.Codec.Forward(forwarded.Header, x.timeLeft(), x.target)
	responses, ok := u.Expect(forwarded, x.call.ID)
	if !ok {
		return hop.Result{Err: hop.ErrConnectionEnded}, Unreached
	}
	var b bytes.Buffer
	if err := hop.WriteHead(&b, forwarded, int64(len(x.body))); err != nil {
		return hop.Result{Err: err}, Unreached
	}
	b.Write(x.body)
	u.SetWriteDeadline(time.Now().Add(x.timeLeft()))
	_, err := u.Write(b.Bytes()) // a failure ends the connection, which the reader reports
	x.requestSent = err == nil
	select {
	case r := <-responses:
		if errors.Is(r.Err, syscall.ETIMEDOUT) {
			// The host has not acknowledged the request. Other kept connections to
			// it would lose what is sent on them, too.
			s := x.session.server
			s.dialBreaker.timedOut(s.now(), x.to.Address)
			s.pool.Forget(x.to)
		}
		return r, outcomeOf(ctx)
	case <-ctx.Done():
		return hop.Result{Err: ctx.Err()}, TimedOut
	}
}

// outcomeOf says why a request that was sent has no answer. The end of its time
// closes the connection, which the reader may report first.
func outcomeOf(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Broken
}

// reportFailure tells the entry host why there is no answer of the target.
func (x *exchange) reportFailure(outcome Outcome, cause error) bool {
	s := x.session
	s.server.count("relay.outcome." + string(outcome))
	if cause != nil {
		x.log("relayed request got no answer", cause, "outcome", outcome)
	}
	header := http.Header{}
	header.Set(HeaderOutcome, string(outcome))
	header.Set("Content-Length", "0")
	s.server.config.Codec.Echo(header, x.call.ID)
	if err := writeHead(s.writer, http.StatusBadGateway, header); err != nil {
		return false
	}
	return s.writer.Flush() == nil
}

// log logs what went wrong with the request, within a rate.
func (x *exchange) log(message string, err error, detail ...any) {
	s := x.session.server
	s.sampler.Warn(s.config.Log, message, append([]any{"id", x.call.ID, "target", x.target, "address", x.to.Address,
		"entry", x.session.host, "after", s.now() - x.received, "err", err}, detail...)...)
}

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
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// exchange is a request of an entry host together with its response.
type exchange struct {
	session    *session
	request    *http.Request
	body       []byte
	upload     *upload // nil if body is the whole body
	call       hop.Call
	target     string
	to         hop.Endpoint // address of the target; Start is set once Config.Find has confirmed it
	repeatable bool
	rate       float64       // rate of the entry host's link in bytes per second, 0 if unknown
	bulk       bool          // the response yields to other responses to the entry host
	received   time.Duration // when the request arrived, on the server's clock
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

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft() time.Duration {
	return x.call.TimeLeft - (x.session.server.now() - x.received)
}

// answerGrace is how long an answer is awaited after the request's deadline. The target
// counts the deadline from the arrival of the request, so that an answer that it finished
// in time arrives later by a round trip.
const answerGrace = 60 * time.Millisecond

// answerTimeLeft returns the time until which an answer is awaited.
func (x *exchange) answerTimeLeft() time.Duration { return x.timeLeft() + answerGrace }

// run forwards the request and returns the response. It reports whether the
// connection to the entry host can be used again.
func (x *exchange) run(ctx context.Context) bool {
	s := x.session.server
	s.count("relay.requests")
	if !s.tryAcquire() {
		return x.reportFailure(Busy, nil)
	}
	defer s.release()
	t, known := s.config.Find(x.target, x.to.Address)
	if !known || t.Life < TargetLife(x.request.Header) || x.timeLeft() <= 0 {
		return x.reportFailure(Busy, nil)
	}
	x.to.Start = int64(t.Life)
	if t.Leaving {
		return x.reportFailure(Leaving, nil)
	}
	if s.pauses.Left(s.now(), x.key()) > 0 {
		return x.reportFailure(Paused, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, x.answerTimeLeft())
	defer cancel()
	u, outcome, err := x.connect()
	if err != nil {
		return x.reportFailure(outcome, err)
	}
	forwarded := x.forwarded()
	c, ok := u.Begin(forwarded, x.call.ID)
	if !ok {
		return x.reportFailure(Unreached, hop.ErrConnectionEnded)
	}
	defer context.AfterFunc(ctx, c.Close)()
	r, outcome := x.send(ctx, c, forwarded)
	if r.Err != nil {
		c.Abort()
		x.countUnsound(r.Err)
		return x.reportFailure(outcome, r.Err)
	}
	x.observe(&r.Answer)
	if err := x.relayResponse(ctx, r.Response); err != nil {
		c.Abort()
		x.log("relayed answer broke off", err)
		return false
	}
	c.SetKeepAlive(r.Answer.KeepAlive)
	s.pool.Release(c)
	return x.session.writer.Flush() == nil
}

// key identifies the target's incarnation.
func (x *exchange) key() evidence.Key { return evidence.Key{Name: x.target, Life: x.to.Start} }

// observe acts on what an answer says about its target: that it is about to exit, or
// wants no requests from this relay for some time.
func (x *exchange) observe(a *hop.Answer) {
	s := x.session.server
	if a.RetryAfter > 0 {
		s.count("relay.target_pauses")
		s.pauses.Add(s.now(), x.key(), a.RetryAfter)
	}
	if a.Leaving {
		s.config.ReportLeaving(x.target, roster.Life(x.to.Start))
	}
}

// reportMargin is reserved for telling the entry host that nothing was sent. A report
// that arrives after the deadline leaves the entry host not knowing whether the
// request ran.
const reportMargin = 30 * time.Millisecond

// errBreakerOpen is returned without a dial if recent dials to the target's host
// timed out.
var errBreakerOpen = errors.New("not dialled: recent connection attempts to the target's host timed out")

// connect takes an idle connection to the target or opens a new one. If it fails,
// nothing was sent and the outcome says why.
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
		return nil, Busy, err // the request's own deadline cut the dial short, which says nothing about the target
	}
	if hop.IsTimeout(err) {
		s.dialBreaker.timedOut(s.now(), x.to.Address)
	}
	return nil, Unreached, err
}

// forwarded returns the request as it is sent to the target.
func (x *exchange) forwarded() *http.Request {
	r := &http.Request{Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: hop.EndToEndHeaders(x.request.Header)}
	Strip(r.Header)
	x.session.server.config.Codec.Forward(r.Header, x.timeLeft(), x.target)
	return r
}

// send writes the request and waits for the head of the response.
func (x *exchange) send(ctx context.Context, c *hop.Exchange, forwarded *http.Request) (hop.Result, Outcome) {
	if err := x.write(c, forwarded); err != nil {
		return hop.Result{Err: err}, Unreached
	}
	select {
	case r := <-c.Results():
		if errors.Is(r.Err, syscall.ETIMEDOUT) {
			// The host has not acknowledged the request. Requests sent on other idle
			// connections to it would be lost as well.
			s := x.session.server
			s.dialBreaker.timedOut(s.now(), x.to.Address)
			s.pool.Forget(x.to)
		}
		return r, outcomeOf(ctx)
	case <-ctx.Done():
		return hop.Result{Err: ctx.Err()}, TimedOut
	}
}

// write writes the request to the target, with a body that is streamed in the background.
// An error means that nothing was written; a failed write ends the connection, and its read
// loop reports that.
func (x *exchange) write(c *hop.Exchange, r *http.Request) error {
	length := int64(len(x.body))
	if x.upload != nil {
		length = x.upload.length
	}
	var b bytes.Buffer
	if err := hop.WriteHead(&b, r, length); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(x.timeLeft()))
	if x.upload == nil {
		b.Write(x.body)
		if _, err := c.Write(b.Bytes()); err == nil {
			c.MarkSent()
		}
		return nil
	}
	if err := x.upload.sendContinue(); err != nil {
		return err
	}
	if _, err := c.Write(b.Bytes()); err == nil {
		go x.upload.copyTo(c)
	}
	return nil
}

// outcomeOf returns why a request that was sent has no response. The end of its
// deadline closes the connection, so the read loop may report a lost connection
// although the request timed out.
func outcomeOf(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Broken
}

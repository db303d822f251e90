package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// send writes the request to a connection and waits for the response.
func (d *delivery) send(u *hop.Conn, t *roster.Target, e *evidence.Target) attempt {
	g, x := d.gateway, d.exchange
	left := d.deadline - g.now()
	if left <= 0 {
		u.Close()
		return attempt{outcome: unreached, err: errNoTimeLeft}
	}
	request := d.forwarded(t, left)
	c, ok := u.Begin(request, x.call.ID)
	if !ok && d.via == viaRelay {
		return attempt{outcome: notTaken}
	}
	if !ok {
		return attempt{outcome: unreached, err: hop.ErrConnectionEnded}
	}
	if d.via == viaRelay {
		defer g.relays.trackInFlight(c, x.route.Kind.Idempotent())()
	}
	c.SetWriteDeadline(time.Now().Add(left)) // an error, as on a closed connection, shows up in the write
	if !d.write(c, request) {
		c.Abort()
		return attempt{outcome: unreached, err: errBodyTaken}
	}
	return d.await(c, t, e)
}

// write sends a request. A body that is streamed follows in the background: at once to a
// target, and once it asks for it to a relay. It returns false, and has sent nothing, if the
// body was claimed before.
func (d *delivery) write(c *hop.Exchange, request *http.Request) bool {
	body := d.exchange.body
	switch {
	case body.rest == nil:
		if writeRequest(c, request, body) == nil { // a failed write ends the connection
			c.MarkSent()
		}
	case d.via == viaRelay:
		c.HoldBody()
		_ = writeHead(c, request, body)
	case body.start():
		go sendBody(c, body, func() error { return writeRequest(c, request, body) })
	default:
		return false
	}
	return true
}

// sendBody runs a function that writes a body, which was claimed before.
func sendBody(c *hop.Exchange, body *requestBody, write func() error) {
	defer body.markDone()
	if write() == nil {
		c.MarkSent()
	}
}

// await waits for the response, and for the relay to ask for the body.
func (d *delivery) await(c *hop.Exchange, t *roster.Target, e *evidence.Target) attempt {
	x := d.exchange
	timer := time.NewTimer(d.answerLimit - d.gateway.now())
	defer timer.Stop()
	for {
		select {
		case <-c.Asked():
			if !x.body.start() {
				c.Abort()
				return attempt{outcome: broken, err: errBodyTaken, relayLost: true}
			}
			go sendBody(c, x.body, func() error { return copyBody(c, x.body) })
		case r := <-c.Results():
			return d.handleResponse(c, t, e, r)
		case <-timer.C:
			c.Abort()
			return attempt{outcome: timedOut}
		case <-x.ctx.Done():
			c.Abort()
			return attempt{outcome: callerLeft}
		}
	}
}

// errBodyTaken is returned if the body was already claimed for another attempt.
var errBodyTaken = errors.New("the body of the request was sent in another attempt")

// errUnsigned is returned for a success status without the target's signature,
// which may come from another process.
var errUnsigned = errors.New("the success response is not signed by the target")

// errUnconfirmedRefusal is returned for a status that callers take for the statement that
// the request was not run, without that statement by the target.
var errUnconfirmedRefusal = errors.New("the target does not state that it has not run the request")

// handleResponse turns a response into the result of the attempt and records the
// evidence about the target.
func (d *delivery) handleResponse(c *hop.Exchange, t *roster.Target, e *evidence.Target, r hop.Result) attempt {
	now := d.gateway.now()
	var unsound *hop.HeadError
	if errors.As(r.Err, &unsound) {
		d.gateway.meters.count("answer.unsound_head")
	}
	if d.via == viaRelay {
		if a, failed := d.relayFailed(c, t, e, &r); failed {
			return a
		}
	}
	if r.Err != nil {
		c.Abort()
		e.RecordFailure(now)
		if errors.Is(r.Err, hop.ErrConnectionEnded) {
			if c.Fresh() {
				e.RecordUnreachable(now)
			}
			d.gateway.targetFailed(t)
		}
		return attempt{outcome: broken, err: r.Err}
	}
	if d.via == viaDirect && c.Fresh() {
		d.gateway.targetReached() // an older connection may live on although new ones are refused
	}
	if r.Response.StatusCode < http.StatusMultipleChoices && !r.Answer.Signed {
		c.Abort()
		e.RecordFailure(now)
		return attempt{outcome: broken, err: errUnsigned}
	}
	d.observe(t, &r.Answer)
	if r.Answer.Load != nil {
		e.RecordLoad(now, *r.Answer.Load)
		d.gateway.reports.load(t.Name, *r.Answer.Load)
	}
	c.SetKeepAlive(r.Answer.KeepAlive)
	a := d.readAnswer(c, e, r)
	if r.Answer.NotExecuted {
		if a.reply != nil && a.reply.finish != nil {
			a.reply.finish() // the rest of the body is not read
		}
		return attempt{outcome: notRun, released: a.released}
	}
	if a.outcome == broken {
		e.RecordFailure(now)
	}
	if a.outcome != answered {
		return a
	}
	if r.Answer.Refusal {
		a.reply.finish() // the rest of the body is not read
		d.gateway.meters.count("answer.unconfirmed_refusal")
		e.RecordFailure(now)
		err := fmt.Errorf("%w: status %d", errUnconfirmedRefusal, r.Response.StatusCode)
		return attempt{outcome: targetError, err: err, released: a.released}
	}
	if r.Response.StatusCode >= http.StatusInternalServerError {
		if !a.timedOutAtTarget() {
			e.RecordFailure(now)
		}
		if d.exchange.route.Kind.Idempotent() {
			a.outcome = targetError
		}
		return a
	}
	e.RecordSuccess(now)
	return a
}

// observe acts on what an answer says about its target: that it is about to exit, or
// wants no requests for some time.
func (d *delivery) observe(t *roster.Target, a *hop.Answer) {
	g := d.gateway
	if a.RetryAfter > 0 {
		g.meters.count("target.pauses")
		g.pauses.Add(g.now(), evidence.Key{Name: t.Name, Life: int64(t.Life)}, a.RetryAfter)
	}
	if a.Leaving {
		g.targetLeaves(t.Name, t.Life, d.via)
	}
}

// errRelay is returned when the relay reports that it has no answer from the target.
var errRelay = errors.New("the relay got no answer from the target")

// errOutcomes is returned for an answer of a relay with more than one outcome.
var errOutcomes = errors.New("the relay's answer has several outcomes")

// errLeaving and errPaused are returned when the relay has sent nothing because the
// target is about to exit, or wants no requests from the relay for some time.
var (
	errLeaving = errors.New("the target is about to exit")
	errPaused  = errors.New("the target has asked the relay for a pause")
)

// relayFailed reports whether the result comes from the relay itself rather than
// from the target, and returns the result of the attempt if so.
func (d *delivery) relayFailed(c *hop.Exchange, t *roster.Target, e *evidence.Target, r *hop.Result) (a attempt, failed bool) {
	g := d.gateway
	now := g.now()
	if r.Err != nil {
		c.Abort()
		return attempt{outcome: broken, err: r.Err, relayLost: true}, true
	}
	g.relays.answered(now, c.Address())
	if len(r.Response.Header.Values(relay.HeaderOutcome)) > 1 {
		c.Abort()
		return attempt{outcome: broken, err: errOutcomes, relayLost: true}, true
	}
	outcome := relay.Outcome(r.Response.Header.Get(relay.HeaderOutcome))
	if outcome == "" {
		return attempt{}, false
	}
	g.pool.Release(c)
	switch outcome {
	case relay.Busy:
		return attempt{outcome: notTaken}, true
	case relay.Unreached:
		e.RecordUnreachable(now)
		return attempt{outcome: unreached, err: errRelay}, true
	case relay.Leaving:
		g.targetLeaves(t.Name, relay.TargetLife(r.Response.Header), viaRelay)
		return attempt{outcome: unreached, err: errLeaving}, true
	case relay.Paused:
		left := relay.PauseLeft(r.Response.Header)
		life := relay.TargetLife(r.Response.Header)
		g.pauses.Add(now, evidence.Key{Name: t.Name, Life: int64(life)}, left)
		return attempt{outcome: unreached, err: errPaused}, true
	case relay.TimedOut:
		return attempt{outcome: timedOut, err: errRelay}, true
	}
	e.RecordFailure(now)
	return attempt{outcome: broken, err: errRelay}, true
}

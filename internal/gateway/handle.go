package gateway

import (
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

const (
	// maxNotRunAttempts bounds the retries of a request after attempts that did not
	// run it.
	maxNotRunAttempts = 3
	// refusalPause is the time after which a refused caller is asked to retry.
	refusalPause = 300 * time.Millisecond
	// defaultAnswerGrace is how long an answer is awaited after the route's timeout. The
	// target counts its time from the arrival of the request, so that an answer that it
	// finished in time arrives later by a round trip. It exceeds the relay's own grace.
	defaultAnswerGrace = 100 * time.Millisecond
	// minTimeLeft is the time before the deadline below which no retry is made.
	minTimeLeft = 20 * time.Millisecond
)

// handle processes a request and delivers its answer. If no target was sent
// the body, the body is marked as done, so that the next request can be read. The
// connection closes if bytes of the body are still unread.
func (g *Gateway) handle(x *exchange) {
	defer func() {
		if value := recover(); value != nil {
			g.answerPanic(x, value)
		}
	}()
	r := g.respond(x)
	if x.body.unread() {
		r.close = true
	}
	if x.body.start() {
		x.body.markDone()
	}
	x.answer <- r
}

// respond finds the route of a request and returns its answer.
func (g *Gateway) respond(x *exchange) *reply {
	p := g.view.current()
	if p == nil {
		return g.refuse(x, reasonNoPolicy)
	}
	x.policy = p
	x.route = p.Match(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		g.meters.count("request.unrouted")
		g.logFailure("no route matches", "id", x.call.ID, "host", x.request.Host, "path", x.request.URL.Path, "version", p.Version)
		r := newReply(http.StatusNotFound, "no route matches")
		g.config.Codec.Echo(r.header, x.call.ID)
		return r
	}
	if !x.awaitTurn() {
		return g.refuse(x, reasonCallerLeft)
	}
	if g.unreachable() {
		r := g.refuse(x, reasonCutOff) // other hosts take it
		r.close = true
		return r
	}
	d := g.newDelivery(x)
	if g.endsBefore(d.answerLimit) {
		return g.refuseFor(x, reasonStopping, 0, "left", d.deadline-g.now()) // other hosts take it at once
	}
	if x.route.Kind == policy.Download {
		return g.download(d)
	}
	return d.run()
}

// awaitTurn waits until the request may be passed on to a target. It returns false if the
// caller leaves before. After an answer that closes the connection, the caller sends its
// later pipelined requests again. One that is not idempotent must therefore not have
// started before all earlier answers were sent; an idempotent one waits only while one of
// them is streamed, so that it does not run in vain if that answer breaks off.
func (x *exchange) awaitTurn() bool {
	if x.route.Kind.Idempotent() && x.pipeline.tryPassOn(x.number) {
		return true
	}
	select {
	case <-x.previousDone:
		return x.pipeline.tryPassOn(x.number)
	case <-x.ctx.Done():
		return false
	}
}

// newDelivery chooses the service and sets the deadline of a request: the route's
// timeout or the caller's, whichever ends first.
func (g *Gateway) newDelivery(x *exchange) *delivery {
	service := g.splits.destination(x.route)
	g.budgets.request(service, g.now())
	d := &delivery{gateway: g, exchange: x, service: service, tried: map[string]bool{}, deadline: x.received + x.route.Timeout}
	d.answerLimit = d.deadline + g.answerGrace
	if x.call.TimeLeft > 0 {
		d.deadline = min(d.deadline, x.received+x.call.TimeLeft)
		d.answerLimit = min(d.answerLimit, x.received+x.call.TimeLeft)
	}
	if g.meters.sampler.Routine(x.call.ID) {
		g.log.Info("request accepted", "id", x.call.ID, "route", x.route.Name, "kind", x.route.Kind, "service", service,
			"version", x.policy.Version, "object", x.call.Object, "left", d.deadline-x.received)
	}
	return d
}

// download runs a delivery once a download slot is free, and holds the slot until
// the answer was sent. It waits at most half of the remaining time.
func (g *Gateway) download(d *delivery) *reply {
	if !g.downloadLimit.acquire(d.exchange.ctx, (d.deadline-g.now())/2) {
		return g.refuse(d.exchange, reasonLinkBusy)
	}
	r := d.run()
	finish := r.finish
	r.finish = func() {
		g.downloadLimit.release()
		if finish != nil {
			finish()
		}
	}
	return r
}

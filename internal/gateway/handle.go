package gateway

import (
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

const (
	// maxNotRunAttempts bounds the further targets that are tried after ones that did not
	// run the request.
	maxNotRunAttempts = 3
	// refusalPause is how long callers are asked to stay away after a refusal.
	refusalPause = 300 * time.Millisecond
	// minTimeLeft is the least time that is worth another attempt.
	minTimeLeft = 20 * time.Millisecond
)

// handle answers a request.
func (g *Gateway) handle(x *exchange) {
	r := g.respond(x)
	if x.body.unread() {
		r.close = true
	}
	if !x.body.started.Load() {
		x.body.markDone()
	}
	x.answer <- r
}

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
	if !x.route.Kind.Idempotent() {
		// An answer that closes the connection makes the caller send again what
		// it sent behind, so that must not have begun.
		select {
		case <-x.previousDone:
		case <-x.ctx.Done():
			return g.refuse(x, reasonCallerLeft)
		}
	}
	d := g.newDelivery(x)
	if x.route.Kind == policy.Download {
		return g.download(d)
	}
	return d.run()
}

// newDelivery fixes the service and the time limit of a request.
func (g *Gateway) newDelivery(x *exchange) *delivery {
	service := g.splits.destination(x.route)
	g.budgets.request(service, g.now())
	d := &delivery{gateway: g, exchange: x, service: service, tried: map[string]bool{}, deadline: x.received + x.route.Timeout}
	if x.call.Left > 0 {
		d.deadline = min(d.deadline, x.received+x.call.Left)
	}
	if g.meters.sampler.Routine(x.call.ID) {
		g.log.Info("request accepted", "id", x.call.ID, "route", x.route.Name, "kind", x.route.Kind, "service", service,
			"version", x.policy.Version, "object", x.call.Object, "left", d.deadline-x.received)
	}
	return d
}

// download delivers a large answer once the own link has room for it.
func (g *Gateway) download(d *delivery) *reply {
	if !g.downloadLimit.acquire(d.exchange.ctx, (d.deadline-g.now())/2) {
		return g.refuse(d.exchange, reasonLinkBusy)
	}
	r := d.run()
	finish := r.finish
	r.finish = func(sent bool) {
		g.downloadLimit.release()
		if finish != nil {
			finish(sent)
		}
	}
	return r
}

package gateway

import (
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// maxUnrun bounds the further targets that are tried after ones that did not
	// run the request.
	maxUnrun = 3
	// refusalPause is how long callers are asked to stay away after a refusal.
	refusalPause = 300 * time.Millisecond
	// homes is the number of targets that an object is kept warm on.
	homes = 2
	// leastLeft is the least time that is worth another attempt.
	leastLeft = 20 * time.Millisecond
)

// handle answers a request.
func (g *Gateway) handle(x *exchange) {
	r := g.respond(x)
	x.body.end()
	x.answer <- r
}

func (g *Gateway) respond(x *exchange) *reply {
	p := g.view.current()
	if p == nil {
		return g.refuse(x, "no policy is known yet")
	}
	x.route = p.Match(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		g.log.Info("no route", "id", x.call.ID, "host", x.request.Host, "path", x.request.URL.Path, "version", p.Version)
		r := newReply(http.StatusNotFound, "no route matches")
		g.config.Codec.Echo(r.header, x.call.ID)
		return r
	}
	if !x.route.Kind.Idempotent() {
		// An answer that closes the connection makes the caller send again what
		// it sent behind, so that must not have begun.
		select {
		case <-x.turn:
		case <-x.ctx.Done():
			return g.refuse(x, "the caller has left")
		}
	}
	service := g.splits.destination(x.route)
	g.rates.count(service)
	g.budgets.request(service, g.now())
	d := &delivery{gateway: g, exchange: x, service: service, policy: p, tried: map[string]bool{}}
	d.deadline = x.received + x.route.Timeout
	if x.call.Left > 0 {
		d.deadline = min(d.deadline, x.received+x.call.Left)
	}
	if x.route.Kind != policy.Download {
		return d.run()
	}
	if !g.large.begin(x.ctx, (d.deadline-g.now())/2) {
		return g.refuse(x, "the link is busy with other downloads")
	}
	r := d.run()
	finish := r.finish
	r.finish = func(sent bool) {
		g.large.end()
		if finish != nil {
			finish(sent)
		}
	}
	return r
}

// refuse says that the request was not run and may be sent again.
func (g *Gateway) refuse(x *exchange, reason string) *reply {
	r := newReply(http.StatusServiceUnavailable, reason)
	g.config.Codec.Refuse(r.header, refusalPause)
	g.config.Codec.Echo(r.header, x.call.ID)
	g.log.Info("refused", "id", x.call.ID, "reason", reason)
	return r
}

// fail says that the outcome is unknown.
func (g *Gateway) fail(x *exchange, status int, reason string) *reply {
	r := newReply(status, reason)
	g.config.Codec.Echo(r.header, x.call.ID)
	g.log.Info("failed", "id", x.call.ID, "status", status, "reason", reason, "route", x.route.Name, "after", g.now()-x.received)
	return r
}

// choose returns the target for the next attempt of a request.
func (g *Gateway) choose(d *delivery) (roster.Target, *evidence.Target, bool) {
	now := g.now()
	table := g.view.table(now, d.service)
	if table == nil {
		return roster.Target{}, nil, false
	}
	key := d.exchange.call.Object
	if key == "" || !d.exchange.route.Sticky {
		key = d.exchange.call.ID
	}
	object := affinity.Object(d.service+d.exchange.route.Prefix, key)
	order := table.Order(g.config.Region, object, d.exchange.route.Allows)
	if len(order) >= homes && order[0].Region == order[1].Region && g.balance.Moves(object, order[0].Name, order[1].Name) {
		order[0], order[1] = order[1], order[0]
	}
	var best roster.Target
	var bestEvidence *evidence.Target
	verdict := evidence.Down + 1
	for i, candidate := range order {
		if d.tried[candidate.Name] {
			continue
		}
		if i >= homes && verdict <= evidence.Full {
			break // a long queue at a warm target is shorter than cold work elsewhere
		}
		t, ok := g.view.targets.Find(candidate.Name)
		if !ok {
			continue
		}
		if t.Cold(now) && !g.cold.allowed(now, &t, d.policy) {
			continue
		}
		e := g.board.Of(evidence.Key{Name: t.Name, Life: int64(t.Life)})
		if v := e.Verdict(now); v < verdict {
			best, bestEvidence, verdict = t, e, v
			if v == evidence.Good {
				break
			}
		}
	}
	if bestEvidence != nil && best.Cold(now) {
		g.cold.sent(now, best.Name)
	}
	return best, bestEvidence, bestEvidence != nil
}

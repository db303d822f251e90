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
		case <-x.turn:
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
	if !g.large.begin(d.exchange.ctx, (d.deadline-g.now())/2) {
		return g.refuse(d.exchange, reasonLinkBusy)
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

// tryShare is the number of requests of which one goes to a failing target, so
// that its recovery is seen.
const tryShare = 12

// tries reports whether a request goes to a failing target all the same.
func (g *Gateway) tries(id string) bool { return affinity.Object("try", id)%tryShare == 0 }

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
		if t.Cold(now) && !g.cold.allowed(now, &t, d.exchange.policy) {
			continue
		}
		e := g.board.Of(evidence.Key{Name: t.Name, Life: int64(t.Life)})
		v := e.Verdict(now)
		if v < evidence.Doubtful && g.reports.failing(t.Name) && !g.tries(d.exchange.call.ID) {
			v = evidence.Doubtful
		}
		if v < verdict {
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

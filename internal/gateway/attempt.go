package gateway

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// attempt sends the request to a target.
func (d *delivery) attempt(t *roster.Target, e *evidence.Target) attempt {
	if d.exchange.ctx.Err() != nil {
		return attempt{outcome: callerLeft}
	}
	if !e.Begin(d.connections()) {
		return attempt{outcome: unreached, err: errConnectionLimit}
	}
	a := d.connectAndSend(t, e)
	if !a.released {
		e.Ended()
	}
	return a
}

// errNoTimeLeft says that the time of the request was over before it was sent.
var errNoTimeLeft = errors.New("no time is left to send the request")

// errConnectionLimit says that this host's part of a target's connections is in use.
var errConnectionLimit = errors.New("this host's connections to the target are all in use")

const (
	// connectionUse is the part of a target's connections that all entry hosts
	// share out; the rest covers connections that are being closed.
	connectionUse = 0.8
	// minConnections is what a host may open to a target however many hosts there are.
	minConnections = 4
)

// connections is this host's part of a target's connections.
func (d *delivery) connections() int {
	s := d.exchange.policy.Services[d.service]
	if s.MaxConnections <= 0 {
		return math.MaxInt
	}
	_, hosts := d.gateway.view.place()
	return max(minConnections, int(connectionUse*float64(s.MaxConnections)/float64(hosts)))
}

// connectAndSend sends the request by the relay, or to the target itself.
func (d *delivery) connectAndSend(t *roster.Target, e *evidence.Target) attempt {
	if a := d.sendByRelay(t, e); a.outcome != notTaken {
		return a
	}
	d.via = viaDirect
	u, failed := d.connect(t, e)
	if u == nil {
		return failed
	}
	return d.sendTimed(u, t, e)
}

// endpoint is where a target takes connections in its present life.
func endpoint(t *roster.Target) hop.Endpoint {
	return hop.Endpoint{Address: t.Address, Start: int64(t.Life)}
}

// connect takes a kept connection to the target or opens one; the attempt says
// why there is none.
func (d *delivery) connect(t *roster.Target, e *evidence.Target) (*hop.Conn, attempt) {
	g := d.gateway
	if u := g.pool.Get(endpoint(t), d.exchange.route.Kind.Idempotent()); u != nil {
		return u, attempt{}
	}
	limit := min(hop.DialTimeout, d.deadline-g.now())
	if limit <= 0 {
		return nil, attempt{outcome: unreached, err: errNoTimeLeft}
	}
	u, err := g.pool.Dial(endpoint(t), limit)
	if err != nil {
		if countsAgainstTarget(limit, err) {
			e.Unreachable(g.now())
		}
		return nil, attempt{outcome: unreached, err: err}
	}
	return u, attempt{}
}

// sendByRelay sends the request to the target's relay, if there is one to use.
// The outcome notTaken says that nothing was sent.
func (d *delivery) sendByRelay(t *roster.Target, e *evidence.Target) attempt {
	g := d.gateway
	if d.noRelay || !d.exchange.body.repeatable() {
		return attempt{outcome: notTaken}
	}
	idempotent := d.exchange.route.Kind.Idempotent()
	u := g.relays.connect(g.now(), idempotent)
	if u == nil {
		return attempt{outcome: notTaken}
	}
	defer g.relays.trackInFlight(u, idempotent)()
	d.via = viaRelay
	return d.sendTimed(u, t, e)
}

// sendTimed sends the request on a connection and tells how the target did.
func (d *delivery) sendTimed(u *hop.Conn, t *roster.Target, e *evidence.Target) attempt {
	g := d.gateway
	sent := g.now()
	a := d.send(u, t, e)
	d.atTarget += g.now() - sent
	if a.outcome != notTaken && !a.relayLost {
		d.recordResult(t, a, sent)
	}
	return a
}

// countsAgainstTarget reports whether a dial that failed says something about
// the target. One that was cut short by the request's own end does not.
func countsAgainstTarget(limit time.Duration, err error) bool {
	return limit == hop.DialTimeout || !hop.IsTimeout(err)
}

// slowFactor is how many times the objective of its route a request may take
// before it counts as failed work of its target. Cold work stays below.
const slowFactor = 2

// recordResult counts how the target did, for this host and for the control hosts.
func (d *delivery) recordResult(t *roster.Target, a attempt, sent time.Duration) {
	g := d.gateway
	took := g.now() - sent
	slow := slowFactor * d.exchange.route.Objective
	if t.Cold(sent) || d.exchange.route.Kind == policy.Download {
		// A target that has just started is slow without a fault, and the time of
		// a download depends on this host's own link.
		slow = 0
	}
	if a.timedOutAtTarget() || a.outcome == answered {
		g.losses.note(g.now(), t.Service, a.timedOutAtTarget())
	}
	switch {
	case a.timedOutAtTarget():
		if slow > 0 && took >= slow/2 {
			g.reports.work(t.Name, false)
		}
	case a.outcome == answered:
		failed := a.reply.status >= http.StatusInternalServerError
		g.reports.work(t.Name, !failed && (slow == 0 || took < slow))
	case a.outcome == targetError || a.outcome == broken:
		g.reports.work(t.Name, false)
	}
}

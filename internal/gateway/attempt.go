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

// attempt sends the request to a target if this host may open a further
// connection to it.
func (d *delivery) attempt(t *roster.Target, e *evidence.Target) attempt {
	if d.exchange.ctx.Err() != nil {
		return attempt{outcome: callerLeft}
	}
	if !e.TryAcquire(d.connections()) {
		return attempt{outcome: unreached, err: errConnectionLimit}
	}
	a := d.connectAndSend(t, e)
	if !a.released {
		e.Release()
	}
	return a
}

// errNoTimeLeft is returned when the request's deadline passed before it was sent.
var errNoTimeLeft = errors.New("the request's deadline passed before it was sent")

// errCutOff is returned without a dial while this host is cut off from all targets.
var errCutOff = errors.New("this host is cut off from all targets")

// errConnectionLimit is returned when this host uses its whole share of a
// target's connections.
var errConnectionLimit = errors.New("this host's connections to the target are all in use")

const (
	// connectionUse is the fraction of a target's connection limit that the entry
	// hosts divide among themselves; the rest covers connections that are closing.
	connectionUse = 0.8
	// minConnections is the number of connections that a host may open to a target
	// regardless of the number of entry hosts.
	minConnections = 4
)

// connections returns the number of connections that this host may have to a
// target.
func (d *delivery) connections() int {
	s := d.exchange.policy.Services[d.service]
	if s.MaxConnections <= 0 {
		return math.MaxInt
	}
	_, hosts := d.gateway.view.place()
	return max(minConnections, int(connectionUse*float64(s.MaxConnections)/float64(hosts)))
}

// connectAndSend sends the request through a relay, or directly to the target if
// no relay takes it.
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

// endpoint returns the address and the incarnation of a target, which identify
// its connections in the pool.
func endpoint(t *roster.Target) hop.Endpoint {
	return hop.Endpoint{Address: t.Address, Start: int64(t.Life)}
}

// connect returns an idle connection to the target or opens one. A request without an
// id gets a new one: on a used connection its answer could not be told from a copy of
// an earlier one. If connect returns nil, the attempt holds the reason.
func (d *delivery) connect(t *roster.Target, e *evidence.Target) (*hop.Conn, attempt) {
	g := d.gateway
	idempotent := d.exchange.route.Kind.Idempotent()
	cut := g.reach.isCut()
	if d.exchange.call.ID != "" && (idempotent || !cut) { // in a partition, a used connection may take a request and never answer
		if u := g.pool.Get(endpoint(t), idempotent); u != nil {
			return u, attempt{}
		}
	}
	if cut {
		return nil, attempt{outcome: unreached, err: errCutOff}
	}
	limit := min(hop.DialTimeout, d.deadline-g.now())
	if limit <= 0 {
		return nil, attempt{outcome: unreached, err: errNoTimeLeft}
	}
	u, err := g.pool.Dial(endpoint(t), limit)
	if err != nil {
		if countsAgainstTarget(limit, err) {
			e.RecordUnreachable(g.now())
			g.targetFailed(t)
		}
		return nil, attempt{outcome: unreached, err: err}
	}
	return u, attempt{}
}

// sendByRelay sends the request through the nearest usable relay. With the
// outcome notTaken nothing has reached the target.
func (d *delivery) sendByRelay(t *roster.Target, e *evidence.Target) attempt {
	g := d.gateway
	if d.noRelay || d.exchange.call.ID == "" || !d.bodyMayPass(g.config.Region) {
		return attempt{outcome: notTaken}
	}
	u := g.relays.connect(g.now(), d.exchange.route.Kind.Idempotent())
	if u == nil {
		return attempt{outcome: notTaken}
	}
	d.via = viaRelay
	return d.sendTimed(u, t, e)
}

// bodyMayPass reports whether the body of the request may be sent to a relay in a region. A
// route that is bound to regions allows that only in these.
func (d *delivery) bodyMayPass(region string) bool {
	return d.exchange.body.length == 0 || d.exchange.route.Allows(region)
}

// sendTimed sends the request on a connection, adds the time this took to
// atTarget and records the result for the target.
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

// countsAgainstTarget reports whether a failed dial is evidence against the
// target. A timeout is not if the request's deadline shortened the dial.
func countsAgainstTarget(limit time.Duration, err error) bool {
	return limit == hop.DialTimeout || !hop.IsTimeout(err)
}

// slowFactor is the multiple of its route's objective that a request may take
// before it counts as a failure of its target. Work without a warm cache stays
// below it.
const slowFactor = 2

// recordResult counts the result of an attempt for the admission control of this
// host and for the reports to the control hosts.
func (d *delivery) recordResult(t *roster.Target, a attempt, sent time.Duration) {
	g := d.gateway
	took := g.now() - sent
	slow := slowFactor * d.exchange.route.Objective
	if t.Cold(sent) || d.exchange.route.Kind == policy.Download {
		// A target is slow while it warms up, and the duration of a download
		// depends on the link of this host.
		slow = 0
	}
	if a.timedOutAtTarget() || a.outcome == answered {
		g.timeouts.record(g.now(), t.Service, a.timedOutAtTarget())
	}
	switch {
	case a.timedOutAtTarget():
		if slow > 0 && took >= slow/2 {
			g.reports.work(t.Name, false)
		}
	case a.outcome == answered:
		failed := a.reply.status >= http.StatusInternalServerError
		g.reports.work(t.Name, !failed && (slow == 0 || took < slow))
	case a.outcome == broken && d.via == viaDirect && errors.Is(a.err, hop.ErrConnectionEnded):
		g.reportLost(t.Name)
	case a.outcome == targetError || a.outcome == broken:
		g.reports.work(t.Name, false)
	}
}

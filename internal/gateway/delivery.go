package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// outcome tells how an attempt ended.
type outcome uint8

const (
	answered    outcome = iota // the target's answer is passed on
	unreached                  // no byte of the request left
	notRun                     // the target said that it has not run the request
	targetError                // the target answered that it failed
	broken                     // the connection or the answer broke
	timedOut
	callerLeft
	notTaken // the relay did not take the request; no byte reached the target
)

func (o outcome) String() string {
	return [...]string{"answered", "unreached", "not run", "target error", "broken", "timed out", "caller left", "not taken"}[o]
}

// delivery takes one request to a target, or to several in turn.
type delivery struct {
	gateway        *Gateway
	exchange       *exchange
	service        string
	deadline       time.Duration
	tried          map[string]bool
	via            way           // of the last attempt
	noRelay        bool          // a relay has failed, so none is used any more
	atTarget       time.Duration // between sendings and their results
	possibleRuns   int           // attempts that may have run
	notRunAttempts int           // attempts that did not run
}

// way is how an attempt reaches its target.
type way string

// Ways.
const (
	viaRelay  way = "relay"
	viaDirect way = "direct"
)

// attempt is the result of one sending.
type attempt struct {
	outcome outcome
	reply   *reply
	err     error
	// released says that the connection's release counts the end of the request.
	released bool
	// relayLost says that the relay failed, which tells nothing of the target.
	relayLost bool
}

// timedOutAtTarget reports whether the request's time ended at the target. Only the
// comparison with other targets tells a slow one from a busy service, so this is
// no evidence of its own.
func (a *attempt) timedOutAtTarget() bool {
	return a.outcome == timedOut || a.reply != nil && a.reply.status == http.StatusGatewayTimeout
}

// run sends the request until it is answered or must not be sent again.
func (d *delivery) run() *reply {
	g, x := d.gateway, d.exchange
	g.meters.time("request.waiting_ms."+x.route.Kind.String(), g.now()-x.received)
	var last attempt
	for first := true; ; first = false {
		if !first && !d.mayRetry(last) {
			return d.giveUp(last)
		}
		t, e, ok := g.choose(d)
		if ok && first && !d.admitted(t.Name) {
			d.tried[t.Name] = true
			if t, e, ok = g.choose(d); !ok || !d.admitted(t.Name) {
				return g.refuse(x, reasonBusy, "service", d.service, "priority", x.route.Priority)
			}
		}
		if !ok {
			if first {
				return g.refuse(x, reasonNoTarget, "service", d.service)
			}
			return d.giveUp(last)
		}
		d.tried[t.Name] = true
		if last.reply != nil && last.reply.finish != nil {
			last.reply.finish(false)
		}
		last = d.attempt(&t, e)
		d.logAttempt(&t, e, last)
		if last.outcome == answered {
			return last.reply
		}
		if last.relayLost {
			d.noRelay = true
			delete(d.tried, t.Name)
		}
		switch last.outcome {
		case unreached, notRun:
			d.notRunAttempts++
		default:
			d.possibleRuns++
		}
	}
}

// admitted reports whether a target has room for a request of this urgency.
func (d *delivery) admitted(target string) bool {
	x := d.exchange
	rank, ranks := x.policy.PriorityRank(x.route, d.service)
	return d.gateway.gate.Admits(target, affinity.Point("admission", x.call.ID), rank, ranks)
}

// logAttempt logs and counts an attempt.
func (d *delivery) logAttempt(t *roster.Target, e *evidence.Target, a attempt) {
	g, x := d.gateway, d.exchange
	now := g.now()
	g.meters.count("attempt." + strings.ReplaceAll(a.outcome.String(), " ", "_"))
	pairs := []any{"id", x.call.ID, "target", t.Name, "address", t.Address, "zone", t.Zone, "slots", t.Slots,
		"attempt", d.possibleRuns + d.notRunAttempts + 1, "evidence", e.Verdict(now), "heard", now - t.Heard, "via", d.via, "outcome", a.outcome, "after", now - x.received}
	if a.outcome == answered {
		g.meters.answered(x.route.Kind, a.reply.status, now-x.received, d.atTarget)
		if g.meters.sampler.Routine(x.call.ID) {
			g.log.Info("answered", append(pairs, "status", a.reply.status)...)
		}
		return
	}
	g.logFailure("attempt failed", append(pairs, "err", a.err)...)
}

// mayRetry decides whether the request may be sent once more.
func (d *delivery) mayRetry(last attempt) bool {
	g, x := d.gateway, d.exchange
	switch last.outcome {
	case timedOut, callerLeft:
		return false
	case unreached, notRun:
		if d.notRunAttempts > maxNotRunAttempts {
			return false
		}
	default:
		if !x.route.Kind.Idempotent() || d.possibleRuns >= x.route.MaxAttempts {
			return false
		}
	}
	if !x.body.repeatable() || d.deadline-g.now() < minTimeLeft {
		return false
	}
	if last.outcome == unreached {
		return true
	}
	_, hosts := g.view.place()
	if !g.budgets.take(d.service, g.now(), hosts) {
		g.meters.count("repeat.denied")
		return false
	}
	g.meters.count("repeat.sent")
	return true
}

// giveUp returns the final answer after attempts that failed.
func (d *delivery) giveUp(last attempt) *reply {
	g, x := d.gateway, d.exchange
	switch {
	case last.reply != nil:
		return last.reply
	case d.possibleRuns == 0 && last.outcome != callerLeft:
		return g.refuse(x, reasonNoneTook, "last", last.outcome, "attempts", d.notRunAttempts)
	case last.outcome == callerLeft:
		return g.fail(x, statusCallerLeft, "the caller has left")
	case last.outcome == timedOut:
		return g.fail(x, http.StatusGatewayTimeout, "the target did not answer in time")
	}
	return g.fail(x, http.StatusBadGateway, "the target's answer was lost", "last", last.outcome, "err", last.err)
}

package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// outcome is the way an attempt ended.
type outcome uint8

const (
	answered    outcome = iota // the target's answer is passed on
	unreached                  // no byte of the request was sent
	notRun                     // the target reported that it has not run the request
	targetError                // the target answered with a server error
	broken                     // the connection failed or the answer was cut off
	timedOut
	callerLeft
	notTaken // the relay did not take the request; no byte reached the target
)

func (o outcome) String() string {
	return [...]string{"answered", "unreached", "not run", "target error", "broken", "timed out", "caller left", "not taken"}[o]
}

// delivery sends one request to a target, and to further ones if it may be retried.
type delivery struct {
	gateway        *Gateway
	exchange       *exchange
	service        string
	deadline       time.Duration // until which targets may work on the request
	answerLimit    time.Duration // until which an answer is awaited
	tried          map[string]bool
	via            way           // of the last attempt
	noRelay        bool          // a relay has failed: the remaining attempts go directly to targets
	atTarget       time.Duration // sum over attempts of the time from sending the request to the result
	possibleRuns   int           // attempts that may have run
	notRunAttempts int           // attempts that did not run
	shortestPause  time.Duration // of the targets that the last choice passed over for their pause, 0 if there were none
}

// notePause records that a target was passed over because its pause lasts for left.
func (d *delivery) notePause(left time.Duration) {
	if d.shortestPause == 0 || left < d.shortestPause {
		d.shortestPause = left
	}
}

// way is how an attempt reaches its target: through a relay or directly.
type way string

// Ways to reach a target.
const (
	viaRelay  way = "relay"
	viaDirect way = "direct"
)

// attempt is the result of sending the request once.
type attempt struct {
	outcome outcome
	reply   *reply
	err     error
	// released means that releasing the connection also ends the request in the
	// target's count, so that the sender must not.
	released bool
	// relayLost means that the relay failed, which is no evidence about the target.
	relayLost bool
}

// timedOutAtTarget reports whether the deadline passed while the target had the
// request. Only a comparison with other targets distinguishes a slow target from a
// busy service, so a single host doesn't count it against the target.
func (a *attempt) timedOutAtTarget() bool {
	return a.outcome == timedOut || a.reply != nil && a.reply.status == http.StatusGatewayTimeout
}

// run sends the request to one target after another until it is answered or must
// not be retried. It refuses a new request that admission control rejects at the
// first two targets.
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
				return g.refuseFor(x, reasonNoTarget, max(refusalPause, d.shortestPause), "service", d.service)
			}
			return d.giveUp(last)
		}
		d.tried[t.Name] = true
		if last.reply != nil && last.reply.finish != nil {
			last.reply.finish()
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

// admitted reports whether admission control lets a request of this priority
// through to a target.
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
		"attempt", d.possibleRuns + d.notRunAttempts + 1, "evidence", e.Verdict(now), "heard", now - t.LastHeard, "via", d.via, "outcome", a.outcome, "after", now - x.received}
	if a.outcome == answered {
		g.meters.answered(x.route.Kind, a.reply.status, now-x.received, d.atTarget)
		if g.meters.sampler.Routine(x.call.ID) {
			g.log.Info("answered", append(pairs, "status", a.reply.status)...)
		}
		return
	}
	g.logFailure("attempt failed", append(pairs, "err", a.err)...)
}

// mayRetry reports whether the request may be sent once more, and takes the retry
// from the budget. After an attempt that sent no byte it needs no budget.
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
	if !x.body.replayable() || d.deadline-g.now() < minTimeLeft {
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

// giveUp returns the answer to a request after its last attempt failed. It refuses
// the request only if no attempt can have run it.
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
	case last.outcome == targetError:
		return g.fail(x, http.StatusBadGateway, "the target failed and may have run the request", "err", last.err)
	}
	return g.fail(x, http.StatusBadGateway, "the target's answer was lost", "last", last.outcome, "err", last.err)
}

package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// reason is why a request was refused. No target has run a refused request.
type reason string

// Reasons of refusals.
const (
	reasonNoPolicy   reason = "no_policy"
	reasonNoTarget   reason = "no_target"
	reasonNoneTook   reason = "no_target_took_it"
	reasonLinkBusy   reason = "link_busy"
	reasonBusy       reason = "target_busy"
	reasonCallerLeft reason = "caller_left"
	reasonStopping   reason = "stopping"
	reasonCutOff     reason = "cut_off"
)

// refusalText holds the body of the answer for each reason.
var refusalText = map[reason]string{
	reasonNoPolicy:   "no policy is known yet",
	reasonNoTarget:   "no target of the service is known",
	reasonNoneTook:   "no target could take the request",
	reasonLinkBusy:   "the link is busy with other downloads",
	reasonBusy:       "the target has too much work",
	reasonCallerLeft: "the caller has left",
	reasonStopping:   "this host stops before the request may end",
	reasonCutOff:     "this host reaches no target",
}

// statusCallerLeft appears only in logs and metrics, since its caller has left.
const statusCallerLeft = 499

// refuse returns an answer that says that the request was not run and may be sent
// again after refusalPause. It logs and counts the refusal.
func (g *Gateway) refuse(x *exchange, why reason, detail ...any) *reply {
	return g.refuseFor(x, why, refusalPause, detail...)
}

// refuseFor is refuse with another pause.
func (g *Gateway) refuseFor(x *exchange, why reason, pause time.Duration, detail ...any) *reply {
	r := newReply(http.StatusServiceUnavailable, refusalText[why])
	g.config.Codec.Refuse(r.header, pause)
	g.config.Codec.Echo(r.header, x.call.ID)
	g.meters.refused(string(why))
	g.logFailure("refused", append([]any{"id", x.call.ID, "reason", why, "after", g.now() - x.received}, detail...)...)
	return r
}

// fail returns an answer with an error status for a request that a target may have
// run. It logs and counts the failure.
func (g *Gateway) fail(x *exchange, status int, text string, detail ...any) *reply {
	r := newReply(status, text)
	g.config.Codec.Echo(r.header, x.call.ID)
	g.meters.count(fmt.Sprintf("request.failed.%d", status))
	g.logFailure("failed", append([]any{"id", x.call.ID, "status", status, "reason", text, "route", x.route.Name,
		"after", g.now() - x.received}, detail...)...)
	return r
}

// logFailure logs a failed request as a warning, subject to the rate limit of the
// sampler.
func (g *Gateway) logFailure(message string, pairs ...any) {
	g.meters.sampler.Warn(g.log, message, pairs...)
}

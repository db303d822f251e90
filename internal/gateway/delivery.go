package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
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
)

func (o outcome) String() string {
	return [...]string{"answered", "unreached", "not run", "target error", "broken", "timed out", "caller left"}[o]
}

// delivery takes one request to a target, or to several in turn.
type delivery struct {
	gateway  *Gateway
	exchange *exchange
	service  string
	deadline time.Duration
	tried    map[string]bool
	runs     int // attempts that may have run
	unrun    int // attempts that did not run
}

// attempt is the result of one sending.
type attempt struct {
	outcome outcome
	reply   *reply
	err     error
}

// run sends the request until it is answered or must not be sent again.
func (d *delivery) run() *reply {
	g, x := d.gateway, d.exchange
	var last attempt
	for first := true; ; first = false {
		if !first && !d.mayRepeat(last) {
			return d.giveUp(last)
		}
		t, e, ok := g.choose(d)
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
		d.note(&t, e, last)
		if last.outcome == answered {
			return last.reply
		}
		switch last.outcome {
		case unreached, notRun:
			d.unrun++
		default:
			d.runs++
		}
	}
}

// note logs and counts an attempt.
func (d *delivery) note(t *roster.Target, e *evidence.Target, a attempt) {
	g, x := d.gateway, d.exchange
	now := g.now()
	g.meters.count("attempt." + strings.ReplaceAll(a.outcome.String(), " ", "_"))
	pairs := []any{"id", x.call.ID, "target", t.Name, "address", t.Address, "zone", t.Zone, "slots", t.Slots,
		"attempt", d.runs + d.unrun + 1, "evidence", e.Verdict(now), "heard", now - t.Heard, "outcome", a.outcome, "after", now - x.received}
	if a.outcome == answered {
		g.meters.answered(x.route.Kind, a.reply.status, now-x.received)
		if g.meters.sampler.Routine(x.call.ID) {
			g.log.Info("answered", append(pairs, "status", a.reply.status)...)
		}
		return
	}
	g.logFailure("attempt failed", append(pairs, "err", a.err)...)
}

// mayRepeat decides whether the request may be sent once more.
func (d *delivery) mayRepeat(last attempt) bool {
	g, x := d.gateway, d.exchange
	switch last.outcome {
	case timedOut, callerLeft:
		return false
	case unreached, notRun:
		if d.unrun > maxUnrun {
			return false
		}
	default:
		if !x.route.Kind.Idempotent() || d.runs >= x.route.MaxAttempts {
			return false
		}
	}
	if !x.body.repeatable() || d.deadline-g.now() < leastLeft {
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
	case d.runs == 0 && last.outcome != callerLeft:
		return g.refuse(x, reasonNoneTook, "last", last.outcome, "attempts", d.unrun)
	case last.outcome == callerLeft:
		return g.fail(x, statusCallerLeft, "the caller has left")
	case last.outcome == timedOut:
		return g.fail(x, http.StatusGatewayTimeout, "the target did not answer in time")
	}
	return g.fail(x, http.StatusBadGateway, "the target's answer was lost", "last", last.outcome, "err", last.err)
}

// attempt sends the request to a target.
func (d *delivery) attempt(t *roster.Target, e *evidence.Target) attempt {
	if d.exchange.ctx.Err() != nil {
		return attempt{outcome: callerLeft}
	}
	if !e.Begin(d.connections()) {
		return attempt{outcome: unreached, err: errTargetCrowded}
	}
	a := d.connectAndSend(t, e)
	if a.outcome != answered {
		e.Ended()
	}
	return a
}

// errTargetCrowded says that this host's part of a target's connections is in use.
var errTargetCrowded = errors.New("this host's connections to the target are all in use")

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

// connectAndSend takes a kept connection or opens one, and sends the request.
func (d *delivery) connectAndSend(t *roster.Target, e *evidence.Target) attempt {
	g := d.gateway
	idempotent := d.exchange.route.Kind.Idempotent()
	u := g.pool.get(t.Address, idempotent)
	if u == nil {
		var err error
		limit := min(targetDialTimeout, d.deadline-g.now())
		if limit <= 0 {
			return attempt{outcome: timedOut}
		}
		if u, err = g.pool.dial(t.Address, limit); err != nil {
			if countsAgainstTarget(limit, err) {
				e.Unreachable(g.now())
			}
			return attempt{outcome: unreached, err: err}
		}
	}
	sent := g.now()
	a := d.send(u, t, e)
	d.judge(t, a, sent)
	return a
}

// countsAgainstTarget reports whether a dial that failed says something about
// the target. One that was cut short by the request's own end does not.
func countsAgainstTarget(limit time.Duration, err error) bool {
	return limit == targetDialTimeout || !isTimeout(err)
}

// slowFactor is how many times the objective of its route a request may take
// before it counts as failed work of its target. Cold work stays below.
const slowFactor = 2

// judge tells the control hosts how the target did.
func (d *delivery) judge(t *roster.Target, a attempt, sent time.Duration) {
	g := d.gateway
	took := g.now() - sent
	slow := slowFactor * d.exchange.route.Objective
	if t.Cold(sent) || d.exchange.route.Kind == policy.Download {
		// A target that has just started is slow without a fault, and the time of
		// a download depends on this host's own link.
		slow = 0
	}
	switch a.outcome {
	case answered:
		failed := a.reply.status >= http.StatusInternalServerError
		g.reports.work(t.Name, !failed && (slow == 0 || took < slow))
	case targetError, broken:
		g.reports.work(t.Name, false)
	case timedOut:
		if slow > 0 && took >= slow/2 {
			// Only the comparison with other targets tells a slow one from a busy
			// service, so this is no evidence of its own.
			g.reports.work(t.Name, false)
		}
	}
}

// send writes the request to a connection and waits for the response.
func (d *delivery) send(u *upstream, t *roster.Target, e *evidence.Target) attempt {
	g, x := d.gateway, d.exchange
	left := d.deadline - g.now()
	if left <= 0 {
		u.abort()
		return attempt{outcome: timedOut}
	}
	request := d.forwarded(t, left)
	responses, ok := u.expect(request, x.call.ID)
	if !ok {
		return attempt{outcome: unreached, err: errConnectionEnded}
	}
	sent := make(chan error, 1)
	if x.body.rest == nil {
		sent <- writeRequest(u.conn, request, x.body)
	} else {
		go func() { sent <- writeRequest(u.conn, request, x.body); x.body.end() }()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case r := <-responses:
		complete := false
		select {
		case err := <-sent:
			complete = err == nil
		default:
		}
		return d.received(u, t, e, r, complete)
	case <-timer.C:
		u.abort()
		return attempt{outcome: timedOut}
	case <-x.ctx.Done():
		u.abort()
		return attempt{outcome: callerLeft}
	}
}

// received judges a response. complete says that the whole request was sent.
func (d *delivery) received(u *upstream, t *roster.Target, e *evidence.Target, r result, complete bool) attempt {
	now := d.gateway.now()
	if r.err != nil {
		u.abort()
		e.Failed(now)
		if errors.Is(r.err, errConnectionEnded) && u.fresh {
			e.Unreachable(now)
		}
		return attempt{outcome: broken, err: r.err}
	}
	if r.answer.Load != nil {
		e.Loaded(now, *r.answer.Load)
		d.gateway.reports.load(t.Name, *r.answer.Load)
	}
	u.keepAlive = r.answer.KeepAlive
	a := d.readAnswer(u, t, e, r, complete)
	if r.answer.NotExecuted {
		if a.reply != nil && a.reply.finish != nil {
			a.reply.finish(true)
		}
		return attempt{outcome: notRun}
	}
	if a.outcome != answered {
		e.Failed(now)
		return a
	}
	if r.response.StatusCode >= http.StatusInternalServerError {
		e.Failed(now)
		if d.exchange.route.Kind.Idempotent() {
			a.outcome = targetError
		}
		return a
	}
	e.Worked(now)
	return a
}

// readAnswer reads the response as far as it is held in memory.
func (d *delivery) readAnswer(u *upstream, t *roster.Target, e *evidence.Target, r result, complete bool) attempt {
	response := r.response
	reply := &reply{status: response.StatusCode, header: passedOn(response.Header), length: response.ContentLength}
	stop := d.watchCaller(u)
	limit := bufferedAnswer
	if d.exchange.route.Kind == policy.Download {
		limit = bufferedDownload
	}
	head := make([]byte, 0, min(int(max(response.ContentLength, 512)), limit))
	var err error
	for len(head) < limit && err == nil {
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		var n int
		n, err = response.Body.Read(head[len(head):min(cap(head), limit)])
		head = head[:len(head)+n]
	}
	if err != nil && err != io.EOF {
		stop()
		u.abort()
		if d.exchange.ctx.Err() != nil {
			return attempt{outcome: callerLeft}
		}
		if d.gateway.now() >= d.deadline {
			return attempt{outcome: timedOut}
		}
		return attempt{outcome: broken, err: err}
	}
	reply.body = head
	reusable := complete && !response.Close
	if err == io.EOF {
		stop()
		if response.ContentLength < 0 || d.exchange.request.Method != http.MethodHead {
			reply.length = int64(len(head))
		}
		d.release(u, t, e, reusable)
		return attempt{outcome: answered, reply: reply}
	}
	reply.rest = response.Body
	reply.finish = func(sent bool) {
		stop()
		d.release(u, t, e, sent && reusable)
	}
	return attempt{outcome: answered, reply: reply}
}

// watchCaller ends the connection if the caller leaves or the time is over.
func (d *delivery) watchCaller(u *upstream) (stop func()) {
	done := make(chan struct{})
	timer := time.NewTimer(d.deadline - d.gateway.now())
	go func() {
		defer timer.Stop()
		select {
		case <-done:
		case <-d.exchange.ctx.Done():
			u.close()
		case <-timer.C:
			u.close()
		}
	}()
	return func() { close(done) }
}

// release ends the use of a connection.
func (d *delivery) release(u *upstream, t *roster.Target, e *evidence.Target, reusable bool) {
	e.Ended()
	if reusable {
		d.gateway.pool.put(t.Address, u)
		return
	}
	u.abort()
}

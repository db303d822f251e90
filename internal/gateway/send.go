package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

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
	_ = u.conn.SetWriteDeadline(time.Now().Add(left)) // the write reports a connection that has ended
	sent := make(chan error, 1)
	if x.body.rest == nil {
		sent <- writeRequest(u.conn, request, x.body)
	} else {
		x.body.begin()
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
	if r.response.StatusCode < http.StatusMultipleChoices && !r.answer.Signed {
		u.abort()
		e.Failed(now)
		return attempt{outcome: broken, err: errUnsigned}
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
		return attempt{outcome: notRun, released: a.released}
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
		return attempt{outcome: answered, reply: reply, released: true}
	}
	reply.rest = response.Body
	reply.finish = func(sent bool) {
		stop()
		d.release(u, t, e, sent && reusable)
	}
	return attempt{outcome: answered, reply: reply, released: true}
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

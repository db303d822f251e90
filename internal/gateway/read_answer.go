package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// readAnswer buffers the start of the response body. If that is the whole body, it
// releases the connection; otherwise the reply's finish does.
func (d *delivery) readAnswer(c *hop.Exchange, e *evidence.Target, r hop.Result) attempt {
	response := r.Response
	reply := &reply{status: response.StatusCode, header: hop.EndToEndHeaders(response.Header), length: response.ContentLength}
	stop := d.watchCaller(c)
	limit := bufferedAnswer
	if d.exchange.route.Kind == policy.Download {
		limit = bufferedDownload
	}
	head := make([]byte, 0, min(int(max(response.ContentLength, 512)), limit))
	head, err := readUpTo(response.Body, head, limit)
	held := 0
	if x := d.exchange; err == nil && !x.pipeline.tryStream(x.number) {
		if head, held, err = d.holdAnswer(response.Body, head); err == nil {
			x.pipeline.stream(x.number)
		}
	}
	if err != nil && err != io.EOF {
		d.gateway.held.Release(held)
		stop()
		c.Abort()
		if d.exchange.ctx.Err() != nil {
			return attempt{outcome: callerLeft}
		}
		if d.gateway.now() >= d.answerLimit {
			return attempt{outcome: timedOut}
		}
		return attempt{outcome: broken, err: err}
	}
	reply.body = head
	if err == io.EOF {
		stop()
		if response.ContentLength < 0 || d.exchange.request.Method != http.MethodHead {
			reply.length = int64(len(head))
		}
		d.release(c, e)
		reply.finish = func() { d.gateway.held.Release(held) }
		return attempt{outcome: answered, reply: reply, released: true}
	}
	reply.rest = response.Body
	reply.finish = func() {
		d.gateway.held.Release(held)
		stop()
		d.release(c, e)
	}
	return attempt{outcome: answered, reply: reply, released: true}
}

// holdAnswer reads on in an answer behind which a request was passed on. It stops at the end
// of the body, which is io.EOF, or once this host holds as much of answers as it may. held is
// the number of bytes to be released once the answer was sent or abandoned.
func (d *delivery) holdAnswer(body io.Reader, head []byte) (_ []byte, held int, err error) {
	head, err = readUpTo(body, head, heldAnswer)
	for err == nil && d.gateway.held.Acquire(heldAnswer) {
		held += heldAnswer
		head, err = readUpTo(body, head, len(head)+heldAnswer)
	}
	if err == nil {
		d.gateway.meters.count("answer.not_held")
	}
	return head, held, err
}

// readUpTo appends bytes of body to buffer until that holds limit bytes or the body ends,
// which is io.EOF, or fails.
func readUpTo(body io.Reader, buffer []byte, limit int) ([]byte, error) {
	var err error
	for len(buffer) < limit && err == nil {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		var n int
		n, err = body.Read(buffer[len(buffer):min(cap(buffer), limit)])
		buffer = buffer[:len(buffer)+n]
	}
	return buffer, err
}

// watchCaller closes the connection when the caller leaves or the answer comes too late,
// until stop is called.
func (d *delivery) watchCaller(c *hop.Exchange) (stop func()) {
	forget := context.AfterFunc(d.exchange.ctx, c.Close)
	timer := time.AfterFunc(d.answerLimit-d.gateway.now(), c.Close)
	return func() {
		timer.Stop()
		forget()
	}
}

// release ends the request in the target's count and its use of the connection, which is
// kept if the answer was read to its end.
func (d *delivery) release(c *hop.Exchange, e *evidence.Target) {
	e.Release()
	d.gateway.pool.Release(c)
}

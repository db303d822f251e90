package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// headBytes is what the head of an answer takes on a link, about.
const headBytes = 512

// exchange is one request of an entry host and its answer.
type exchange struct {
	session    *session
	request    *http.Request
	body       []byte
	call       hop.Call
	target     string
	address    string
	repeatable bool
	rate       float64 // bytes a second that the entry host's link carries, 0 if unknown
	bulk       bool    // the answer waits for others of the entry host
	received   time.Duration
	complete   bool // the whole request was sent
}

func newExchange(s *session, request *http.Request, body []byte) *exchange {
	h := request.Header
	x := &exchange{session: s, request: request, body: body, call: s.server.config.Codec.Call(h),
		target: h.Get(HeaderTarget), address: h.Get(HeaderAddress), repeatable: h.Get(HeaderRepeatable) != "", bulk: h.Get(HeaderBulk) != "", received: s.server.now()}
	if bytesPerSecond, err := strconv.ParseFloat(h.Get(HeaderRate), 64); err == nil && bytesPerSecond > 0 {
		x.rate = bytesPerSecond
	}
	return x
}

// left is the time that the request still has.
func (x *exchange) left() time.Duration { return x.call.Left - (x.session.server.now() - x.received) }

// run sends the request and returns the answer. It reports whether the
// connection to the entry host may go on.
func (x *exchange) run(ctx context.Context) bool {
	s := x.session.server
	s.count("relay.requests")
	if !s.begin() {
		return x.report(Busy, nil)
	}
	defer s.end()
	if !s.config.Known(x.target, x.address) || x.left() <= 0 {
		return x.report(Busy, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, x.left())
	defer cancel()
	u, outcome, err := x.connect()
	if err != nil {
		return x.report(outcome, err)
	}
	defer context.AfterFunc(ctx, u.Close)()
	r, outcome := x.send(ctx, u)
	if r.Err != nil {
		u.Abort()
		return x.report(outcome, r.Err)
	}
	if err := x.answer(ctx, r.Response); err != nil {
		u.Abort()
		x.log("relayed answer broke off", err)
		return false
	}
	u.SetKeepAlive(r.Answer.KeepAlive)
	if x.complete && !r.Response.Close {
		s.pool.Put(u)
	} else {
		u.Abort()
	}
	return x.session.writer.Flush() == nil
}

// connect takes a kept connection to the target or opens one.
func (x *exchange) connect() (*hop.Conn, Outcome, error) {
	pool := x.session.server.pool
	if u := pool.Get(x.address, x.repeatable); u != nil {
		return u, "", nil
	}
	x.session.server.count("relay.dials")
	limit := min(hop.DialTimeout, x.left())
	u, err := pool.Dial(x.address, limit)
	if err != nil && limit < hop.DialTimeout {
		return nil, TimedOut, err // cut short by the request's own end
	}
	return u, Unreached, err
}

// send writes the request and waits for the head of the answer.
func (x *exchange) send(ctx context.Context, u *hop.Conn) (hop.Result, Outcome) {
	forwarded := &http.Request{Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: hop.PassedOn(x.request.Header)}
	Strip(forwarded.Header)
	x.session.server.config.Codec.Forward(forwarded.Header, x.left(), x.target)
	responses, ok := u.Expect(forwarded, x.call.ID)
	if !ok {
		return hop.Result{Err: hop.ErrConnectionEnded}, Unreached
	}
	var b bytes.Buffer
	if err := hop.WriteHead(&b, forwarded, int64(len(x.body))); err != nil {
		return hop.Result{Err: err}, Unreached
	}
	b.Write(x.body)
	u.SetWriteDeadline(time.Now().Add(x.left()))
	_, err := u.Write(b.Bytes()) // a failure ends the connection, which the reader reports
	x.complete = err == nil
	select {
	case r := <-responses:
		return r, Broken
	case <-ctx.Done():
		return hop.Result{Err: ctx.Err()}, TimedOut
	}
}

// answer returns a target's response to the entry host as it comes. Its last
// bytes stay in the session's writer.
func (x *exchange) answer(ctx context.Context, response *http.Response) error {
	s := x.session
	header := hop.PassedOn(response.Header)
	Strip(header)
	bodyless := x.request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	chunked := response.ContentLength < 0 && !bodyless
	if chunked {
		header.Set("Transfer-Encoding", "chunked")
	} else if response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(x.left())) // the write reports a connection that has ended
	if err := writeHead(s.writer, response.StatusCode, header); err != nil {
		return err
	}
	var p *pacer
	if x.rate > 0 {
		p = s.server.pacers.of(time.Now(), s.host, x.rate)
		if err := p.take(ctx, headBytes, x.bulk); err != nil {
			return err
		}
	}
	if bodyless {
		return nil
	}
	return x.copyBody(ctx, response.Body, chunked, p)
}

func writeHead(w io.Writer, status int, header http.Header) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status)); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// copyBody passes a body on; each part leaves as soon as the pacer allows it.
func (x *exchange) copyBody(ctx context.Context, body io.Reader, chunked bool, p *pacer) error {
	w := x.session.writer
	buffer := make([]byte, paceBurst)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if p != nil {
				if err := p.take(ctx, n, x.bulk); err != nil {
					return err
				}
			}
			if err := writePart(w, buffer[:n], chunked); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if chunked {
				_, err = io.WriteString(w, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func writePart(w io.Writer, part []byte, chunked bool) error {
	if !chunked {
		_, err := w.Write(part)
		return err
	}
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
	return err
}

// report tells the entry host why there is no answer of the target.
func (x *exchange) report(outcome Outcome, cause error) bool {
	s := x.session
	s.server.count("relay.outcome." + string(outcome))
	if cause != nil {
		x.log("relayed request got no answer", cause, "outcome", outcome)
	}
	header := http.Header{}
	header.Set(HeaderOutcome, string(outcome))
	header.Set("Content-Length", "0")
	s.server.config.Codec.Echo(header, x.call.ID)
	if err := writeHead(s.writer, http.StatusBadGateway, header); err != nil {
		return false
	}
	return s.writer.Flush() == nil
}

// log logs what went wrong with the request, within a rate.
func (x *exchange) log(message string, err error, detail ...any) {
	s := x.session.server
	s.sampler.Warn(s.config.Log, message, append([]any{"id", x.call.ID, "target", x.target, "address", x.address,
		"entry", x.session.host, "after", s.now() - x.received, "err", err}, detail...)...)
}

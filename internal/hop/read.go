package hop

import (
	"fmt"
	"net/http"
)

// readLoop reads responses and delivers them to the exchange of the request. Bytes that
// arrive while the connection is free belong to no request and end it.
func (u *Conn) readLoop() {
	for {
		_, err := u.reader.Peek(1)
		e := u.carried(err)
		if e == nil || err != nil {
			_ = u.conn.Close()
			if u.onDead != nil {
				u.onDead(u)
			}
			if e != nil {
				e.deliver(Result{Err: fmt.Errorf("%w: %w", ErrConnectionEnded, err)})
			}
			return
		}
		r := u.readResponse(e)
		if !e.deliver(r) || !<-u.resume {
			u.Close()
			return
		}
	}
}

// carried returns the exchange of the request that the connection carries, nil if there is
// none. Without one, or with an error, the connection ends.
func (u *Conn) carried(err error) *Exchange {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead = u.dead || u.exchange == nil || err != nil
	return u.exchange
}

// readResponse reads the response to a request. It skips informational responses
// and late responses to earlier requests.
func (u *Conn) readResponse(e *Exchange) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			// One odd response must not end the process with all other requests.
			result = Result{Err: fmt.Errorf("%w: %v", errPanic, value)}
		}
	}()
	for range maxSkippedResponses {
		response, err := u.readHead(e.request)
		if err != nil {
			return Result{Err: err}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusContinue {
				e.askForBody()
			}
			continue
		}
		answer := u.codec.Answer(response.StatusCode, response.Header)
		if e.belongs(answer) {
			return Result{Response: response, Answer: answer}
		}
		response.Close = true
		if response.ContentLength < 0 {
			return Result{Err: ErrWrongAnswer}
		}
		if _, err := u.reader.Discard(int(response.ContentLength)); err != nil {
			return Result{Err: err}
		}
		u.mu.Lock()
		u.dead = true // more stray bytes may follow, so the connection is not reused
		u.mu.Unlock()
	}
	return Result{Err: ErrWrongAnswer}
}

// belongs reports whether an answer belongs to the request. A target may write an answer
// more than once, also when the connection is in use again. Without an id the answer can
// only be tied to the first request on a connection, and with an id of the request itself it
// must be a refusal.
func (e *Exchange) belongs(answer Answer) bool {
	if answer.ID != "" {
		return answer.ID == e.id
	}
	return e.fresh && (e.id == "" || answer.NotExecuted)
}

// readHead reads the head of a response; its body stays unread. It parses only heads that are
// sound.
func (u *Conn) readHead(request *http.Request) (*http.Response, error) {
	u.limiter.Allow(maxHead + readBuffer)
	defer u.limiter.RemoveLimit()
	head, err := u.peekHead()
	if err != nil {
		return nil, err
	}
	if err := u.heads.Check(head); err != nil {
		return nil, u.headError(err, head)
	}
	response, err := http.ReadResponse(u.reader, request)
	if err != nil {
		return nil, err
	}
	if isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: u}
	}
	return response, nil
}

package hop

import (
	"errors"
	"fmt"
	"net/http"
)

// readLoop reads responses and delivers them to the waiting request. Bytes that
// arrive while no request is in flight belong to no request and end the connection.
func (u *Conn) readLoop() {
	for {
		_, err := u.reader.Peek(1)
		u.mu.Lock()
		waiting, request, id := u.waiting, u.request, u.id
		if err != nil || waiting == nil {
			u.dead = true
			u.waiting = nil
			u.mu.Unlock()
			_ = u.conn.Close()
			if u.onDead != nil {
				u.onDead(u)
			}
			if waiting != nil {
				waiting <- Result{Err: fmt.Errorf("%w: %w", ErrConnectionEnded, err)}
			}
			return
		}
		u.mu.Unlock()
		r := u.readResponse(request, id)
		u.mu.Lock()
		u.waiting = nil
		if r.Err == nil && r.Answer.NotExecuted {
			u.refused = append(u.refused, id)
		}
		u.mu.Unlock()
		waiting <- r
		if r.Err != nil || !<-u.resume {
			u.Close()
			return
		}
	}
}

// readResponse reads the response to a request. It skips informational responses
// and late responses to earlier requests.
func (u *Conn) readResponse(request *http.Request, id string) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			// One odd response must not end the process with all other requests.
			result = Result{Err: fmt.Errorf("%w: %v", errPanic, value)}
		}
	}()
	for range maxSkippedResponses {
		response, err := u.readHead(request)
		if err != nil {
			return Result{Err: err}
		}
		if response.StatusCode < 200 {
			u.handleInformational(response.StatusCode)
			continue
		}
		answer := u.codec.Answer(response.StatusCode, response.Header)
		if u.belongs(answer, id) {
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

// belongs reports whether an answer belongs to the request in flight. A target may
// write an answer more than once, also when the connection is in use again. Without
// an id the answer can only be tied to the first request on a connection, and with an
// id of the request itself it must be a refusal.
func (u *Conn) belongs(answer Answer, id string) bool {
	if answer.ID != "" {
		return answer.ID == id
	}
	return u.fresh && (id == "" || answer.NotExecuted)
}

// readHead reads the head of a response; its body stays unread.
func (u *Conn) readHead(request *http.Request) (*http.Response, error) {
	u.limiter.Allow(maxHead + readBuffer)
	defer u.limiter.RemoveLimit()
	response, err := http.ReadResponse(u.reader, request)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckStatus(response), CheckFields(response.Header)); err != nil {
		return nil, err
	}
	if isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: u}
	}
	return response, nil
}

// handleInformational acts on the status of an informational response.
func (u *Conn) handleInformational(status int) {
	if status != http.StatusContinue {
		return
	}
	select {
	case u.proceed <- struct{}{}:
	default:
	}
}

package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// deliver streams the response to the caller. It returns a problem only if
// nothing has been written yet; later faults abort the caller's connection.
func (x *exchange) deliver(a *attempt, response *http.Response) *Problem {
	a.permit.Started()
	s := &stream{x: x, a: a, response: response, record: newRecorder(x.claim != nil, response)}
	defer s.close()
	buf := takeBuffer()
	defer giveBuffer(buf)
	if response.ContentLength >= 0 {
		// A response of known length that fits the buffer is complete before
		// the caller gets its first byte, so that a cut one becomes an error.
		if problem := s.prefetch(*buf); problem != nil {
			return problem
		}
	}
	defer a.endIfLost()()
	s.writeHeader()
	s.copyBody(*buf)
	return nil
}

// stream is a response on its way to the caller.
type stream struct {
	x        *exchange
	a        *attempt
	response *http.Response
	record   *recorder
	filled   int  // bytes at the start of the buffer that the caller has not got
	ended    bool // the target's response ended whole
	released bool
}

// prefetch fills the buffer or reads to the end of the response.
func (s *stream) prefetch(buf []byte) *Problem {
	for !s.ended && s.filled < len(buf) {
		n, err := s.read(buf[s.filled:])
		s.filled += n
		if err != nil {
			s.x.mayHaveRun = true
			s.release(s.failure())
			return s.x.problemOf(&failure{outcome: s.outcome(), sent: true, err: err})
		}
	}
	return nil
}

// read reads from the target; at the end it frees the slot and records the answer.
func (s *stream) read(p []byte) (int, error) {
	n, err := s.response.Body.Read(p)
	s.record.write(p[:n])
	if err == io.EOF {
		s.ended = true
		s.release(s.completeOutcome())
		s.x.finishClaim(s.record.answer())
		return n, nil
	}
	return n, err
}

func (s *stream) writeHeader() {
	h := s.x.w.Header()
	for name, values := range endToEnd(s.response.Header) {
		h[name] = values
	}
	keepContentType(h)
	h[HeaderOutcome] = []string{OutcomeDone}
	s.x.body.beforeResponse(s.x.w)
	s.x.metrics.hop.Update(time.Since(s.x.arrived) - s.x.waitTime)
	s.x.w.WriteHeader(s.response.StatusCode)
}

// copyBody sends the rest of the response.
func (s *stream) copyBody(buf []byte) {
	control := http.NewResponseController(s.x.w)
	flush := s.response.ContentLength < 0
	for {
		if s.filled > 0 {
			if _, err := s.x.w.Write(buf[:s.filled]); err != nil {
				s.callerLost(buf)
				return
			}
			s.filled = 0
		}
		if s.ended {
			break
		}
		if flush {
			if err := control.Flush(); err != nil {
				s.callerLost(buf)
				return
			}
		}
		n, err := s.read(buf)
		s.filled = n
		if err != nil {
			s.targetLost(err)
		}
	}
	s.writeTrailer()
	s.x.metrics.outcome(OutcomeDone)
}

func (s *stream) writeTrailer() {
	for name, values := range s.response.Trailer {
		s.x.w.Header()[http.TrailerPrefix+name] = values
	}
}

// targetLost cuts the caller's connection, so that the response does not look complete.
func (s *stream) targetLost(err error) {
	if s.x.ctx.Err() != nil {
		s.callerLost(nil)
	}
	s.x.mayHaveRun = true
	s.release(s.failure())
	s.x.metrics.outcome(OutcomeUnknown)
	s.x.metrics.refusal(CodeTargetFailed)
	s.x.config.Log.Info("response cut", "path", s.x.r.URL.Path, "target", s.a.permit.Target(), "error", err)
	abort(s.x.r)
}

// recordTimeout bounds the time in which the rest of an answer is read for its record once the caller is gone.
const recordTimeout = 30 * time.Second

// callerLost ends the response. A claimed answer that can be recorded is read to its end first.
func (s *stream) callerLost(buf []byte) {
	timer := time.AfterFunc(recordTimeout, func() { s.a.cancel(nil) })
	defer timer.Stop()
	for buf != nil && s.x.claim != nil && !s.ended && !s.record.dropped {
		if _, err := s.read(buf); err != nil {
			break
		}
	}
	if s.x.claim != nil && s.record.dropped {
		s.x.finishClaim(s.record.answer())
	}
	s.x.mayHaveRun = true
	s.release(slots.OutcomeAbandoned)
	s.x.metrics.refusal(CodeCallerGone)
	s.x.config.Log.Info("caller gone", "path", s.x.r.URL.Path, "target", s.a.permit.Target())
	abort(s.x.r)
}

// outcome tells whether the caller or the target ended the response.
func (s *stream) outcome() retry.Outcome {
	if s.x.ctx.Err() != nil {
		return retry.CallerGone
	}
	return retry.Broken
}

func (s *stream) failure() slots.Outcome {
	if s.outcome() == retry.CallerGone {
		return slots.OutcomeAbandoned
	}
	return slots.OutcomeFailed
}

func (s *stream) completeOutcome() slots.Outcome {
	if s.response.StatusCode >= http.StatusInternalServerError {
		return slots.OutcomeFailed
	}
	return slots.OutcomeDone
}

// release frees the slot once. Unless the response ended, its connection is closed first.
func (s *stream) release(o slots.Outcome) {
	if s.released {
		return
	}
	s.released = true
	if !s.ended {
		s.a.conn.seal()
	}
	s.a.end(o)
}

func (s *stream) close() {
	s.release(slots.OutcomeAbandoned)
	s.response.Body.Close()
	s.a.upload.detach()
	s.x.body.afterResponse(s.x.w)
}

// abort resets the caller's connection. A plain close would look like the
// regular end of a response to an HTTP/1.0 caller.
func abort(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// keepContentType stops net/http from guessing a type that the target did not send.
func keepContentType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

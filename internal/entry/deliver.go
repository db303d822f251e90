package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// deliver streams the response to the caller. It returns a problem only if
// nothing has been written yet; later failures reset the caller's connection.
func (x *exchange) deliver(a *attempt, response *http.Response) *Problem {
	a.permit.Started()
	s := &stream{x: x, a: a, response: response, record: newRecorder(x.claim != nil, response)}
	defer s.close()
	defer a.endIfLost()()
	defer s.limitRecording()()
	buf := takeBuffer()
	defer giveBuffer(buf)
	if response.ContentLength >= 0 {
		// A response of known length that fits the buffer is read in full
		// before the caller gets its first byte, so that a truncated one can
		// still be answered with an error.
		if problem := s.prefetch(*buf); problem != nil {
			return problem
		}
	}
	s.writeHeader()
	s.copyBody(*buf)
	return nil
}

// stream passes one response from the target on to the caller.
type stream struct {
	x        *exchange
	a        *attempt
	response *http.Response
	record   *recorder
	filled   int  // bytes at the start of the buffer that were not written to the caller yet
	ended    bool // the target's response was read to its end
	released bool
}

// prefetch reads until the buffer is full or the response has ended.
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

// read reads from the target. At the end of the response it releases the slot
// and records the answer of a claimed request.
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

// writeHeader sends the status and the header to the caller.
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

// copyBody sends the bytes in the buffer and then the rest of the response. A
// response of unknown length is flushed after each read.
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

// writeTrailer sends the trailer of the target's response.
func (s *stream) writeTrailer() {
	for name, values := range s.response.Trailer {
		s.x.w.Header()[http.TrailerPrefix+name] = values
	}
}

// targetLost handles a response that the target broke off. It resets the
// caller's connection, so that the response does not look complete, and panics
// with http.ErrAbortHandler.
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

// recordTimeout limits how long the rest of an answer is read for its record
// after the caller has left.
const recordTimeout = 30 * time.Second

// limitRecording ends the attempt of a claimed request recordTimeout after its caller
// has left; other attempts end with their caller. It does so also while the start of
// the response is buffered, when nothing is written that would fail.
func (s *stream) limitRecording() (stop func() bool) {
	if s.x.claim == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.x.ctx, func() {
		time.AfterFunc(recordTimeout, func() { s.a.cancel(nil) }) // no effect once the attempt has ended
	})
}

// callerLost handles a caller that closed its connection. The answer of a
// claimed request is first read to its end if it can be recorded; then
// callerLost panics with http.ErrAbortHandler.
func (s *stream) callerLost(buf []byte) {
	timer := time.AfterFunc(recordTimeout, func() { s.a.cancel(nil) }) // a failed write may come before the end of the caller's context
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

// outcome reports whether the caller or the target broke off the response.
func (s *stream) outcome() retry.Outcome {
	if s.x.ctx.Err() != nil {
		return retry.CallerGone
	}
	return retry.Broken
}

// failure returns the outcome for the slot of a response that was broken off.
func (s *stream) failure() slots.Outcome {
	if s.outcome() == retry.CallerGone {
		return slots.OutcomeAbandoned
	}
	return slots.OutcomeFailed
}

// completeOutcome returns the outcome for the slot of a complete response.
// Server errors count as failures of the target.
func (s *stream) completeOutcome() slots.Outcome {
	if s.response.StatusCode >= http.StatusInternalServerError {
		return slots.OutcomeFailed
	}
	return slots.OutcomeDone
}

// release releases the slot; calls after the first do nothing. If the response
// was not read to its end, its connection is closed first.
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

// close ends the response and the caller's upload, and releases the slot if that
// has not happened yet.
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

// keepContentType stops net/http from guessing a Content-Type that the target
// did not send.
func keepContentType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

package ctl

import (
	"errors"
	"fmt"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
)

// submission collects the answers of the control hosts to one signed bundle.
type submission struct {
	mu            sync.Mutex
	result        *history.Result
	maybeAccepted bool // an attempt without a result may have been accepted
	err           error
}

// record takes the answer of one control host and reports whether the submission
// is decided. Bad input decides it only if no earlier attempt may have been
// accepted.
func (s *submission) record(addr string, result *history.Result, maybeAccepted bool, err error) (definite bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result != nil {
		s.result = result
		return true
	}
	var exit *exitError
	if errors.As(err, &exit) {
		s.err = err
		return !s.maybeAccepted
	}
	s.maybeAccepted = s.maybeAccepted || maybeAccepted
	s.err = fmt.Errorf("%s: %w", addr, err)
	return false
}

// outcome returns the result, or an error that tells apart a submission that
// certainly failed from one whose result is unknown.
func (s *submission) outcome() (*history.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var exit *exitError
	switch {
	case s.result != nil:
		return s.result, nil
	case s.maybeAccepted:
		return nil, unknown("no control host confirmed whether the bundle was accepted; submit the same file again (%w)", s.err)
	case errors.As(s.err, &exit):
		return nil, s.err
	}
	return nil, failed("the bundle was not submitted: %w", s.err)
}

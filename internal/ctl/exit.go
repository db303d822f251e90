package ctl

import (
	"errors"
	"fmt"
)

// Exit codes of hornbeamctl.
const (
	ExitDone    = 0
	ExitFailed  = 1 // refused or failed; nothing was changed unless the message says so
	ExitUsage   = 2 // wrong usage or bad input
	ExitUnknown = 3 // the submission may or may not have been accepted
)

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error, which may be a finding.List.
func (e *exitError) Unwrap() error { return e.err }

// failed returns an error with exit code ExitFailed.
func failed(format string, args ...any) error {
	return &exitError{ExitFailed, fmt.Errorf(format, args...)}
}

// badInput returns an error with exit code ExitUsage.
func badInput(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// unknown returns an error with exit code ExitUnknown.
func unknown(format string, args ...any) error {
	return &exitError{ExitUnknown, fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for err, ExitFailed if err does not determine one.
func exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

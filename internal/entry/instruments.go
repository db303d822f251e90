package entry

import (
	"github.com/rcrowley/go-metrics"
)

// instruments holds the metrics of requests to services.
type instruments struct {
	registry   metrics.Registry
	requests   metrics.Counter // requests to services
	inFlight   metrics.Counter
	retries    metrics.Counter
	claimWait  metrics.Timer // time until the right to send a keyed request was given or refused
	permitWait metrics.Timer // time until a slot was granted or refused
	hop        metrics.Timer // time until the response header was sent, without the time in other processes
}

func newInstruments(r metrics.Registry) *instruments {
	return &instruments{
		registry:   r,
		requests:   metrics.GetOrRegisterCounter("entry.requests", r),
		inFlight:   metrics.GetOrRegisterCounter("entry.in_flight", r),
		retries:    metrics.GetOrRegisterCounter("entry.retries", r),
		claimWait:  metrics.GetOrRegisterTimer("entry.claim_wait", r),
		permitWait: metrics.GetOrRegisterTimer("entry.permit_wait", r),
		hop:        metrics.GetOrRegisterTimer("entry.hop", r),
	}
}

// outcome counts how a request ended, by the value of HeaderOutcome.
func (i *instruments) outcome(o string) {
	metrics.GetOrRegisterCounter("entry.outcomes."+o, i.registry).Inc(1)
}

// refusal counts a problem by its code.
func (i *instruments) refusal(code string) {
	metrics.GetOrRegisterCounter("entry.refusals."+code, i.registry).Inc(1)
}

// attemptEnd counts how an attempt ended, by name of its outcome.
func (i *instruments) attemptEnd(name string) {
	metrics.GetOrRegisterCounter("entry.attempts."+name, i.registry).Inc(1)
}

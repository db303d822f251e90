package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// forwarder handles requests to services: it claims keyed requests, acquires a
// permit, sends, streams the response, releases the permit and records the answer.
type forwarder struct {
	config   Config
	metrics  *instruments
	budgets  *budgets
	upstream *upstream
	refuse   func(http.ResponseWriter, *http.Request, *Problem)
	names    *attemptNames
}

func newForwarder(c Config, m *instruments, refuse func(http.ResponseWriter, *http.Request, *Problem)) *forwarder {
	return &forwarder{config: c, metrics: m, budgets: newBudgets(c.Retries), upstream: newUpstream(c.Links),
		refuse: refuse, names: newAttemptNames(c.Host, c.Now())}
}

// ServeHTTP answers one request to a service.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.metrics.requests.Inc(1)
	f.metrics.inFlight.Inc(1)
	defer f.metrics.inFlight.Dec(1)
	ctx := f.config.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.config.Tracing.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, problem := parseCall(r, f.config.Directory, f.config.Now())
	body := newCallerBody(r)
	if body != nil {
		// A target may answer before the upload ends; without this net/http
		// would read the rest of the upload first.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	if problem != nil {
		body.discard(w)
		f.fail(w, r, span, problem)
		return
	}
	f.budgets.countRequest(c.service.Name, f.config.Now())
	x := &exchange{forwarder: f, call: c, w: w, r: r, body: body, ctx: ctx, span: span, arrived: f.config.Now()}
	if problem := x.run(); problem != nil {
		body.discard(w)
		f.fail(w, r, span, problem)
	}
}

// fail answers with the problem and counts it.
func (f *forwarder) fail(w http.ResponseWriter, r *http.Request, span trace.Span, p *Problem) {
	span.SetAttributes(attribute.String("code", p.Code), attribute.String("outcome", p.Outcome))
	f.metrics.outcome(p.Outcome)
	f.refuse(w, r, p)
}

// span starts the trace span of one step of a request.
func (f *forwarder) span(ctx context.Context, name string) (context.Context, trace.Span) {
	return f.config.Tracing.Tracer.Start(ctx, name)
}

func (f *forwarder) timeLeft(deadline time.Time) time.Duration { return deadline.Sub(f.config.Now()) }

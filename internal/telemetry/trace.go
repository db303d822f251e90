package telemetry

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Tracing creates spans and propagates their context in the traceparent header.
type Tracing struct {
	Tracer     trace.Tracer
	Propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NewTracing returns a Tracing that appends finished spans to file as JSON lines. If
// file is empty, no spans are recorded.
func NewTracing(program, host, file string) (*Tracing, error) {
	t := &Tracing{Propagator: propagation.TraceContext{}, shutdown: func(context.Context) error { return nil }}
	if file == "" {
		t.Tracer = noop.NewTracerProvider().Tracer(program)
		return t, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program), attribute.String("host.name", host))),
	)
	t.Tracer = provider.Tracer(program)
	t.shutdown = func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := out.Close(); err == nil {
			err = closeErr
		}
		return err
	}
	return t, nil
}

// Shutdown exports the spans still held in memory and closes the file.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

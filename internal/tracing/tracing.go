package tracing

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/primroseladder/primroseladder/internal/peererr"
)

// active makes the spans of this process. It is nil while traces are off.
var active atomic.Pointer[tracer]

type tracer struct {
	trace.Tracer
	propagator propagation.TraceContext
	stop       []func(context.Context) error
}

// SetUp sends the spans of a process on a VM to the destinations of the settings. The returned function exports the
// last spans and turns traces off.
func SetUp(process, vm string, s Settings) (stop func(context.Context) error, err error) {
	if !s.IsEnabled() {
		return func(context.Context) error { return nil }, nil
	}
	t := &tracer{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleFraction))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process), attribute.String("vm", vm))),
	}
	exporters, err := t.exporters(s)
	if err != nil {
		return nil, err
	}
	for _, exporter := range exporters {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(options...)
	// The provider stops first, so that its last spans reach the file before it is closed.
	t.stop = append([]func(context.Context) error{provider.Shutdown}, t.stop...)
	t.Tracer = provider.Tracer("primroseladder")
	active.Store(t)
	return t.shutdown, nil
}

func (t *tracer) exporters(s Settings) ([]sdktrace.SpanExporter, error) {
	var exporters []sdktrace.SpanExporter
	if s.File != "" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, peererr.Wrap(err, "open trace file", s.File)
		}
		t.stop = append(t.stop, func(context.Context) error { return file.Close() })
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, peererr.Wrap(err, "write spans", s.File)
		}
		exporters = append(exporters, exporter)
	}
	if s.OTLPEndpoint != "" {
		exporter, err := otlptracegrpc.New(context.Background(),
			otlptracegrpc.WithEndpoint(s.OTLPEndpoint), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, peererr.Wrap(err, "export spans", s.OTLPEndpoint)
		}
		exporters = append(exporters, exporter)
	}
	return exporters, nil
}

func (t *tracer) shutdown(ctx context.Context) error {
	active.Store(nil)
	var faults []error
	for _, stop := range t.stop {
		faults = append(faults, stop(ctx))
	}
	return errors.Join(faults...)
}

// Span is one hop of a request. A nil span does nothing.
type Span struct{ span trace.Span }

// Start begins the span of a hop.
func Start(ctx context.Context, hop string) (context.Context, *Span) {
	t := active.Load()
	if t == nil {
		return ctx, nil
	}
	ctx, span := t.Tracer.Start(ctx, hop)
	return ctx, &Span{span}
}

// Set adds an attribute.
func (s *Span) Set(name, value string) {
	if s != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// End ends the span. A failure marks it as failed; an empty one does not.
func (s *Span) End(failure string) {
	if s == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}

// Extract takes the trace context that came with a request.
func Extract(ctx context.Context, h http.Header) context.Context {
	t := active.Load()
	if t == nil {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject sets the trace context in the headers of an outgoing request. While traces are off the caller's own stays.
func Inject(ctx context.Context, h http.Header) {
	if t := active.Load(); t != nil {
		t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

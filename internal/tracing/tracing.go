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

// active creates the spans of this process. It is nil while tracing is disabled.
var active atomic.Pointer[tracer]

type tracer struct {
	trace.Tracer
	propagator propagation.TraceContext
	// stop holds the functions that end the export, in the order in which they are called.
	stop []func(context.Context) error
}

// SetUp enables the export of spans with the names of the process and its VM. It does nothing if the settings have no
// destination. The returned function exports the remaining spans and disables tracing.
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
	// The provider shuts down first, so that its remaining spans are written to the file before the file is closed.
	t.stop = append([]func(context.Context) error{provider.Shutdown}, t.stop...)
	t.Tracer = provider.Tracer("primroseladder")
	active.Store(t)
	return t.shutdown, nil
}

// exporters opens the destinations and adds the file, if any, to the functions that stop the export.
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
	var errs []error
	for _, stop := range t.stop {
		errs = append(errs, stop(ctx))
	}
	return errors.Join(errs...)
}

// Span is the span of one hop of a request. The methods of a nil Span do nothing.
type Span struct{ span trace.Span }

// Start starts the span of a hop as a child of the span in ctx, and returns a context that contains it. The Span is nil if
// tracing is disabled.
func Start(ctx context.Context, hop string) (context.Context, *Span) {
	t := active.Load()
	if t == nil {
		return ctx, nil
	}
	ctx, span := t.Tracer.Start(ctx, hop)
	return ctx, &Span{span}
}

// Set sets an attribute of the span.
func (s *Span) Set(name, value string) {
	if s != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// End ends the span. A failure that is not empty becomes the description of the span's error status.
func (s *Span) End(failure string) {
	if s == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}

// Extract returns ctx with the trace context in the headers of an incoming request.
func Extract(ctx context.Context, h http.Header) context.Context {
	t := active.Load()
	if t == nil {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject sets the trace context of ctx in the headers of an outgoing request. While tracing is disabled it leaves the headers,
// including the caller's trace context, as they are.
func Inject(ctx context.Context, h http.Header) {
	if t := active.Load(); t != nil {
		t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// This file defines the export of traces.

// Package spans sets up OpenTelemetry tracing. Spans are exported by OTLP if an
// endpoint is set; otherwise tracing is disabled.
package spans

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"sycamoredeck.example/internal/schema/wire"
)

const scope = "sycamoredeck"

// StartExport starts the export of spans as configured, and returns a function that
// flushes and stops it.
func StartExport(ctx context.Context, role string, s *wire.CommonSettings) (func(context.Context) error, error) {
	if s.TraceEndpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(s.TraceEndpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", scope+"-"+role),
			attribute.String("service.instance.id", s.InstanceId),
			attribute.String("sycamoredeck.failure_domain", s.FailureDomain),
		)),
	)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return provider.Shutdown, nil
}

// StartSpan starts the span of one hop of a request.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(scope).Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Inject passes the trace context to the next hop by calling set for each header.
func Inject(ctx context.Context, set func(key, value string)) {
	otel.GetTextMapPropagator().Inject(ctx, headerCarrier(set))
}

type headerCarrier func(key, value string)

var _ propagation.TextMapCarrier = headerCarrier(nil)

// Get returns "", since the carrier is write-only.
func (c headerCarrier) Get(string) string { return "" }

// Set writes one header.
func (c headerCarrier) Set(key, value string) { c(key, value) }

// Keys returns nil, since the carrier is write-only.
func (c headerCarrier) Keys() []string { return nil }

// This file defines how traces are exported.

// Package spans sets up OpenTelemetry: a span for each hop of a request,
// exported by OTLP when an endpoint is set, and free of cost when it isn't.
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

// Start exports spans as the settings say and returns what flushes and ends
// the export.
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

// Hop begins the span of one hop.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(scope).Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Inject hands the span to the next hop through set, header by header.
func Inject(ctx context.Context, set func(key, value string)) {
	otel.GetTextMapPropagator().Inject(ctx, setter(set))
}

type setter func(key, value string)

var _ propagation.TextMapCarrier = setter(nil)

// Get finds nothing: the carrier is only written to.
func (s setter) Get(string) string { return "" }

// Set writes one header.
func (s setter) Set(key, value string) { s(key, value) }

// Keys lists nothing: the carrier is only written to.
func (s setter) Keys() []string { return nil }

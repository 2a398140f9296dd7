// This file defines Leader, which forwards WorkService calls to the leader.

// Package proxy forwards calls about jobs of steps, catalogs, failure domains and agent
// reports from any process to the leader.
//
// An error with code Unavailable means that the call wasn't executed. After Aborted,
// DeadlineExceeded or Canceled it may have been.
package proxy

import (
	"context"

	"google.golang.org/grpc"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Conn is a connection to a control replica.
	Conn = grpc.ClientConnInterface

	// Leader forwards calls to the leader. It has a function for each method of WorkService.
	Leader struct {
		Submit     func(context.Context, *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error)
		Inspect    func(context.Context, *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error)
		Cancel     func(context.Context, *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error)
		PutCatalog func(context.Context, *wire.PutCatalogRequest) (*wire.PutCatalogResponse, error)
		GetCatalog func(context.Context, *wire.GetCatalogRequest) (*wire.GetCatalogResponse, error)
		Report     func(context.Context, *wire.ReportAgentRequest) (*wire.ReportAgentResponse, error)
		Drain      func(context.Context, *wire.DrainDomainRequest) (*wire.DrainDomainResponse, error)
		Domains    func(context.Context, *wire.ListDomainsRequest) (*wire.ListDomainsResponse, error)
		Explain    func(context.Context, *wire.ExplainWorkRequest) (*wire.ExplainWorkResponse, error)
		Capacity   func(context.Context, *wire.GetCapacityRequest) (*wire.GetCapacityResponse, error)
	}
)

// Local returns a Leader that calls a service in this process.
func Local(s wire.WorkServiceServer) Leader {
	return Leader{
		Submit: s.SubmitWork, Inspect: s.InspectWork, Cancel: s.CancelWork,
		PutCatalog: s.PutCatalog, GetCatalog: s.GetCatalog, Report: s.ReportAgent,
		Drain: s.DrainDomain, Domains: s.ListDomains,
		Explain: s.ExplainWork, Capacity: s.GetCapacity,
	}
}

// Remote returns a Leader that calls the replica to which dial connects.
func Remote(dial func() (Conn, error)) Leader {
	return Leader{
		Submit:     remoteCall(dial, wire.WorkServiceClient.SubmitWork),
		Inspect:    remoteCall(dial, wire.WorkServiceClient.InspectWork),
		Cancel:     remoteCall(dial, wire.WorkServiceClient.CancelWork),
		PutCatalog: remoteCall(dial, wire.WorkServiceClient.PutCatalog),
		GetCatalog: remoteCall(dial, wire.WorkServiceClient.GetCatalog),
		Report:     remoteCall(dial, wire.WorkServiceClient.ReportAgent),
		Drain:      remoteCall(dial, wire.WorkServiceClient.DrainDomain),
		Domains:    remoteCall(dial, wire.WorkServiceClient.ListDomains),
		Explain:    remoteCall(dial, wire.WorkServiceClient.ExplainWork),
		Capacity:   remoteCall(dial, wire.WorkServiceClient.GetCapacity),
	}
}

type method[Q, R any] = func(wire.WorkServiceClient, context.Context, *Q, ...grpc.CallOption) (*R, error)

func remoteCall[Q, R any](dial func() (Conn, error), call method[Q, R]) func(context.Context, *Q) (*R, error) {
	return func(ctx context.Context, request *Q) (*R, error) {
		conn, err := dial()
		if err != nil {
			return nil, err
		}
		return call(wire.NewWorkServiceClient(conn), ctx, request)
	}
}

// Choose returns a Leader that uses first while useFirst returns true, and second otherwise.
func Choose(useFirst func() bool, first, second Leader) Leader {
	return Leader{
		Submit:     chooseCall(useFirst, first.Submit, second.Submit),
		Inspect:    chooseCall(useFirst, first.Inspect, second.Inspect),
		Cancel:     chooseCall(useFirst, first.Cancel, second.Cancel),
		PutCatalog: chooseCall(useFirst, first.PutCatalog, second.PutCatalog),
		GetCatalog: chooseCall(useFirst, first.GetCatalog, second.GetCatalog),
		Report:     chooseCall(useFirst, first.Report, second.Report),
		Drain:      chooseCall(useFirst, first.Drain, second.Drain),
		Domains:    chooseCall(useFirst, first.Domains, second.Domains),
		Explain:    chooseCall(useFirst, first.Explain, second.Explain),
		Capacity:   chooseCall(useFirst, first.Capacity, second.Capacity),
	}
}

func chooseCall[Q, R any](useFirst func() bool, first, second func(context.Context, *Q) (*R, error)) func(context.Context, *Q) (*R, error) {
	return func(ctx context.Context, request *Q) (*R, error) {
		if useFirst() {
			return first(ctx, request)
		}
		return second(ctx, request)
	}
}

// WithRetry returns a Leader that makes each call through retry, which may repeat it. All calls
// are idempotent.
func WithRetry(retry func(ctx context.Context, once func(context.Context, Conn) error) error) Leader {
	return Leader{
		Submit:     retriedCall(retry, wire.WorkServiceClient.SubmitWork),
		Inspect:    retriedCall(retry, wire.WorkServiceClient.InspectWork),
		Cancel:     retriedCall(retry, wire.WorkServiceClient.CancelWork),
		PutCatalog: retriedCall(retry, wire.WorkServiceClient.PutCatalog),
		GetCatalog: retriedCall(retry, wire.WorkServiceClient.GetCatalog),
		Report:     retriedCall(retry, wire.WorkServiceClient.ReportAgent),
		Drain:      retriedCall(retry, wire.WorkServiceClient.DrainDomain),
		Domains:    retriedCall(retry, wire.WorkServiceClient.ListDomains),
		Explain:    retriedCall(retry, wire.WorkServiceClient.ExplainWork),
		Capacity:   retriedCall(retry, wire.WorkServiceClient.GetCapacity),
	}
}

func retriedCall[Q, R any](retry func(context.Context, func(context.Context, Conn) error) error, call method[Q, R]) func(context.Context, *Q) (*R, error) {
	return func(ctx context.Context, request *Q) (response *R, err error) {
		err = retry(ctx, func(ctx context.Context, conn Conn) error {
			response, err = call(wire.NewWorkServiceClient(conn), ctx, request)
			return err
		})
		return response, err
	}
}

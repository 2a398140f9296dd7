// This file defines Desk and where its answers come from.

// Package desk is how any process of the system has jobs of steps, catalogs
// and agents' reports dealt with by the leader.
//
// An error with code Unavailable means that nothing was done; one with code
// Aborted, DeadlineExceeded or Canceled that it may have been.
package desk

import (
	"context"

	"google.golang.org/grpc"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Conn is a connection to a control replica.
	Conn = grpc.ClientConnInterface

	// Desk deals with what callers, operators and agents want.
	Desk struct {
		Submit     func(context.Context, *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error)
		Inspect    func(context.Context, *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error)
		Cancel     func(context.Context, *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error)
		PutCatalog func(context.Context, *wire.PutCatalogRequest) (*wire.PutCatalogResponse, error)
		GetCatalog func(context.Context, *wire.GetCatalogRequest) (*wire.GetCatalogResponse, error)
		Report     func(context.Context, *wire.ReportAgentRequest) (*wire.ReportAgentResponse, error)
		Drain      func(context.Context, *wire.DrainDomainRequest) (*wire.DrainDomainResponse, error)
		Domains    func(context.Context, *wire.ListDomainsRequest) (*wire.ListDomainsResponse, error)
	}
)

// Local is a desk whose answers a service in this process gives.
func Local(s wire.WorkServiceServer) Desk {
	return Desk{
		Submit: s.SubmitWork, Inspect: s.InspectWork, Cancel: s.CancelWork,
		PutCatalog: s.PutCatalog, GetCatalog: s.GetCatalog, Report: s.ReportAgent,
		Drain: s.DrainDomain, Domains: s.ListDomains,
	}
}

// Remote is a desk that asks the replica to which dial gives a connection.
func Remote(dial func() (Conn, error)) Desk {
	return Desk{
		Submit:     remoteCall(dial, wire.WorkServiceClient.SubmitWork),
		Inspect:    remoteCall(dial, wire.WorkServiceClient.InspectWork),
		Cancel:     remoteCall(dial, wire.WorkServiceClient.CancelWork),
		PutCatalog: remoteCall(dial, wire.WorkServiceClient.PutCatalog),
		GetCatalog: remoteCall(dial, wire.WorkServiceClient.GetCatalog),
		Report:     remoteCall(dial, wire.WorkServiceClient.ReportAgent),
		Drain:      remoteCall(dial, wire.WorkServiceClient.DrainDomain),
		Domains:    remoteCall(dial, wire.WorkServiceClient.ListDomains),
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

// Choose is a desk that takes the first of two while here is true.
func Choose(here func() bool, first, second Desk) Desk {
	return Desk{
		Submit:     chooseCall(here, first.Submit, second.Submit),
		Inspect:    chooseCall(here, first.Inspect, second.Inspect),
		Cancel:     chooseCall(here, first.Cancel, second.Cancel),
		PutCatalog: chooseCall(here, first.PutCatalog, second.PutCatalog),
		GetCatalog: chooseCall(here, first.GetCatalog, second.GetCatalog),
		Report:     chooseCall(here, first.Report, second.Report),
		Drain:      chooseCall(here, first.Drain, second.Drain),
		Domains:    chooseCall(here, first.Domains, second.Domains),
	}
}

func chooseCall[Q, R any](here func() bool, first, second func(context.Context, *Q) (*R, error)) func(context.Context, *Q) (*R, error) {
	return func(ctx context.Context, request *Q) (*R, error) {
		if here() {
			return first(ctx, request)
		}
		return second(ctx, request)
	}
}

// Over is a desk that makes each call through a function that may repeat it.
// All calls are idempotent.
func Over(again func(ctx context.Context, once func(context.Context, Conn) error) error) Desk {
	return Desk{
		Submit:     retriedCall(again, wire.WorkServiceClient.SubmitWork),
		Inspect:    retriedCall(again, wire.WorkServiceClient.InspectWork),
		Cancel:     retriedCall(again, wire.WorkServiceClient.CancelWork),
		PutCatalog: retriedCall(again, wire.WorkServiceClient.PutCatalog),
		GetCatalog: retriedCall(again, wire.WorkServiceClient.GetCatalog),
		Report:     retriedCall(again, wire.WorkServiceClient.ReportAgent),
		Drain:      retriedCall(again, wire.WorkServiceClient.DrainDomain),
		Domains:    retriedCall(again, wire.WorkServiceClient.ListDomains),
	}
}

func retriedCall[Q, R any](again func(context.Context, func(context.Context, Conn) error) error, call method[Q, R]) func(context.Context, *Q) (*R, error) {
	return func(ctx context.Context, request *Q) (response *R, err error) {
		err = again(ctx, func(ctx context.Context, conn Conn) error {
			response, err = call(wire.NewWorkServiceClient(conn), ctx, request)
			return err
		})
		return response, err
	}
}

// This file defines how an entry forwards job and operator calls to the leader.

package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// forwardTimeout bounds calls without a deadline.
	forwardTimeout     = 30 * time.Second
	watchRetryInterval = 50 * time.Millisecond
)

type (
	jobService struct {
		wire.UnimplementedJobServiceServer
		*Entry
	}

	operatorService struct {
		wire.UnimplementedOperatorServiceServer
		*Entry
	}
)

var (
	_ wire.JobServiceServer      = (*jobService)(nil)
	_ wire.OperatorServiceServer = (*operatorService)(nil)
)

// forward calls a method of a client of the leader.
func forward[C, Q, R any](ctx context.Context, e *Entry, client func(grpc.ClientConnInterface) C, method func(C, context.Context, Q, ...grpc.CallOption) (R, error), request Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return uplink.CallLeader(ctx, e.uplink, request, func(ctx context.Context, conn *grpc.ClientConn, q Q) (R, error) {
		return method(client(conn), ctx, q)
	})
}

// Submit forwards a job to the leader. The idempotency key allows the call to be repeated
// after a leader change.
func (s *jobService) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	if r.IdempotencyKey == "" {
		return nil, status.Error(codes.InvalidArgument, "IdempotencyKey must have 1 to 128 bytes")
	}
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Submit, r)
}

// Get forwards the call to the leader.
func (s *jobService) Get(ctx context.Context, r *wire.GetRequest) (*wire.GetResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Get, r)
}

// List forwards the call to the leader.
func (s *jobService) List(ctx context.Context, r *wire.ListRequest) (*wire.ListResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.List, r)
}

// Cancel forwards the call to the leader. It is idempotent.
func (s *jobService) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Cancel, r)
}

// Watch watches a job across leader changes.
func (s *jobService) Watch(r *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.WatchResponse]) error {
	for {
		err := s.watchOnce(r, stream)
		if err == nil || status.Code(err) != codes.Unavailable {
			return err
		}
		select {
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		case <-s.closing:
			return status.Error(codes.Unavailable, "this entry is stopping")
		case <-s.clock.After(watchRetryInterval):
		}
	}
}

func (s *jobService) watchOnce(r *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.WatchResponse]) error {
	conn, err := s.uplink.Leader()
	if err != nil {
		return err
	}
	watch, err := wire.NewJobServiceClient(conn).Watch(stream.Context(), r)
	if err != nil {
		return err
	}
	for {
		response, err := watch.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// ApplyConfiguration forwards a configuration to the leader. The operation ID allows the
// call to be repeated after a leader change.
func (s *operatorService) ApplyConfiguration(ctx context.Context, r *wire.ApplyConfigurationRequest) (*wire.ApplyConfigurationResponse, error) {
	if r.OperationId == "" {
		return nil, status.Error(codes.InvalidArgument, "OperationId must have 1 to 128 bytes")
	}
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ApplyConfiguration, r)
}

// GetConfiguration forwards the call to the leader.
func (s *operatorService) GetConfiguration(ctx context.Context, r *wire.GetConfigurationRequest) (*wire.GetConfigurationResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.GetConfiguration, r)
}

// ListConfigurationHistory forwards the call to the leader.
func (s *operatorService) ListConfigurationHistory(ctx context.Context, r *wire.ListConfigurationHistoryRequest) (*wire.ListConfigurationHistoryResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListConfigurationHistory, r)
}

// ListBackendServers returns the backend servers known to this entry.
func (s *operatorService) ListBackendServers(context.Context, *wire.ListBackendServersRequest) (*wire.ListBackendServersResponse, error) {
	return &wire.ListBackendServersResponse{BackendServers: s.roster.List(s.clock.Now())}, nil
}

// ListWorkers forwards the call to the leader.
func (s *operatorService) ListWorkers(ctx context.Context, r *wire.ListWorkersRequest) (*wire.ListWorkersResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListWorkers, r)
}

// QuarantineWorker forwards the call to the leader. It is idempotent.
func (s *operatorService) QuarantineWorker(ctx context.Context, r *wire.QuarantineWorkerRequest) (*wire.QuarantineWorkerResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.QuarantineWorker, r)
}

// ListControlMembers forwards the call to the leader.
func (s *operatorService) ListControlMembers(ctx context.Context, r *wire.ListControlMembersRequest) (*wire.ListControlMembersResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListControlMembers, r)
}

// ChangeControlMember forwards the call to the leader. A repeated call skips the steps
// that an earlier one has completed.
func (s *operatorService) ChangeControlMember(ctx context.Context, r *wire.ChangeControlMemberRequest) (*wire.ChangeControlMemberResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ChangeControlMember, r)
}

// GetStatus forwards the call to the leader.
func (s *operatorService) GetStatus(ctx context.Context, r *wire.GetStatusRequest) (*wire.GetStatusResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.GetStatus, r)
}

// This file defines how an entry passes jobs and operators' calls to the leader.

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
	// forwardTimeout bounds calls that come without a deadline.
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

// forward asks the leader by one method of a client.
func forward[C, Q, R any](ctx context.Context, e *Entry, client func(grpc.ClientConnInterface) C, method func(C, context.Context, Q, ...grpc.CallOption) (R, error), request Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return uplink.CallLeader(ctx, e.uplink, request, func(ctx context.Context, conn *grpc.ClientConn, q Q) (R, error) {
		return method(client(conn), ctx, q)
	})
}

// Submit passes a job on. It may be tried at several leaders, which the
// idempotency key makes harmless.
func (s *jobService) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	if r.IdempotencyKey == "" {
		return nil, status.Error(codes.InvalidArgument, "IdempotencyKey must have 1 to 128 bytes")
	}
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Submit, r)
}

// Get passes the question on.
func (s *jobService) Get(ctx context.Context, r *wire.GetRequest) (*wire.GetResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Get, r)
}

// List passes the question on.
func (s *jobService) List(ctx context.Context, r *wire.ListRequest) (*wire.ListResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.List, r)
}

// Cancel passes the cancellation on; twice is as good as once.
func (s *jobService) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelResponse, error) {
	return forward(ctx, s.Entry, wire.NewJobServiceClient, wire.JobServiceClient.Cancel, r)
}

// Watch follows a job across changes of leader.
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

// ApplyConfiguration passes a configuration on. It may be tried at several
// leaders, which the operation id makes harmless.
func (s *operatorService) ApplyConfiguration(ctx context.Context, r *wire.ApplyConfigurationRequest) (*wire.ApplyConfigurationResponse, error) {
	if r.OperationId == "" {
		return nil, status.Error(codes.InvalidArgument, "OperationId must have 1 to 128 bytes")
	}
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ApplyConfiguration, r)
}

// GetConfiguration passes the question on.
func (s *operatorService) GetConfiguration(ctx context.Context, r *wire.GetConfigurationRequest) (*wire.GetConfigurationResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.GetConfiguration, r)
}

// ListConfigurationHistory passes the question on.
func (s *operatorService) ListConfigurationHistory(ctx context.Context, r *wire.ListConfigurationHistoryRequest) (*wire.ListConfigurationHistoryResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListConfigurationHistory, r)
}

// ListBackendServers tells what this entry knows.
func (s *operatorService) ListBackendServers(context.Context, *wire.ListBackendServersRequest) (*wire.ListBackendServersResponse, error) {
	return &wire.ListBackendServersResponse{BackendServers: s.roster.List(s.clock.Now())}, nil
}

// ListWorkers passes the question on.
func (s *operatorService) ListWorkers(ctx context.Context, r *wire.ListWorkersRequest) (*wire.ListWorkersResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListWorkers, r)
}

// QuarantineWorker passes the order on; twice is as good as once.
func (s *operatorService) QuarantineWorker(ctx context.Context, r *wire.QuarantineWorkerRequest) (*wire.QuarantineWorkerResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.QuarantineWorker, r)
}

// ListControlMembers passes the question on.
func (s *operatorService) ListControlMembers(ctx context.Context, r *wire.ListControlMembersRequest) (*wire.ListControlMembersResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ListControlMembers, r)
}

// ChangeControlMember passes the change on; each of its steps is skipped when
// an earlier try has taken it.
func (s *operatorService) ChangeControlMember(ctx context.Context, r *wire.ChangeControlMemberRequest) (*wire.ChangeControlMemberResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.ChangeControlMember, r)
}

// GetStatus passes the question on.
func (s *operatorService) GetStatus(ctx context.Context, r *wire.GetStatusRequest) (*wire.GetStatusResponse, error) {
	return forward(ctx, s.Entry, wire.NewOperatorServiceClient, wire.OperatorServiceClient.GetStatus, r)
}

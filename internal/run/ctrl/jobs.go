// This file defines how a control replica serves JobService.

package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/base/spans"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	defaultListLimit = 100
	maxListLimit     = 10000
	maxCancelledJobs = 10000
	// watchPoll is how often a watch checks that this replica is still the leader.
	watchPoll = time.Second
)

type (
	jobService struct {
		wire.UnimplementedJobServiceServer
		*Control
	}

	// watchTable holds the watchers of jobs. notify is called on the event loop while a
	// command is applied. The zero value is an empty table.
	watchTable struct {
		mu       sync.Mutex
		watchers map[string]map[chan struct{}]bool
	}
)

var _ wire.JobServiceServer = (*jobService)(nil)

// Submit commits a job.
func (s *jobService) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	if err := checkSubmit(r, int(s.settings.MaxPayloadBytes)); err != nil {
		return nil, err
	}
	ctx, span := spans.StartSpan(ctx, "commit")
	defer span.End()
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_SubmitJob{SubmitJob: &wire.SubmitJob{
		JobId: uuid.NewString(), IdempotencyKey: r.IdempotencyKey, Spec: r.Spec,
	}}})
	if err == nil {
		err = refusalStatus(result.Err)
	}
	if err != nil {
		return nil, statusError(err)
	}
	response := &wire.SubmitResponse{Duplicate: result.Duplicate}
	return response, s.copyJob(ctx, result.Job.JobId, &response.Job)
}

func checkSubmit(r *wire.SubmitRequest, maxPayload int) error {
	switch {
	case r.IdempotencyKey == "" || len(r.IdempotencyKey) > 128:
		return status.Error(codes.InvalidArgument, "IdempotencyKey must have 1 to 128 bytes")
	case r.Spec == nil:
		return status.Error(codes.InvalidArgument, "Spec is missing")
	case len(r.Spec.Payload) > maxPayload:
		return status.Errorf(codes.InvalidArgument, "Spec.Payload has %d bytes; at most %d are allowed", len(r.Spec.Payload), maxPayload)
	}
	return nil
}

// copyJob copies a job on the event loop, since it may not be accessed elsewhere.
func (s *jobService) copyJob(ctx context.Context, id string, into **wire.Job) error {
	return statusError(s.node.Do(ctx, func() {
		if j := s.machine.Job(id); j != nil {
			*into = proto.Clone(j).(*wire.Job)
		}
	}))
}

// refusalStatus converts the error of a rejected command into a status.
func refusalStatus(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, state.ErrUnknownJob), errors.Is(err, state.ErrUnknownWorker):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, state.ErrKeyReused), errors.Is(err, state.ErrOperationReuse):
		return status.Error(codes.AlreadyExists, err.Error())
	default:
		return status.Error(codes.FailedPrecondition, err.Error())
	}
}

// Get returns a job with a linearizable read.
func (s *jobService) Get(ctx context.Context, r *wire.GetRequest) (*wire.GetResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.GetResponse{}
	err := s.node.Read(ctx, func() {
		if j := s.machine.Job(r.JobId); j != nil {
			response.Job = proto.Clone(j).(*wire.Job)
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	if response.Job == nil {
		return nil, status.Errorf(codes.NotFound, "no such job: %q", r.JobId)
	}
	return response, nil
}

// List returns jobs in the order of submission.
func (s *jobService) List(ctx context.Context, r *wire.ListRequest) (*wire.ListResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit == 0 {
		limit = defaultListLimit
	}
	response := &wire.ListResponse{}
	err := s.node.Read(ctx, func() {
		var after uint64
		if j := s.machine.Job(r.AfterJobId); j != nil {
			after = j.Sequence
		}
		for _, j := range s.machine.Jobs(r.ClientAccount, r.State, after, min(limit, maxListLimit)) {
			response.Jobs = append(response.Jobs, proto.Clone(j).(*wire.Job))
		}
	})
	return response, statusError(err)
}

// Cancel commits the cancellation of jobs. Running jobs end when their workers have
// stopped them.
func (s *jobService) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	if len(r.JobIds) == 0 || len(r.JobIds) > maxCancelledJobs {
		return nil, status.Errorf(codes.InvalidArgument, "JobIds must have 1 to %d elements", maxCancelledJobs)
	}
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_CancelJobs{CancelJobs: &wire.CancelJobs{JobIds: r.JobIds}}})
	if err == nil {
		err = refusalStatus(result.Err)
	}
	if err != nil {
		return nil, statusError(err)
	}
	response := &wire.CancelResponse{}
	err = s.node.Do(ctx, func() {
		for _, id := range r.JobIds {
			if j := s.machine.Job(id); j != nil {
				response.Jobs = append(response.Jobs, proto.Clone(j).(*wire.Job))
			}
		}
	})
	return response, statusError(err)
}

// Watch sends a job each time that it has changed, until it has ended.
func (s *jobService) Watch(r *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.WatchResponse]) error {
	if err := s.checkStarted(); err != nil {
		return err
	}
	changed, cancel := s.watchers.watch(r.JobId)
	defer cancel()
	var last *wire.Job
	for {
		response, err := s.Get(stream.Context(), &wire.GetRequest{JobId: r.JobId})
		if err != nil {
			return err
		}
		if !proto.Equal(response.Job, last) {
			if err := stream.Send(&wire.WatchResponse{Job: response.Job}); err != nil {
				return err
			}
			last = response.Job
		}
		if state.Ended(response.Job) {
			return nil
		}
		select {
		case <-changed:
		case <-s.clock.After(watchPoll):
		case <-s.closing:
			return status.Error(codes.Unavailable, "stopping")
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
	}
}

// notify wakes the watchers of a job.
func (t *watchTable) notify(j *wire.Job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ch := range t.watchers[j.JobId] {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// watch registers a watcher of a job. It returns the channel on which the watcher is
// notified, and a function that removes it.
func (t *watchTable) watch(job string) (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watchers == nil {
		t.watchers = map[string]map[chan struct{}]bool{}
	}
	if t.watchers[job] == nil {
		t.watchers[job] = map[chan struct{}]bool{}
	}
	t.watchers[job][changed] = true
	return changed, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watchers[job], changed)
		if len(t.watchers[job]) == 0 {
			delete(t.watchers, job)
		}
	}
}

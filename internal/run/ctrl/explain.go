// This file defines how the leader explains its scheduling to operators.

package ctrl

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/schema/wire"
)

// ExplainWork returns what limits the placement of a job's waiting stages.
func (s *workService) ExplainWork(ctx context.Context, r *wire.ExplainWorkRequest) (*wire.ExplainWorkResponse, error) {
	response := &wire.ExplainWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE}
	err := s.readEngine(ctx, func() bool {
		job, known := s.matchJob(r.Target)
		if !known {
			return true
		}
		j := s.machine.Graph().Job(job.id)
		if j == nil || j.Queue != job.queue {
			response.Answer = wire.WorkAnswer_WORK_ANSWER_UNKNOWN_JOB
			return true
		}
		var drives bool
		response.Answer = wire.WorkAnswer_WORK_ANSWER_DONE
		response.Stages, drives = s.engine.Explain(boot.Now(), j)
		return drives
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// GetCapacity returns the capacity of all pools by failure domain.
func (s *workService) GetCapacity(ctx context.Context, _ *wire.GetCapacityRequest) (*wire.GetCapacityResponse, error) {
	response := &wire.GetCapacityResponse{}
	err := s.readEngine(ctx, func() (drives bool) {
		response.Domains, drives = s.engine.Capacity(boot.Now())
		return drives
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// readEngine runs f on the event loop while this replica is certainly the leader. f returns
// false if the engine doesn't drive the agents, as in the first moment of a term.
func (s *workService) readEngine(ctx context.Context, f func() bool) error {
	if s.platform.SendOrder == nil {
		return status.Error(codes.FailedPrecondition, "this deployment has no agents that run jobs of steps")
	}
	if err := s.checkReady(); err != nil {
		return err
	}
	drives := false
	if err := s.read(ctx, func() { drives = f() }); err != nil {
		return err
	}
	if !drives {
		return status.Error(codes.Unavailable, notExecuted+"the leader doesn't drive the agents yet")
	}
	return nil
}

// This file defines how a control replica serves OperatorService.

package ctrl

import (
	"context"
	"errors"
	"sort"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/rules"
)

const (
	// inForceWait bounds the wait for all entries to apply an accepted configuration.
	inForceWait = 1500 * time.Millisecond
	inForcePoll = 20 * time.Millisecond
	// memberPoll is how often a step of a membership change is retried.
	memberPoll = 50 * time.Millisecond
	// maxHistory bounds the number of returned configuration versions.
	maxHistory = 200
)

type operatorService struct {
	wire.UnimplementedOperatorServiceServer
	*Control
}

var _ wire.OperatorServiceServer = (*operatorService)(nil)

// ApplyConfiguration commits a configuration and waits, up to inForceWait, until all
// entries have applied it.
func (s *operatorService) ApplyConfiguration(ctx context.Context, r *wire.ApplyConfigurationRequest) (*wire.ApplyConfigurationResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	if r.OperationId == "" || len(r.OperationId) > 128 {
		return nil, status.Error(codes.InvalidArgument, "OperationId must have 1 to 128 bytes")
	}
	if err := rules.Validate(r.Configuration); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_ApplyConfiguration{ApplyConfiguration: r}})
	if err == nil {
		err = refusalStatus(result.Err)
	}
	if err != nil {
		return nil, statusError(err)
	}
	response := result.Apply
	if response.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_APPLIED {
		response.InForceAt = s.waitInForce(ctx, response.Current.Version)
	}
	return response, nil
}

// waitInForce waits, up to inForceWait, until all entries have applied a version, and
// returns the IDs of those that have.
func (s *operatorService) waitInForce(ctx context.Context, version uint64) []string {
	deadline := s.clock.Now().Add(inForceWait)
	for {
		entries := s.entries.list(s.clock.Now())
		var inForce []string
		for _, e := range entries {
			if e.ConfigurationVersion >= version {
				inForce = append(inForce, e.EntryId)
			}
		}
		if len(inForce) == len(entries) || s.clock.Now().After(deadline) || ctx.Err() != nil {
			return inForce
		}
		s.clock.Sleep(inForcePoll)
	}
}

// GetConfiguration returns the current version.
func (s *operatorService) GetConfiguration(ctx context.Context, _ *wire.GetConfigurationRequest) (*wire.GetConfigurationResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.GetConfigurationResponse{}
	return response, statusError(s.node.Read(ctx, func() { response.Current = s.machine.Configuration() }))
}

// ListConfigurationHistory returns past versions, newest first.
func (s *operatorService) ListConfigurationHistory(ctx context.Context, r *wire.ListConfigurationHistoryRequest) (*wire.ListConfigurationHistoryResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit == 0 || limit > maxHistory {
		limit = maxHistory
	}
	response := &wire.ListConfigurationHistoryResponse{}
	return response, statusError(s.node.Read(ctx, func() { response.Versions = s.machine.History(limit) }))
}

// ListWorkers returns the registered and the quarantined workers with their committed
// resources.
func (s *operatorService) ListWorkers(ctx context.Context, _ *wire.ListWorkersRequest) (*wire.ListWorkersResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.ListWorkersResponse{}
	err := s.node.Read(ctx, func() {
		for id, w := range s.machine.Workers() {
			response.Workers = append(response.Workers, &wire.WorkerStatus{
				Worker: w.Record, Committed: w.Committed.ToProto(), Tasks: uint32(len(w.Tasks)),
				Attending:        s.planner.HoldsLease(id, w.Record.Incarnation, s.clock.Now()),
				QuarantineReason: w.Quarantine,
			})
		}
		for id, q := range s.machine.Quarantines() {
			if s.machine.Worker(id) == nil {
				response.Workers = append(response.Workers, &wire.WorkerStatus{Worker: &wire.Worker{WorkerId: id}, QuarantineReason: q})
			}
		}
	})
	sort.Slice(response.Workers, func(i, j int) bool {
		return response.Workers[i].Worker.WorkerId < response.Workers[j].Worker.WorkerId
	})
	return response, statusError(err)
}

// QuarantineWorker quarantines or releases a worker.
func (s *operatorService) QuarantineWorker(ctx context.Context, r *wire.QuarantineWorkerRequest) (*wire.QuarantineWorkerResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	if !r.Release && r.Reason == "" {
		return nil, status.Error(codes.InvalidArgument, "Reason is empty")
	}
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: &wire.Quarantine{
		WorkerId: r.WorkerId, Release: r.Release, Reason: r.Reason,
	}}})
	if err == nil {
		err = refusalStatus(result.Err)
	}
	return &wire.QuarantineWorkerResponse{}, statusError(err)
}

// ListControlMembers returns the members and the replicas that ask to join.
func (s *operatorService) ListControlMembers(ctx context.Context, _ *wire.ListControlMembersRequest) (*wire.ListControlMembersResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.ListControlMembersResponse{}
	err := s.node.Read(ctx, func() {
		response.Members = s.node.Core().Members().GetMembers()
		response.LeaderReplicaId = s.node.Core().Status().Leader
	})
	response.Waiting = s.bootstrapper.PendingJoins()
	return response, statusError(err)
}

// ChangeControlMember adds a replica that asks to join, removes a member, or replaces a
// member by such a replica. Each step is a separate change and is committed before the
// next one. For a replacement the new replica first catches up as a learner, then the old
// member is removed and the new one promoted: if a second replica is lost right afterwards,
// the new voter has the whole log. The call is idempotent.
func (s *operatorService) ChangeControlMember(ctx context.Context, r *wire.ChangeControlMemberRequest) (*wire.ChangeControlMemberResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	if r.AddName == "" && r.RemoveReplicaId == 0 {
		return nil, status.Error(codes.InvalidArgument, "AddName and RemoveReplicaId are both empty")
	}
	var added uint64
	if r.AddName != "" {
		m, err := s.candidate(ctx, r.AddName)
		if err != nil {
			return nil, err
		}
		added = m.ReplicaId
		if err := s.changeMembership(ctx, func(c *quorum.Core) error { return c.AddLearner(m) }); err != nil {
			return nil, err
		}
		if err := s.awaitCaughtUp(ctx, added); err != nil {
			return nil, err
		}
	}
	if r.RemoveReplicaId != 0 {
		err := s.changeMembership(ctx, func(c *quorum.Core) error {
			if err := c.Remove(r.RemoveReplicaId); !errors.Is(err, quorum.ErrUnknownMember) {
				return err
			}
			return nil // removed by an earlier call
		})
		if err != nil {
			return nil, err
		}
	}
	if added != 0 {
		if err := s.changeMembership(ctx, func(c *quorum.Core) error { return c.Promote(added) }); err != nil {
			return nil, err
		}
	}
	response := &wire.ChangeControlMemberResponse{}
	return response, statusError(s.node.Do(ctx, func() { response.Members = s.node.Core().Members().GetMembers() }))
}

// candidate returns the replica to add: one that asks to join, or a learner added by an
// earlier call.
func (s *operatorService) candidate(ctx context.Context, name string) (*wire.ControlMember, error) {
	for _, m := range s.bootstrapper.PendingJoins() {
		if m.Name == name {
			return m, nil
		}
	}
	var found *wire.ControlMember
	err := s.node.Do(ctx, func() {
		for _, m := range s.node.Core().Members().GetMembers() {
			if m.Name == name && !m.Voter {
				found = m
			}
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	if found == nil {
		return nil, status.Errorf(codes.NotFound, "no replica named %q waits to be let in", name)
	}
	return found, nil
}

// changeMembership makes one change after the previous change is committed, and waits
// until it is committed itself.
func (s *operatorService) changeMembership(ctx context.Context, change func(*quorum.Core) error) error {
	return s.pollSteps(ctx, func(c *quorum.Core) error { return change(c) }, func(c *quorum.Core) error { return c.MembershipCommitted() })
}

// awaitCaughtUp waits until a learner can be promoted.
func (s *operatorService) awaitCaughtUp(ctx context.Context, id uint64) error {
	return s.pollSteps(ctx, func(c *quorum.Core) error { return c.CaughtUp(id) })
}

// pollSteps runs each step on the event loop, and repeats it while a membership change is
// pending or a learner isn't ready.
func (s *operatorService) pollSteps(ctx context.Context, steps ...func(*quorum.Core) error) error {
	for _, st := range steps {
		for {
			var err error
			if loopErr := s.node.Do(ctx, func() { err = st(s.node.Core()) }); loopErr != nil {
				return statusError(loopErr)
			}
			if err == nil {
				break
			}
			if !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrLearnerNotReady) {
				return membershipStatus(err)
			}
			select {
			case <-ctx.Done():
				return status.FromContextError(ctx.Err()).Err()
			case <-s.clock.After(memberPoll):
			}
		}
	}
	return nil
}

func membershipStatus(err error) error {
	if errors.Is(err, quorum.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// GetStatus returns an overview of the cluster.
func (s *operatorService) GetStatus(ctx context.Context, _ *wire.GetStatusRequest) (*wire.GetStatusResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.GetStatusResponse{Entries: s.entries.list(s.clock.Now())}
	err := s.node.Read(ctx, func() {
		core := s.node.Core().Status()
		queued, running, finished := s.machine.Counts()
		response.Leader, response.Term, response.CommitIndex = s.self.Name, core.Term, core.Commit
		response.ConfigurationVersion = s.machine.Configuration().Version
		response.Workers = uint32(len(s.machine.Workers()))
		response.DrainedDomains, _ = s.machine.Graph().DrainedDomains()
		response.Queued, response.Running, response.Finished = uint32(queued), uint32(running), finished
	})
	return response, statusError(err)
}

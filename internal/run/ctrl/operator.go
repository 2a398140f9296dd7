// This file defines how a control replica serves operators.

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
	// inForceWait is how long an accepted configuration's answer waits for
	// the entries to say that they have it.
	inForceWait = 1500 * time.Millisecond
	inForcePoll = 20 * time.Millisecond
	// memberPoll is how often a change of membership looks whether its next
	// step can be taken.
	memberPoll = 50 * time.Millisecond
	// maxHistory is the most versions that history shows.
	maxHistory = 200
)

type operatorService struct {
	wire.UnimplementedOperatorServiceServer
	*Control
}

var _ wire.OperatorServiceServer = (*operatorService)(nil)

// ApplyConfiguration commits a configuration and waits a little until all
// entries have it in force.
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
	answer := result.Apply
	if answer.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_APPLIED {
		answer.InForceAt = s.waitInForce(ctx, answer.Current.Version)
	}
	return answer, nil
}

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

// GetConfiguration gives the version in force.
func (s *operatorService) GetConfiguration(ctx context.Context, _ *wire.GetConfigurationRequest) (*wire.GetConfigurationResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	answer := &wire.GetConfigurationResponse{}
	return answer, statusError(s.node.Read(ctx, func() { answer.Current = s.machine.Configuration() }))
}

// ListConfigurationHistory gives past versions, the newest first.
func (s *operatorService) ListConfigurationHistory(ctx context.Context, r *wire.ListConfigurationHistoryRequest) (*wire.ListConfigurationHistoryResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit == 0 || limit > maxHistory {
		limit = maxHistory
	}
	answer := &wire.ListConfigurationHistoryResponse{}
	return answer, statusError(s.node.Read(ctx, func() { answer.Versions = s.machine.History(limit) }))
}

// ListWorkers gives the registered workers and what is committed on them.
func (s *operatorService) ListWorkers(ctx context.Context, _ *wire.ListWorkersRequest) (*wire.ListWorkersResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	answer := &wire.ListWorkersResponse{}
	err := s.node.Read(ctx, func() {
		for id, w := range s.machine.Workers() {
			answer.Workers = append(answer.Workers, &wire.WorkerStatus{
				Worker: w.Record, Committed: w.Committed.ToProto(), Tasks: uint32(len(w.Tasks)),
				Attending:        s.planner.HoldsLease(id, w.Record.Incarnation, s.clock.Now()),
				QuarantineReason: w.Quarantine,
			})
		}
		for id, reason := range s.machine.Quarantines() {
			if s.machine.Worker(id) == nil {
				answer.Workers = append(answer.Workers, &wire.WorkerStatus{Worker: &wire.Worker{WorkerId: id}, QuarantineReason: reason})
			}
		}
	})
	sort.Slice(answer.Workers, func(i, j int) bool {
		return answer.Workers[i].Worker.WorkerId < answer.Workers[j].Worker.WorkerId
	})
	return answer, statusError(err)
}

// QuarantineWorker puts a worker aside or takes it back.
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

// ListControlMembers gives the membership and who waits to be let in.
func (s *operatorService) ListControlMembers(ctx context.Context, _ *wire.ListControlMembersRequest) (*wire.ListControlMembersResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	answer := &wire.ListControlMembersResponse{}
	err := s.node.Read(ctx, func() {
		answer.Members = s.node.Core().Members().GetMembers()
		answer.LeaderReplicaId = s.node.Core().Status().Leader
	})
	answer.Waiting = s.bootstrapper.PendingJoins()
	return answer, statusError(err)
}

// ChangeControlMember adds a waiting replica, removes a member, or replaces
// one by the other. Each step is a change of its own and is committed before
// the next. To replace, the new replica first catches up without a vote; then
// the old one goes and the new one gets its vote, so that a second loss right
// after finds a voter that holds everything. A change whose answer was lost is
// simply asked for again.
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
			return nil // removed by an earlier try
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
	answer := &wire.ChangeControlMemberResponse{}
	return answer, statusError(s.node.Do(ctx, func() { answer.Members = s.node.Core().Members().GetMembers() }))
}

// candidate finds the replica to add among those waiting, or among the
// learners of an earlier try.
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

// changeMembership makes one change once the change before it is committed, and waits
// until it is committed itself.
func (s *operatorService) changeMembership(ctx context.Context, change func(*quorum.Core) error) error {
	return s.pollSteps(ctx, func(c *quorum.Core) error { return change(c) }, func(c *quorum.Core) error { return c.MembershipCommitted() })
}

// awaitCaughtUp waits until the learner could be promoted.
func (s *operatorService) awaitCaughtUp(ctx context.Context, id uint64) error {
	return s.pollSteps(ctx, func(c *quorum.Core) error { return c.CaughtUp(id) })
}

// pollSteps runs each step on the loop until it no longer asks for patience.
func (s *operatorService) pollSteps(ctx context.Context, steps ...func(*quorum.Core) error) error {
	for _, step := range steps {
		for {
			var err error
			if lost := s.node.Do(ctx, func() { err = step(s.node.Core()) }); lost != nil {
				return statusError(lost)
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

// GetStatus gives the counts that an operator looks at first.
func (s *operatorService) GetStatus(ctx context.Context, _ *wire.GetStatusRequest) (*wire.GetStatusResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	answer := &wire.GetStatusResponse{Entries: s.entries.list(s.clock.Now())}
	err := s.node.Read(ctx, func() {
		core := s.node.Core().Status()
		queued, running, finished := s.machine.Counts()
		answer.Leader, answer.Term, answer.CommitIndex = s.self.Name, core.Term, core.Commit
		answer.ConfigurationVersion = s.machine.Configuration().Version
		answer.Workers = uint32(len(s.machine.Workers()))
		answer.DrainedDomains, _ = s.machine.Graph().DrainedDomains()
		answer.Queued, answer.Running, answer.Finished = uint32(queued), uint32(running), finished
	})
	return answer, statusError(err)
}

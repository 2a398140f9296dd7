// This file defines how a control replica serves WorkService and connects the scheduling
// engine with agents.

package ctrl

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/base/intake"
	"sycamoredeck.example/internal/base/memory"
	"sycamoredeck.example/internal/front/proxy"
	"sycamoredeck.example/internal/sched/admit"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
)

const (
	// retentionInterval is how often finished jobs are checked for removal.
	retentionInterval = 10 * time.Second
)

var jobSeconds = metrics.NewHistogram("sycamoredeck_job_seconds")

type (
	// Platform connects a control process with agents and operators that don't use its
	// gRPC interface. The zero value connects with none.
	Platform struct {
		// SendOrder sends an order to its agent and returns the answer. Each call has its
		// own goroutine.
		SendOrder func(context.Context, drive.Order) drive.Answer
		// Advise asks the external service at an address which agents may run a step. Each
		// call has its own goroutine.
		Advise func(context.Context, string, drive.AdviceRequest) drive.AdviceAnswer
		// Serve starts serving operators and agents.
		Serve func(*wire.ControlSettings, files.Budget, intake.Limits, proxy.Leader) (stop func(), err error)
	}

	workService struct {
		wire.UnimplementedWorkServiceServer
		*Control
	}

	// jobName is the queue and the id of a job.
	jobName struct{ queue, id string }

	// admission decides about a job as its command is proposed; see Engine.Admit.
	admission func(j jobName, term uint64, leased bool) (ended func(mayBeInLog bool), refusal *admit.Refusal)
)

var _ wire.WorkServiceServer = (*workService)(nil)

func (c *Control) startEngine() error {
	disabled, err := drive.ParseFeatures(c.settings.SwitchedOff)
	if err != nil {
		return err
	}
	enabled, err := drive.ParseOptionalFeatures(c.engineFeatures())
	if err != nil {
		return err
	}
	c.orders = newOrderSender(c.platform.SendOrder, c.node.HoldsLeaderLease)
	c.engine = drive.New(drive.Options{
		Graph: c.machine.Graph(), Propose: c.node.Propose,
		IsLeader: c.engineLeads, HoldsLeaderLease: c.node.HoldsLeaderLease, Send: c.sendOrder, WallClock: time.Now,
		Lease:           min(c.settings.AgentLease.AsDuration(), c.settings.MaxAgentLease.AsDuration()),
		StopGrace:       c.settings.StopGrace.AsDuration(),
		OtherRackFactor: c.settings.OtherRackFactor, MaxConnections: files.NewBudget(c.settings.MaxOpenFiles).Agents,
		JobMemory: c.jobMemory(), AgentMemory: c.agentMemory(),
		Advise: c.requestAdvice, Disabled: disabled, Enabled: enabled, Logger: c.logger,
	})
	c.machine.Graph().OnJobFinished = c.recordJobFinished
	c.background.Go(c.retentionLoop)
	return nil
}

// jobMemory returns the limit on what all jobs take, in bytes.
func (c *Control) jobMemory() int64 {
	if c.settings.JobMemoryMb > 0 {
		return int64(memory.NewLimit(c.settings.JobMemoryMb))
	}
	return memory.NewLimit(c.settings.MemoryLimitMb).Jobs()
}

// agentMemory returns the limit on what registered agents take, in bytes.
func (c *Control) agentMemory() int64 {
	if c.settings.AgentMemoryMb > 0 {
		return int64(memory.NewLimit(c.settings.AgentMemoryMb))
	}
	return memory.NewLimit(c.settings.MemoryLimitMb).Agents()
}

// recordJobFinished records the metric and the log line of a finished job. Every replica
// applies the command; only the leader records it.
func (c *Control) recordJobFinished(j *graph.Job) {
	if _, isLeader := c.node.IsLeader(); !isLeader {
		return
	}
	duration := j.EndedAt.Sub(j.AcceptedAt)
	jobSeconds.Update(duration.Seconds())
	c.logger.Info("job ended", "job", j.ID, "queue", j.Queue, "state", j.State.String(), "took_ms", duration.Milliseconds(), "failures", j.Failures(), "crashes", j.Crashes(), "runs", j.ActiveRuns())
}

// scheduleTick schedules an iteration at the time that the engine needs. The replica's
// own ticks are too infrequent for placing work.
func (c *Control) scheduleTick() {
	wait := c.engine.NextTick()
	if c.tickScheduled || wait >= c.settings.HeartbeatInterval.AsDuration()/2 {
		return
	}
	c.tickScheduled = true
	time.AfterFunc(max(wait, time.Millisecond), func() {
		c.node.Post(func() { c.tickScheduled = false })
	})
}

// engineLeads returns the term and reports whether the engine may run in it. The engine
// starts once there are enough voters. It continues while a lost voter is being replaced,
// since a restart would have to poll all agents again. It is called on the event loop.
func (c *Control) engineLeads() (uint64, bool) {
	_, isLeader := c.node.IsLeader()
	core := c.node.Core()
	term := core.Status().Term
	if c.platform.SendOrder != nil && c.hasEnoughVoters(core.Members()) {
		c.engineTerm = term
	}
	return term, isLeader && c.engineTerm == term
}

// sendOrder sends an order to its agent in the background.
func (c *Control) sendOrder(o drive.Order) {
	go func() {
		answer := c.orders.send(o)
		c.node.Post(func() { c.engine.HandleAnswer(boot.Now(), answer) })
	}()
}

// requestAdvice asks the external service in the background.
func (c *Control) requestAdvice(r drive.AdviceRequest) {
	go func() {
		answer := drive.AdviceAnswer{Detail: "no advice address is set"}
		if c.platform.Advise != nil && c.settings.AdviceAddress != "" {
			answer = c.platform.Advise(context.Background(), c.settings.AdviceAddress, r)
		}
		answer.Request = r
		c.node.Post(func() { c.engine.HandleAdvice(boot.Now(), answer) })
	}()
}

// servePlatform starts the platform's server and returns how to stop it.
func (c *Control) servePlatform() (func(), error) {
	if c.platform.Serve == nil {
		return func() {}, nil
	}
	return c.platform.Serve(c.settings, files.NewBudget(c.settings.MaxOpenFiles), c.limits, c.leaderProxy())
}

// checkReady returns an error unless this replica may acknowledge requests.
func (s *workService) checkReady() error {
	if err := s.checkStarted(); err != nil {
		return err
	}
	v := s.view.Load()
	if !v.isLeader {
		return status.Error(codes.Unavailable, notExecuted+"not the leader")
	}
	if !v.faultTolerant {
		return status.Error(codes.Unavailable, notExecuted+"too few control replicas vote yet")
	}
	return nil
}

// commit commits a command and returns its result.
func (s *workService) commit(ctx context.Context, c *wire.WorkCommand) (state.Result, error) {
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_Work{Work: c}})
	return result, statusError(err)
}

// read runs f on the event loop while this replica is certainly the leader. With a valid
// leader lease no round of messages is necessary.
func (s *workService) read(ctx context.Context, f func()) error {
	done := false
	err := s.node.Do(ctx, func() {
		_, isLeader := s.node.IsLeader()
		if isLeader && s.node.HoldsLeaderLease(s.node.Core().Status().Term) {
			f()
			done = true
		}
	})
	if err != nil || done {
		return statusError(err)
	}
	return statusError(s.node.Read(ctx, f))
}

// SubmitWork commits a job.
func (s *workService) SubmitWork(ctx context.Context, r *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
	receivedAt := s.clock.Now()
	invalidSpec := graph.CheckSpec(r.Spec)
	job, result, err := s.commitForJob(ctx, r.Target, func(j jobName) (*wire.WorkCommand, error) {
		if err := cmp.Or(graph.CheckID(j.id), invalidSpec, s.engine.CheckSize(r.Spec)); err != nil {
			return nil, err
		}
		return &wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: j.id, Queue: j.queue, Spec: r.Spec}}}, nil
	}, func(j jobName, term uint64, leased bool) (func(bool), *admit.Refusal) {
		return s.engine.Admit(drive.Submission{Queue: j.queue, Job: j.id, Spec: r.Spec, Term: term, Leased: leased})
	})
	if err != nil {
		s.logger.Info("job submission not confirmed", "job", job.id, "queue", job.queue, "error", err)
		return nil, err
	}
	response := &wire.SubmitWorkResponse{Answer: answerForError(result.Err)}
	if result.Err != nil {
		response.Reason = result.Err.Error()
	}
	var refusal *admit.Refusal
	if errors.As(result.Err, &refusal) {
		response.RetryAfter = durationpb.New(refusal.RetryAfter)
	}
	s.logger.Info("job submitted", "job", job.id, "queue", job.queue, "steps", len(r.Spec.Steps), "answer", response.Answer.String(), "reason", response.Reason,
		"took_ms", s.clock.Now().Sub(receivedAt).Milliseconds())
	return response, nil
}

// commitForJob commits a command for the job that a target names. The result's error is
// graph.ErrUnknownQueue if the target names no queue, that of command, or the refusal of
// admission. admission may be nil.
//
// A leader with a valid lease looks up the queue where it proposes the command, since each
// turn of the event loop that a job waits for delays its start. Otherwise, and before it
// reports an unknown queue or an invalid command, it confirms its leadership first. Without a valid lease every job is
// admitted, since the next leader may know of another submission with its id.
func (s *workService) commitForJob(ctx context.Context, target *wire.WorkTarget, command func(jobName) (*wire.WorkCommand, error), admission admission) (jobName, state.Result, error) {
	if err := s.checkReady(); err != nil {
		return jobName{}, state.Result{}, err
	}
	proposed := make(chan jobName, 1)
	refused := make(chan *admit.Refusal, 1)
	result, err := s.node.CommitFrom(ctx, func() (*wire.Command, func(error)) {
		job, known := s.matchJob(target)
		if !known || !s.node.HoldsLeaderLease(s.node.Core().Status().Term) {
			return nil, nil
		}
		c, err := command(job)
		if err != nil {
			return nil, nil
		}
		proposed <- job
		ended, refusal := s.admit(admission, job, true)
		if refusal != nil {
			refused <- refusal
			return nil, nil
		}
		return &wire.Command{Body: &wire.Command_Work{Work: c}}, ended
	})
	if errors.Is(err, node.ErrNothingProposed) {
		select {
		case r := <-refused:
			return <-proposed, state.Result{Err: r}, nil
		default:
			return s.commitConfirmed(ctx, target, command, admission)
		}
	}
	var job jobName
	select {
	case job = <-proposed:
	default: // the caller left before
	}
	return job, result, statusError(err)
}

// commitConfirmed is commitForJob after a linearizable read. It admits every job, and records
// that with admission.
func (s *workService) commitConfirmed(ctx context.Context, target *wire.WorkTarget, command func(jobName) (*wire.WorkCommand, error), admission admission) (job jobName, result state.Result, err error) {
	known := false
	if err := s.read(ctx, func() { job, known = s.matchJob(target) }); err != nil {
		return jobName{}, result, err
	}
	if !known {
		return job, state.Result{Err: graph.ErrUnknownQueue}, nil
	}
	c, err := command(job)
	if err != nil {
		return job, state.Result{Err: err}, nil
	}
	result, err = s.node.CommitFrom(ctx, func() (*wire.Command, func(error)) {
		ended, _ := s.admit(admission, job, false)
		return &wire.Command{Body: &wire.Command_Work{Work: c}}, ended
	})
	return job, result, statusError(err)
}

// admit calls admission, which may be nil, and returns what to call with the error of the
// proposal. It is called on the event loop.
func (s *workService) admit(admission admission, job jobName, leased bool) (func(error), *admit.Refusal) {
	if admission == nil {
		return nil, nil
	}
	ended, refusal := admission(job, s.node.Core().Status().Term, leased)
	if refusal != nil {
		return nil, refusal
	}
	return func(err error) { ended(err == nil || errors.Is(err, node.ErrUncertain)) }, nil
}

// matchJob returns the job that a target names, or false if it names no queue. It is
// called on the event loop.
func (s *workService) matchJob(target *wire.WorkTarget) (jobName, bool) {
	q, id := s.machine.Graph().MatchQueue(target.GetHost(), target.GetPath())
	if q == nil {
		return jobName{}, false
	}
	return jobName{queue: q.Name, id: id}, true
}

// answerForError returns the answer for the error of an applied command.
func answerForError(err error) wire.WorkAnswer {
	var refusal *admit.Refusal
	switch {
	case err == nil:
		return wire.WorkAnswer_WORK_ANSWER_DONE
	case errors.As(err, &refusal):
		return wire.WorkAnswer_WORK_ANSWER_OVERLOADED
	case errors.Is(err, graph.ErrUnknownQueue):
		return wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE
	case errors.Is(err, graph.ErrUnknownJob):
		return wire.WorkAnswer_WORK_ANSWER_UNKNOWN_JOB
	case errors.Is(err, graph.ErrContentMismatch):
		return wire.WorkAnswer_WORK_ANSWER_CONFLICT
	default:
		return wire.WorkAnswer_WORK_ANSWER_INVALID
	}
}

// InspectWork returns the state of a job, or the number of a queue's pending jobs. Any
// replica answers, so that the inspections of all entries don't load the leader.
func (s *workService) InspectWork(ctx context.Context, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
	response := &wire.InspectWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE}
	err := s.readAnywhere(ctx, func() {
		g := s.machine.Graph()
		q, id := g.MatchQueue(r.Target.GetHost(), r.Target.GetPath())
		if q == nil {
			return
		}
		response.Answer = wire.WorkAnswer_WORK_ANSWER_DONE
		if id == "" {
			response.Pending = uint64(g.PendingJobs(q.Name))
			return
		}
		j := g.Job(id)
		if j == nil || j.Queue != q.Name {
			response.Answer = wire.WorkAnswer_WORK_ANSWER_UNKNOWN_JOB
			return
		}
		response.State = j.State
		if r.WithJob {
			response.Job = proto.Clone(j.Record()).(*wire.WorkJob)
		}
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// CancelWork commits the cancellation of a job. Its runs are stopped afterwards.
func (s *workService) CancelWork(ctx context.Context, r *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error) {
	job, result, err := s.commitForJob(ctx, r.Target, func(j jobName) (*wire.WorkCommand, error) {
		return &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: j.id, Queue: j.queue}}}, nil
	}, nil)
	if err != nil {
		return nil, err
	}
	s.logger.Info("job cancelled", "job", job.id, "queue", job.queue, "error", result.Err)
	return &wire.CancelWorkResponse{Answer: answerForError(result.Err)}, nil
}

// PutCatalog commits a catalog. A catalog that isn't newer is acknowledged without effect:
// it was sent again or has been superseded.
func (s *workService) PutCatalog(ctx context.Context, r *wire.PutCatalogRequest) (*wire.PutCatalogResponse, error) {
	if r.Catalog == nil {
		return nil, status.Error(codes.InvalidArgument, "Catalog is missing")
	}
	if err := graph.CheckCatalog(r.Catalog); err != nil {
		s.logger.Info("catalog refused", "version", r.Catalog.Version, "error", err)
		return &wire.PutCatalogResponse{Answer: wire.WorkAnswer_WORK_ANSWER_INVALID, Reason: err.Error()}, nil
	}
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	response := &wire.PutCatalogResponse{Answer: wire.WorkAnswer_WORK_ANSWER_DONE}
	notNewer := false
	err := s.read(ctx, func() {
		response.Version = s.machine.Graph().Catalog().Version
		notNewer = response.Version >= r.Catalog.Version
	})
	if err != nil {
		return nil, err
	}
	if notNewer {
		s.logger.Info("catalog not newer", "version", r.Catalog.Version, "in_force", response.Version)
		return response, nil
	}
	if _, err := s.commit(ctx, &wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: r.Catalog}}); err != nil {
		return nil, err
	}
	response.Version = r.Catalog.Version
	s.logger.Info("catalog accepted", "version", r.Catalog.Version, "queues", len(r.Catalog.Queues), "pools", len(r.Catalog.Pools))
	return response, nil
}

// GetCatalog returns the current catalog.
func (s *workService) GetCatalog(ctx context.Context, _ *wire.GetCatalogRequest) (*wire.GetCatalogResponse, error) {
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	response := &wire.GetCatalogResponse{}
	err := s.read(ctx, func() { response.Catalog = s.machine.Graph().Catalog() })
	return response, err
}

// retentionLoop removes finished jobs after the retention period.
func (c *Control) retentionLoop() {
	for {
		select {
		case <-c.closing:
			return
		case <-c.clock.After(retentionInterval):
		}
		before := c.clock.Now().Add(-c.settings.WorkRetention.AsDuration())
		c.node.Post(func() {
			if _, isLeader := c.node.IsLeader(); !isLeader || !c.machine.Graph().HasRemovableJobs(before) {
				return
			}
			command := &wire.WorkCommand{Body: &wire.WorkCommand_Forget{Forget: &wire.ForgetWork{EndedBefore: timestamppb.New(before)}}}
			c.node.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(_ state.Result, err error) {
				if err != nil {
					c.logger.Info("finished jobs not removed", "error", err)
				}
			})
		})
	}
}

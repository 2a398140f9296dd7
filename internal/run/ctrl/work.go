// This file defines how a control replica serves jobs of steps and reaches
// agents.

package ctrl

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/front/desk"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// compactInterval is how often jobs that ended long ago are looked for.
	compactInterval = 10 * time.Second
)

var jobSeconds = metrics.NewHistogram("sycamoredeck_job_seconds")

type (
	// Platform connects a control process with agents and operators that
	// don't speak its gRPC interface. The zero value connects with none.
	Platform struct {
		// SendOrder takes an order to its agent and returns what became of it. It
		// is called on a goroutine of its own.
		SendOrder func(context.Context, drive.Order) drive.Answer
		// Advise asks the outside service at the address of the settings which
		// agents may run a step. It is called on a goroutine of its own.
		Advise func(context.Context, string, drive.AdviceRequest) drive.AdviceAnswer
		// Serve starts to serve operators and agents, and returns how to stop.
		Serve func(*wire.ControlSettings, files.Budget, desk.Desk) (stop func(), err error)
	}

	workService struct {
		wire.UnimplementedWorkServiceServer
		*Control
	}
)

var _ wire.WorkServiceServer = (*workService)(nil)

func (c *Control) startEngine() error {
	off, err := drive.ParseFeatures(c.settings.SwitchedOff)
	if err != nil {
		return err
	}
	c.engine = drive.New(drive.Options{
		Graph: c.machine.Graph(), Propose: c.node.Propose,
		IsLeader: c.engineLeads, HoldsLeaderLease: c.node.HoldsLeaderLease, Send: c.sendOrder, WallClock: time.Now,
		Lease:           min(c.settings.AgentLease.AsDuration(), c.settings.MaxAgentLease.AsDuration()),
		StopGrace:       c.settings.StopGrace.AsDuration(),
		OtherRackFactor: c.settings.OtherRackFactor, MaxConnections: files.NewBudget(c.settings.MaxOpenFiles).Agents,
		Advise: c.requestAdvice, Disabled: off, Logger: c.logger,
	})
	c.machine.Graph().OnJobFinished = c.recordJobFinished
	c.background.Go(c.compactLoop)
	return nil
}

// recordJobFinished logs a job's end, once: where it is led from.
func (c *Control) recordJobFinished(j *graph.Job) {
	if _, leads := c.node.IsLeader(); !leads {
		return
	}
	took := j.EndedAt.Sub(j.AcceptedAt)
	jobSeconds.Update(took.Seconds())
	c.logger.Info("job ended", "job", j.ID, "queue", j.Queue, "state", j.State.String(), "took_ms", took.Milliseconds(), "failures", j.Failures(), "crashes", j.Crashes())
}

// scheduleTick orders the next turn for when the engine wants it: the replica's own
// ticks are too far apart to place work by.
func (c *Control) scheduleTick() {
	wake := c.engine.NextTick()
	if c.tickScheduled || wake >= c.settings.HeartbeatInterval.AsDuration()/2 {
		return
	}
	c.tickScheduled = true
	time.AfterFunc(max(wake, time.Millisecond), func() {
		c.node.Post(func() { c.tickScheduled = false })
	})
}

// engineLeads tells, on the loop, the term in which this replica may drive agents. It
// begins once enough replicas vote. While a lost one is being replaced there is
// one too few for a moment; driving goes on, or all that is known of agents
// would have to be asked anew.
func (c *Control) engineLeads() (uint64, bool) {
	_, leads := c.node.IsLeader()
	core := c.node.Core()
	term := core.Status().Term
	if c.platform.SendOrder != nil && c.hasEnoughVoters(core.Members()) {
		c.engineTerm = term
	}
	return term, leads && c.engineTerm == term
}

// sendOrder has an order taken to its agent. The right to lead is checked last:
// an order of a leader that was frozen or cut off must not leave beside those
// of the next one.
func (c *Control) sendOrder(o drive.Order) {
	go func() {
		answer := drive.Answer{Order: o, Verdict: drive.NotSent, Detail: "no right to lead"}
		if c.node.HoldsLeaderLease(o.Fence) {
			answer = c.platform.SendOrder(context.Background(), o)
			answer.Order = o
		}
		c.node.Post(func() { c.engine.HandleAnswer(boot.Now(), answer) })
	}()
}

// requestAdvice has the outside service asked.
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

func (c *Control) servePlatform() (func(), error) {
	if c.platform.Serve == nil {
		return func() {}, nil
	}
	budget := files.NewBudget(c.settings.MaxOpenFiles)
	c.logger.Info("descriptors shared out", "limit", budget.Limit, "agents", budget.Agents, "callers", budget.Callers)
	return c.platform.Serve(c.settings, budget, c.desk())
}

// checkReady tells whether this replica may acknowledge anything.
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

// commit has a command about jobs committed and gives what it came to.
func (s *workService) commit(ctx context.Context, c *wire.WorkCommand) (state.Result, error) {
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_Work{Work: c}})
	return result, statusError(err)
}

// read runs f on the loop while this replica surely leads. While a confirmed
// round is fresh no other can, and no round has to be waited for.
func (s *workService) read(ctx context.Context, f func()) error {
	done := false
	err := s.node.Do(ctx, func() {
		_, leads := s.node.IsLeader()
		if leads && s.node.HoldsLeaderLease(s.node.Core().Status().Term) {
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
	queue, id, err := s.resolveTarget(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	if queue == "" {
		return &wire.SubmitWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE}, nil
	}
	for _, err := range []error{graph.CheckID(id), graph.CheckSpec(r.Spec)} {
		if err != nil {
			return &wire.SubmitWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_INVALID, Reason: err.Error()}, nil
		}
	}
	result, err := s.commit(ctx, &wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: id, Queue: queue, Spec: r.Spec}}})
	if err != nil {
		s.logger.Info("job not known to be accepted", "job", id, "queue", queue, "error", err)
		return nil, err
	}
	answer := &wire.SubmitWorkResponse{Answer: answerForError(result.Err)}
	if result.Err != nil {
		answer.Reason = result.Err.Error()
	}
	s.logger.Info("job submitted", "job", id, "queue", queue, "steps", len(r.Spec.Steps), "answer", answer.Answer.String(), "reason", answer.Reason)
	return answer, nil
}

// resolveTarget tells which queue a target names, and the rest of its path; an empty
// queue is none.
func (s *workService) resolveTarget(ctx context.Context, target *wire.WorkTarget) (queue, rest string, err error) {
	if err := s.checkReady(); err != nil {
		return "", "", err
	}
	err = s.read(ctx, func() {
		q, r := s.machine.Graph().MatchQueue(target.GetHost(), target.GetPath())
		if q != nil {
			queue, rest = q.Name, r
		}
	})
	return queue, rest, err
}

func answerForError(err error) wire.WorkAnswer {
	switch {
	case err == nil:
		return wire.WorkAnswer_WORK_ANSWER_DONE
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

// InspectWork gives a job's state, or a queue's pending jobs.
func (s *workService) InspectWork(ctx context.Context, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	answer := &wire.InspectWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE}
	err := s.read(ctx, func() {
		g := s.machine.Graph()
		q, id := g.MatchQueue(r.Target.GetHost(), r.Target.GetPath())
		if q == nil {
			return
		}
		answer.Answer = wire.WorkAnswer_WORK_ANSWER_DONE
		if id == "" {
			answer.Pending = uint64(g.PendingJobs(q.Name))
			return
		}
		j := g.Job(id)
		if j == nil || j.Queue != q.Name {
			answer.Answer = wire.WorkAnswer_WORK_ANSWER_UNKNOWN_JOB
			return
		}
		answer.State = j.State
		if r.WithJob {
			answer.Job = proto.Clone(j.Record()).(*wire.WorkJob)
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// CancelWork commits a job's cancellation. Its runs are stopped after that.
func (s *workService) CancelWork(ctx context.Context, r *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error) {
	queue, id, err := s.resolveTarget(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	if queue == "" {
		return &wire.CancelWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_UNKNOWN_QUEUE}, nil
	}
	result, err := s.commit(ctx, &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: id, Queue: queue}}})
	if err != nil {
		return nil, err
	}
	s.logger.Info("job cancelled", "job", id, "queue", queue, "error", result.Err)
	return &wire.CancelWorkResponse{Answer: answerForError(result.Err)}, nil
}

// PutCatalog commits a catalog. One that isn't newer is acknowledged and
// changes nothing: it is a resend, or was overtaken.
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
	answer := &wire.PutCatalogResponse{Answer: wire.WorkAnswer_WORK_ANSWER_DONE}
	held := false
	err := s.read(ctx, func() {
		answer.Version = s.machine.Graph().Catalog().Version
		held = answer.Version >= r.Catalog.Version
	})
	if err != nil {
		return nil, err
	}
	if held {
		s.logger.Info("catalog not newer", "version", r.Catalog.Version, "in_force", answer.Version)
		return answer, nil
	}
	if _, err := s.commit(ctx, &wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: r.Catalog}}); err != nil {
		return nil, err
	}
	answer.Version = r.Catalog.Version
	s.logger.Info("catalog accepted", "version", r.Catalog.Version, "queues", len(r.Catalog.Queues), "pools", len(r.Catalog.Pools))
	return answer, nil
}

// GetCatalog gives the catalog in force, none being newer.
func (s *workService) GetCatalog(ctx context.Context, _ *wire.GetCatalogRequest) (*wire.GetCatalogResponse, error) {
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	answer := &wire.GetCatalogResponse{}
	err := s.read(ctx, func() { answer.Catalog = s.machine.Graph().Catalog() })
	return answer, err
}

// compactLoop drops what ended longer ago than it must be known.
func (c *Control) compactLoop() {
	for {
		select {
		case <-c.closing:
			return
		case <-c.clock.After(compactInterval):
		}
		before := c.clock.Now().Add(-c.settings.WorkRetention.AsDuration())
		c.node.Post(func() {
			if _, leads := c.node.IsLeader(); !leads || !c.machine.Graph().HasRemovableJobs(before) {
				return
			}
			command := &wire.WorkCommand{Body: &wire.WorkCommand_Forget{Forget: &wire.ForgetWork{EndedBefore: timestamppb.New(before)}}}
			c.node.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(_ state.Result, err error) {
				if err != nil {
					c.logger.Info("ended jobs not forgotten yet", "error", err)
				}
			})
		})
	}
}

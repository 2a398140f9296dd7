// This file defines Apply and the commands for jobs and workers.

package state

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// Errors for which a command is rejected. Their texts are returned to callers.
var (
	ErrUnknownJob           = errors.New("no such job")
	ErrUnknownWorker        = errors.New("no such worker incarnation")
	ErrSuperseded           = errors.New("the attempt is superseded")
	ErrNotQueued            = errors.New("the job isn't queued")
	ErrInsufficientCapacity = errors.New("the worker's resources don't suffice")
	ErrQuota                = errors.New("the client account's quota doesn't suffice")
	ErrQuarantined          = errors.New("the worker is quarantined")
	ErrUnknownKind          = errors.New("no such job kind in the client account")
	ErrUnschedulable        = errors.New("the job can never run")
	ErrKeyReused            = errors.New("the idempotency key names a job with other content")
	ErrOperationReuse       = errors.New("the operation id was used for other content")
	ErrWorkerBusy           = errors.New("another incarnation of the worker may still run tasks")
)

// Result is the result of a command. The type of the command determines which fields are
// set.
type Result struct {
	Err       error
	Job       *wire.Job
	Jobs      []*wire.Job
	Duplicate bool
	Apply     *wire.ApplyConfigurationResponse
	Dispatch  *wire.OpenDispatchResponse
	// PlacementErrors holds an error, or nil, for each placement.
	PlacementErrors []error
}

// Apply executes a committed command.
func (m *Machine) Apply(c *wire.Command) Result {
	switch body := c.GetBody().(type) {
	case *wire.Command_ApplyConfiguration:
		return m.applyConfiguration(c, body.ApplyConfiguration)
	case *wire.Command_SubmitJob:
		return m.submitJob(c, body.SubmitJob)
	case *wire.Command_CancelJobs:
		return m.cancelJobs(c, body.CancelJobs)
	case *wire.Command_RegisterWorker:
		return m.registerWorker(body.RegisterWorker)
	case *wire.Command_PlaceTasks:
		return m.placeTasks(c, body.PlaceTasks)
	case *wire.Command_EndTask:
		return m.endTask(c, body.EndTask)
	case *wire.Command_SaveCheckpoints:
		return m.saveCheckpoints(body.SaveCheckpoints)
	case *wire.Command_LoseWorker:
		return m.loseWorker(c, body.LoseWorker)
	case *wire.Command_Quarantine:
		return m.quarantine(body.Quarantine)
	case *wire.Command_OpenDispatch:
		return m.openDispatch(body.OpenDispatch)
	case *wire.Command_CloseDispatch:
		return m.closeDispatch(body.CloseDispatch)
	case *wire.Command_Sweep:
		return m.sweep(c)
	case *wire.Command_FailJob:
		return m.failJob(c, body.FailJob)
	case *wire.Command_Work:
		res := m.graph.Apply(c.At.AsTime(), body.Work)
		return Result{Err: res.Err, PlacementErrors: res.PlacementErrors}
	default:
		return Result{}
	}
}

func (m *Machine) submitJob(c *wire.Command, s *wire.SubmitJob) Result {
	key := accountKey(s.Spec.ClientAccount, s.IdempotencyKey)
	if id, ok := m.jobIDByKey[key]; ok {
		existing := m.jobs[id]
		if !sameSubmission(existing.Spec, s.Spec) {
			return Result{Err: ErrKeyReused}
		}
		return Result{Job: existing, Duplicate: true}
	}
	kind := m.jobKinds[accountKey(s.Spec.ClientAccount, s.Spec.JobKind)]
	if kind == nil {
		return Result{Err: ErrUnknownKind}
	}
	spec := proto.Clone(s.Spec).(*wire.JobSpec)
	if spec.Resources == nil {
		spec.Resources = proto.Clone(kind.Resources).(*wire.Resources)
	}
	if err := m.checkSchedulable(spec); err != nil {
		return Result{Err: err}
	}
	m.nextSequence++
	j := &wire.Job{
		JobId: s.JobId, Spec: spec, State: wire.JobState_JOB_STATE_QUEUED,
		SubmittedAt: c.At, IdempotencyKey: s.IdempotencyKey,
		Sequence: m.nextSequence, Class: kind.Class,
	}
	m.jobs[j.JobId], m.jobIDByKey[key] = j, j.JobId
	m.queueOf(j).push(j)
	return m.jobChanged(j)
}

// sameSubmission compares two submissions as sent by the caller. Resources that the caller
// omitted were filled in from the job kind at the time.
func sameSubmission(existing, sent *wire.JobSpec) bool {
	if sent.Resources == nil {
		existing = proto.Clone(existing).(*wire.JobSpec)
		existing.Resources = nil
	}
	return proto.Equal(existing, sent)
}

// checkSchedulable rejects jobs that exceed the quota or the capacity of every worker.
// While no worker is registered, capacity isn't checked.
func (m *Machine) checkSchedulable(spec *wire.JobSpec) error {
	need := ResourcesOf(spec.Resources)
	if quota := ResourcesOf(m.accounts[spec.ClientAccount].GetQuota()); !need.FitsQuota(quota) {
		return fmt.Errorf("%w: it needs %v, the client account's quota is %v", ErrUnschedulable, need, quota)
	}
	for _, w := range m.workers {
		if need.FitsIn(ResourcesOf(w.Record.Capacity)) {
			return nil
		}
	}
	if len(m.workers) == 0 {
		return nil
	}
	return fmt.Errorf("%w: it needs %v, and none of %d workers has that much", ErrUnschedulable, need, len(m.workers))
}

func (m *Machine) cancelJobs(c *wire.Command, r *wire.CancelJobs) Result {
	var res Result
	for _, id := range r.JobIds {
		j := m.jobs[id]
		if j == nil {
			res.Err = fmt.Errorf("%w: %s", ErrUnknownJob, id)
			continue
		}
		switch j.State {
		case wire.JobState_JOB_STATE_QUEUED:
			m.queueOf(j).remove(j)
			m.setFinalState(c, j, wire.JobState_JOB_STATE_CANCELLED, "cancelled")
		case wire.JobState_JOB_STATE_RUNNING:
			j.CancelRequested = true
			m.jobChanged(j)
		default:
		}
		res.Jobs = append(res.Jobs, j)
	}
	return res
}

func (m *Machine) registerWorker(w *wire.Worker) Result {
	existing := m.workers[w.WorkerId]
	if existing == nil {
		m.addWorker(w)
		return Result{}
	}
	if existing.Record.Incarnation != w.Incarnation && len(existing.Tasks) > 0 {
		return Result{Err: ErrWorkerBusy}
	}
	if !existing.Committed.FitsIn(ResourcesOf(w.Capacity)) {
		return Result{Err: ErrInsufficientCapacity}
	}
	existing.Record = w
	return Result{}
}

func (m *Machine) placeTasks(c *wire.Command, p *wire.PlaceTasks) Result {
	var res Result
	for _, pl := range p.Placements {
		res.PlacementErrors = append(res.PlacementErrors, m.place(c, pl))
	}
	return res
}

func (m *Machine) place(c *wire.Command, p *wire.Placement) error {
	j, w := m.jobs[p.JobId], m.workers[p.WorkerId]
	switch {
	case j == nil:
		return ErrUnknownJob
	case j.State != wire.JobState_JOB_STATE_QUEUED:
		return ErrNotQueued
	case p.Attempt != j.Attempt+1:
		return ErrSuperseded
	case w == nil || w.Record.Incarnation != p.WorkerIncarnation:
		return ErrUnknownWorker
	case w.Quarantine != "":
		return ErrQuarantined
	case m.Drained(w):
		return graph.ErrDrained
	}
	need := ResourcesOf(j.Spec.Resources)
	if !w.Committed.Add(need).FitsIn(ResourcesOf(w.Record.Capacity)) {
		return ErrInsufficientCapacity
	}
	quota := ResourcesOf(m.Account(j.Spec.ClientAccount).GetQuota())
	if !m.usedByAccount[j.Spec.ClientAccount].Add(need).FitsQuota(quota) {
		return ErrQuota
	}
	m.queueOf(j).remove(j)
	j.State, j.Attempt = wire.JobState_JOB_STATE_RUNNING, p.Attempt
	j.WorkerId, j.WorkerIncarnation, j.StartedAt, j.Reason = p.WorkerId, p.WorkerIncarnation, c.At, ""
	m.reserveTask(j)
	m.jobChanged(j)
	return nil
}

func (m *Machine) reserveTask(j *wire.Job) {
	need := ResourcesOf(j.Spec.Resources)
	w := m.workers[j.WorkerId]
	w.Committed = w.Committed.Add(need)
	w.Tasks[j.JobId] = j
	m.usedByAccount[j.Spec.ClientAccount] = m.usedByAccount[j.Spec.ClientAccount].Add(need)
	m.runningCount++
}

func (m *Machine) releaseTask(j *wire.Job) {
	need := ResourcesOf(j.Spec.Resources)
	w := m.workers[j.WorkerId]
	w.Committed = w.Committed.Sub(need)
	delete(w.Tasks, j.JobId)
	m.usedByAccount[j.Spec.ClientAccount] = m.usedByAccount[j.Spec.ClientAccount].Sub(need)
	m.runningCount--
}

// runningTask returns the job if the report is about its current attempt on that worker. A
// late report of an earlier attempt must be ignored: the job may be running elsewhere or
// have ended.
func (m *Machine) runningTask(r *wire.TaskReport, worker string) (*wire.Job, error) {
	j := m.jobs[r.JobId]
	if j == nil {
		return nil, ErrUnknownJob
	}
	if j.State != wire.JobState_JOB_STATE_RUNNING || j.Attempt != r.Attempt || (worker != "" && j.WorkerId != worker) {
		return j, ErrSuperseded
	}
	return j, nil
}

func (m *Machine) endTask(c *wire.Command, e *wire.EndTask) Result {
	j, err := m.runningTask(e.Report, e.WorkerId)
	if err != nil {
		return Result{Job: j, Err: err}
	}
	m.releaseTask(j)
	j.Checkpoint = max(j.Checkpoint, e.Report.Checkpoint)
	switch e.Report.State {
	case wire.TaskState_TASK_STATE_FINISHED:
		m.handleFinished(c, j, e.Report)
	case wire.TaskState_TASK_STATE_STOPPED:
		j.Evictions++
		m.requeue(c, j, "evicted")
	default:
		m.handleFailed(c, j, e.Report.Reason)
	}
	return Result{Job: j}
}

func (m *Machine) handleFinished(c *wire.Command, j *wire.Job, r *wire.TaskReport) {
	if j.Class == wire.JobClass_JOB_CLASS_STANDING && !j.CancelRequested {
		j.Failures++
		m.requeue(c, j, "standing task ended by itself")
		return
	}
	j.Result = r.Result
	m.finishedCount++
	m.setFinalState(c, j, wire.JobState_JOB_STATE_FINISHED, "")
}

func (m *Machine) handleFailed(c *wire.Command, j *wire.Job, reason string) {
	j.Failures++
	limit := m.Kind(j.Spec.ClientAccount, j.Spec.JobKind).GetMaxFailures()
	if limit == 0 {
		limit = defaultMaxFailures
	}
	if j.Class != wire.JobClass_JOB_CLASS_STANDING && j.Failures >= limit {
		m.setFinalState(c, j, wire.JobState_JOB_STATE_FAILED, reason)
		return
	}
	m.requeue(c, j, reason)
}

// requeue makes the job available for placement again unless its cancellation was
// requested.
func (m *Machine) requeue(c *wire.Command, j *wire.Job, reason string) {
	if j.CancelRequested {
		m.setFinalState(c, j, wire.JobState_JOB_STATE_CANCELLED, "cancelled")
		return
	}
	j.State, j.WorkerId, j.WorkerIncarnation, j.Reason = wire.JobState_JOB_STATE_QUEUED, "", "", reason
	j.EndedAt = c.At
	m.queueOf(j).push(j)
	m.jobChanged(j)
}

func (m *Machine) setFinalState(c *wire.Command, j *wire.Job, state wire.JobState, reason string) {
	j.State, j.Reason, j.EndedAt = state, reason, c.At
	m.jobChanged(j)
}

func (m *Machine) jobChanged(j *wire.Job) Result {
	if m.options.OnJobChange != nil {
		m.options.OnJobChange(j)
	}
	return Result{Job: j}
}

func (m *Machine) saveCheckpoints(s *wire.SaveCheckpoints) Result {
	for _, r := range s.Reports {
		if j, err := m.runningTask(r, ""); err == nil {
			j.Checkpoint = max(j.Checkpoint, r.Checkpoint)
		}
	}
	return Result{}
}

// loseWorker ends all attempts on a worker incarnation whose lease has expired. A job that
// isn't idempotent may have finished unreported, so its outcome is unknown. A job that
// crashes its workers never reports a failure and would be started on one worker after
// another, so crashes soon after a start are counted.
func (m *Machine) loseWorker(c *wire.Command, l *wire.LoseWorker) Result {
	w := m.workers[l.WorkerId]
	if w == nil || w.Record.Incarnation != l.Incarnation {
		return Result{Err: ErrUnknownWorker}
	}
	for _, j := range sortedTasks(w) {
		m.releaseTask(j)
		if l.Replaced && c.At.AsTime().Sub(j.StartedAt.AsTime()) < crashWindow {
			j.WorkerCrashes++
		}
		kind := m.Kind(j.Spec.ClientAccount, j.Spec.JobKind)
		switch {
		case j.Class != wire.JobClass_JOB_CLASS_STANDING && !kind.GetIdempotent():
			m.setFinalState(c, j, wire.JobState_JOB_STATE_OUTCOME_UNKNOWN, "worker lost; the attempt may have finished")
		case j.WorkerCrashes >= maxWorkerCrashes && !j.CancelRequested:
			m.setFinalState(c, j, wire.JobState_JOB_STATE_FAILED, "its workers crash soon after it has started there")
		default:
			m.requeue(c, j, "worker lost")
		}
	}
	delete(m.workers, l.WorkerId)
	m.sortedWorkers = nil
	return Result{}
}

func (m *Machine) quarantine(q *wire.Quarantine) Result {
	w := m.workers[q.WorkerId]
	if w == nil && m.quarantines[q.WorkerId] == "" {
		return Result{Err: ErrUnknownWorker}
	}
	if q.Release {
		delete(m.quarantines, q.WorkerId)
	} else {
		m.quarantines[q.WorkerId] = q.Reason
	}
	if w != nil {
		w.Quarantine = m.quarantines[q.WorkerId]
	}
	return Result{}
}

func (m *Machine) failJob(c *wire.Command, f *wire.FailJob) Result {
	j := m.jobs[f.JobId]
	if j == nil {
		return Result{Err: ErrUnknownJob}
	}
	if j.State != wire.JobState_JOB_STATE_QUEUED {
		return Result{Job: j, Err: ErrNotQueued}
	}
	m.queueOf(j).remove(j)
	m.setFinalState(c, j, wire.JobState_JOB_STATE_FAILED, f.Reason)
	return Result{Job: j}
}

// sweep removes dispatch records and ended jobs that are past their retention.
func (m *Machine) sweep(c *wire.Command) Result {
	now := c.At.AsTime()
	for k, d := range m.dispatches {
		if now.After(d.KeepUntil.AsTime()) {
			delete(m.dispatches, k)
		}
	}
	for id, j := range m.jobs {
		if isFinal(j.State) && now.After(j.EndedAt.AsTime().Add(m.options.Retention)) {
			delete(m.jobs, id)
			delete(m.jobIDByKey, accountKey(j.Spec.ClientAccount, j.IdempotencyKey))
		}
	}
	if len(m.removed.kinds)+len(m.removed.accounts) > 0 {
		m.keepTerms(m.terms())
	}
	return Result{}
}

func isFinal(s wire.JobState) bool {
	return s != wire.JobState_JOB_STATE_QUEUED && s != wire.JobState_JOB_STATE_RUNNING
}

// Ended reports whether a job is in a final state.
func Ended(j *wire.Job) bool {
	return isFinal(j.State)
}

// This file defines Apply and the commands about jobs and workers.

package state

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// Why a command changes nothing. The texts reach callers.
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

// Result is what a command came to. Which fields are set depends on it.
type Result struct {
	Err       error
	Job       *wire.Job
	Jobs      []*wire.Job
	Duplicate bool
	Apply     *wire.ApplyConfigurationResponse
	Dispatch  *wire.OpenDispatchResponse
	// Placed tells for each placement whether it holds.
	PlacementErrors []error
}

// Apply carries out one committed command.
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
	key := pairKey(s.Spec.ClientAccount, s.IdempotencyKey)
	if id, ok := m.keys[key]; ok {
		known := m.jobs[id]
		if !sameSubmission(known.Spec, s.Spec) {
			return Result{Err: ErrKeyReused}
		}
		return Result{Job: known, Duplicate: true}
	}
	kind := m.Kind(s.Spec.ClientAccount, s.Spec.JobKind)
	if kind == nil {
		return Result{Err: ErrUnknownKind}
	}
	spec := proto.Clone(s.Spec).(*wire.JobSpec)
	if spec.Resources == nil {
		spec.Resources = proto.Clone(kind.Resources).(*wire.Resources)
	}
	if err := m.canEverRun(spec); err != nil {
		return Result{Err: err}
	}
	m.nextSequence++
	j := &wire.Job{
		JobId: s.JobId, Spec: spec, State: wire.JobState_JOB_STATE_QUEUED,
		SubmittedAt: c.At, IdempotencyKey: s.IdempotencyKey,
		Sequence: m.nextSequence, Class: kind.Class,
	}
	m.jobs[j.JobId], m.keys[key] = j, j.JobId
	m.queueOf(j).push(j)
	return m.changed(j)
}

// sameSubmission compares what a caller sent; resources it left out were
// filled in from the job kind as it was then.
func sameSubmission(known, sent *wire.JobSpec) bool {
	if sent.Resources == nil {
		known = proto.Clone(known).(*wire.JobSpec)
		known.Resources = nil
	}
	return proto.Equal(known, sent)
}

// canEverRun refuses what no wait could help. A system with no worker yet
// can't tell, and takes the job.
func (m *Machine) canEverRun(spec *wire.JobSpec) error {
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
			m.finish(c, j, wire.JobState_JOB_STATE_CANCELLED, "cancelled")
		case wire.JobState_JOB_STATE_RUNNING:
			j.CancelRequested = true
			m.changed(j)
		default:
		}
		res.Jobs = append(res.Jobs, j)
	}
	return res
}

func (m *Machine) registerWorker(w *wire.Worker) Result {
	known := m.workers[w.WorkerId]
	if known == nil {
		m.addWorker(w)
		return Result{}
	}
	if known.Record.Incarnation != w.Incarnation && len(known.Tasks) > 0 {
		return Result{Err: ErrWorkerBusy}
	}
	if !known.Committed.FitsIn(ResourcesOf(w.Capacity)) {
		return Result{Err: ErrInsufficientCapacity}
	}
	known.Record = w
	return Result{}
}

func (m *Machine) placeTasks(c *wire.Command, p *wire.PlaceTasks) Result {
	var res Result
	for _, placement := range p.Placements {
		res.PlacementErrors = append(res.PlacementErrors, m.place(c, placement))
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
	quota := ResourcesOf(m.accounts[j.Spec.ClientAccount].GetQuota())
	if !m.used[j.Spec.ClientAccount].Add(need).FitsQuota(quota) {
		return ErrQuota
	}
	m.queueOf(j).remove(j)
	j.State, j.Attempt = wire.JobState_JOB_STATE_RUNNING, p.Attempt
	j.WorkerId, j.WorkerIncarnation, j.StartedAt, j.Reason = p.WorkerId, p.WorkerIncarnation, c.At, ""
	m.commitTask(j)
	m.changed(j)
	return nil
}

func (m *Machine) commitTask(j *wire.Job) {
	need := ResourcesOf(j.Spec.Resources)
	w := m.workers[j.WorkerId]
	w.Committed = w.Committed.Add(need)
	w.Tasks[j.JobId] = j
	m.used[j.Spec.ClientAccount] = m.used[j.Spec.ClientAccount].Add(need)
	m.running++
}

func (m *Machine) releaseTask(j *wire.Job) {
	need := ResourcesOf(j.Spec.Resources)
	w := m.workers[j.WorkerId]
	w.Committed = w.Committed.Sub(need)
	delete(w.Tasks, j.JobId)
	m.used[j.Spec.ClientAccount] = m.used[j.Spec.ClientAccount].Sub(need)
	m.running--
}

// heldBy returns the job if the report is about its running attempt on that
// worker. A late report of an earlier attempt must change nothing: the job
// may be running elsewhere or have ended.
func (m *Machine) heldBy(r *wire.TaskReport, worker string) (*wire.Job, error) {
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
	j, err := m.heldBy(e.Report, e.WorkerId)
	if err != nil {
		return Result{Job: j, Err: err}
	}
	m.releaseTask(j)
	j.Checkpoint = max(j.Checkpoint, e.Report.Checkpoint)
	switch e.Report.State {
	case wire.TaskState_TASK_STATE_FINISHED:
		m.endFinished(c, j, e.Report)
	case wire.TaskState_TASK_STATE_STOPPED:
		j.Evictions++
		m.requeue(c, j, "evicted")
	default:
		m.endFailed(c, j, e.Report.Reason)
	}
	return Result{Job: j}
}

func (m *Machine) endFinished(c *wire.Command, j *wire.Job, r *wire.TaskReport) {
	if j.Class == wire.JobClass_JOB_CLASS_STANDING && !j.CancelRequested {
		j.Failures++
		m.requeue(c, j, "standing task ended by itself")
		return
	}
	j.Result = r.Result
	m.finished++
	m.finish(c, j, wire.JobState_JOB_STATE_FINISHED, "")
}

func (m *Machine) endFailed(c *wire.Command, j *wire.Job, reason string) {
	j.Failures++
	limit := m.Kind(j.Spec.ClientAccount, j.Spec.JobKind).GetMaxFailures()
	if limit == 0 {
		limit = defaultMaxFailures
	}
	if j.Class != wire.JobClass_JOB_CLASS_STANDING && j.Failures >= limit {
		m.finish(c, j, wire.JobState_JOB_STATE_FAILED, reason)
		return
	}
	m.requeue(c, j, reason)
}

// requeue lets the job be placed again, unless its cancellation was asked for.
func (m *Machine) requeue(c *wire.Command, j *wire.Job, reason string) {
	if j.CancelRequested {
		m.finish(c, j, wire.JobState_JOB_STATE_CANCELLED, "cancelled")
		return
	}
	j.State, j.WorkerId, j.WorkerIncarnation, j.Reason = wire.JobState_JOB_STATE_QUEUED, "", "", reason
	j.EndedAt = c.At
	m.queueOf(j).push(j)
	m.changed(j)
}

func (m *Machine) finish(c *wire.Command, j *wire.Job, state wire.JobState, reason string) {
	j.State, j.Reason, j.EndedAt = state, reason, c.At
	m.changed(j)
}

func (m *Machine) changed(j *wire.Job) Result {
	if m.options.OnJobChange != nil {
		m.options.OnJobChange(j)
	}
	return Result{Job: j}
}

func (m *Machine) saveCheckpoints(s *wire.SaveCheckpoints) Result {
	for _, r := range s.Reports {
		if j, err := m.heldBy(r, ""); err == nil {
			j.Checkpoint = max(j.Checkpoint, r.Checkpoint)
		}
	}
	return Result{}
}

// loseWorker ends all attempts on an incarnation whose lease has run out. An
// attempt that must not run twice may have finished unheard, so its job ends
// with its outcome unknown. A job that ends its workers would be started on one
// after the other for as long as there are any, since none of them reports a
// failure; so crashes are counted for what had just been started.
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
			m.finish(c, j, wire.JobState_JOB_STATE_OUTCOME_UNKNOWN, "worker lost; the attempt may have finished")
		case j.WorkerCrashes >= maxWorkerCrashes && !j.CancelRequested:
			m.finish(c, j, wire.JobState_JOB_STATE_FAILED, "its workers crash soon after it has started there")
		default:
			m.requeue(c, j, "worker lost")
		}
	}
	delete(m.workers, l.WorkerId)
	m.sorted = nil
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
	m.finish(c, j, wire.JobState_JOB_STATE_FAILED, f.Reason)
	return Result{Job: j}
}

// sweep forgets what is older than its retention.
func (m *Machine) sweep(c *wire.Command) Result {
	now := c.At.AsTime()
	for key, d := range m.dispatches {
		if now.After(d.KeepUntil.AsTime()) {
			delete(m.dispatches, key)
		}
	}
	for id, j := range m.jobs {
		if ended(j.State) && now.After(j.EndedAt.AsTime().Add(m.options.Retention)) {
			delete(m.jobs, id)
			delete(m.keys, pairKey(j.Spec.ClientAccount, j.IdempotencyKey))
		}
	}
	return Result{}
}

func ended(s wire.JobState) bool {
	return s != wire.JobState_JOB_STATE_QUEUED && s != wire.JobState_JOB_STATE_RUNNING
}

// Ended tells whether a job has reached its final state.
func Ended(j *wire.Job) bool {
	return ended(j.State)
}

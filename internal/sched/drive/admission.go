// This file defines the admission of jobs at their submission.

package drive

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/sched/admit"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// sumsMaxAge is how long the sums of waiting and running work are used. Adding them up
	// for each submission would take long with the longest backlogs.
	sumsMaxAge = 50 * time.Millisecond
	// submissionMemory is how long the ids of accepted submissions are kept. Each is applied
	// or lost long before.
	submissionMemory = time.Minute
	// memoryMaxAge is how long the estimate of what all jobs take is used.
	memoryMaxAge = time.Second
	// memoryLogInterval is the least time between two log lines about refusals for memory.
	memoryLogInterval = 10 * time.Second
)

// knownJobBytes and submittedJobBytes are what jobs take at this leader by estimate, as of the
// latest submission: jobs that are known, and submissions that may come to be.
var knownJobBytes, submittedJobBytes atomic.Int64

func init() {
	metrics.NewGauge(`sycamoredeck_job_memory_bytes{part="known"}`, func() float64 { return float64(knownJobBytes.Load()) })
	metrics.NewGauge(`sycamoredeck_job_memory_bytes{part="submitted"}`, func() float64 { return float64(submittedJobBytes.Load()) })
}

// jobsRefused counts refused jobs by reason.
var jobsRefused = map[admit.Reason]*metrics.Counter{
	admit.NoAgent: metrics.NewCounter(`sycamoredeck_jobs_refused_total{reason="no_agent"}`),
	admit.Backlog: metrics.NewCounter(`sycamoredeck_jobs_refused_total{reason="backlog"}`),
	admit.Memory:  metrics.NewCounter(`sycamoredeck_jobs_refused_total{reason="memory"}`),
}

type (
	// admission is the soft state of the admission of jobs in one term. The zero value is
	// that of a new term.
	admission struct {
		term uint64
		// accepted holds the ids of the jobs that may be in the log.
		accepted    map[string]*acceptedJob
		nextCleanup time.Duration
		// known and submitted estimate what jobs take: those that were known at measuredAt,
		// and those that weren't known then or were accepted since.
		known, submitted int64
		measuredAt       time.Duration
		nextMemoryLog    time.Duration
		// drained is the work that ended, and waiting the work that waits and can still be
		// of worth, in millicores times milliseconds of declared time. running is the
		// requested CPU of all runs but standing ones, in millicores.
		drained  map[workKind]*admit.Rate
		waiting  map[workKey]float64
		running  map[workKind]float64
		summedAt time.Duration // waiting and running
	}

	// acceptedJob is a job that may be in the log without being known yet.
	acceptedJob struct {
		at      time.Duration
		size    int64 // estimate in bytes
		pending int   // submissions that haven't ended
		// mayBeInLog is set once one of them has ended so that the job may be in the log.
		mayBeInLog bool
	}

	// workKind identifies work that competes for the same CPU.
	workKind struct {
		pool          string
		opportunistic bool
	}

	workKey struct {
		workKind
		queue string
	}
)

// Submission is a job that is about to be proposed.
type Submission struct {
	Queue, Job string
	Spec       *wire.WorkSpec
	// Term is the term of the leader, and Leased whether it certainly still leads.
	Term   uint64
	Leased bool
}

// Admit decides whether a job is accepted. It must be called on the event loop, for a job that is
// proposed right afterwards if it isn't refused, and no other: it is counted until it is known.
// Ended must be called once the proposal has ended, and gives back what the job was counted with,
// unless it may be in the log.
//
// The id of a job that exists, or that was accepted in this term and may still be in the
// log, is always accepted: the caller may not have received the answer. Without the lease
// every job is accepted, since another leader may have accepted it before.
func (e *Engine) Admit(s Submission) (ended func(mayBeInLog bool), refusal *admit.Refusal) {
	if e.graph.Job(s.Job) != nil {
		return func(bool) {}, nil
	}
	a := e.admissionOf(s.Term)
	ended = func(mayBeInLog bool) { e.endSubmission(s, mayBeInLog) }
	if j := a.accepted[s.Job]; j != nil {
		j.pending++
		return ended, nil
	}
	size := graph.SpecBytes(s.Spec)
	if s.Leased && e.term == s.Term {
		if r := e.refusalByMemory(a, s, size); r != nil {
			return nil, r
		}
		if e.enabled(JobAdmission) {
			if r := e.refusal(a, s.Queue, s.Job, s.Spec); r != nil {
				return nil, r
			}
		}
	}
	a.accepted[s.Job] = &acceptedJob{at: e.now, size: size, pending: 1}
	a.addSubmitted(size)
	return ended, nil
}

// endSubmission ends a submission that was counted.
func (e *Engine) endSubmission(s Submission, mayBeInLog bool) {
	a := &e.admission
	j := a.accepted[s.Job]
	if a.term != s.Term || j == nil {
		return // a new term counts anew, and jobs aren't remembered for ever
	}
	j.pending--
	j.mayBeInLog = j.mayBeInLog || mayBeInLog
	if j.pending == 0 && !j.mayBeInLog {
		delete(a.accepted, s.Job)
		a.addSubmitted(-j.size)
	}
}

func (a *admission) addSubmitted(bytes int64) {
	a.submitted += bytes
	knownJobBytes.Store(a.known)
	submittedJobBytes.Store(a.submitted)
}

// CheckSize returns an error if a job takes more memory than any job may.
func (e *Engine) CheckSize(spec *wire.WorkSpec) error {
	if size := graph.SpecBytes(spec); !admit.FitsMemory(size, e.options.JobMemory) {
		return fmt.Errorf("%w: the job takes %d MB of memory", graph.ErrInvalid, size>>20)
	}
	return nil
}

// refusalByMemory refuses a job that finds no memory, or returns nil.
func (e *Engine) refusalByMemory(a *admission, s Submission, size int64) *admit.Refusal {
	if e.options.JobMemory == 0 {
		return nil
	}
	if a.measuredAt == 0 || e.now-a.measuredAt >= memoryMaxAge {
		a.known, a.submitted, a.measuredAt = e.graph.JobBytes(), 0, e.now
		for id, j := range a.accepted {
			if e.graph.Job(id) == nil && e.now-j.at < submissionMemory {
				a.submitted += j.size
			}
		}
	}
	d := admit.DecideByMemory(size, a.known+a.submitted, e.options.JobMemory)
	if d.Reason == admit.Accepted {
		return nil
	}
	jobsRefused[d.Reason].Inc()
	if e.now >= a.nextMemoryLog {
		a.nextMemoryLog = e.now + memoryLogInterval
		e.options.Logger.Warn("jobs refused for memory", "job", s.Job, "queue", s.Queue, "bytes", size, "known_bytes", a.known, "submitted_bytes", a.submitted,
			"submissions", len(a.accepted), "limit", e.options.JobMemory)
	}
	return &admit.Refusal{Decision: d}
}

// admissionOf returns the state of the admission in a term.
func (e *Engine) admissionOf(term uint64) *admission {
	a := &e.admission
	if a.term != term || a.accepted == nil {
		*a = admission{term: term, accepted: map[string]*acceptedJob{}, drained: map[workKind]*admit.Rate{}}
	}
	if e.now >= a.nextCleanup {
		a.nextCleanup = e.now + submissionMemory/10
		for id, j := range a.accepted {
			if e.now-j.at > submissionMemory {
				delete(a.accepted, id)
			}
		}
	}
	return a
}

// refusal returns why a job is refused, or nil.
func (e *Engine) refusal(a *admission, queue, id string, spec *wire.WorkSpec) *admit.Refusal {
	q := e.graph.Queue(queue)
	if q == nil {
		return nil
	}
	request := admit.Request{
		Spec: spec, TermAge: e.now - e.leaderSince, Objective: e.submissionObjective(q, spec),
		Ordinary:      e.loadOf(a, q, workKind{q.Pool, false}),
		Opportunistic: e.loadOf(a, q, workKind{q.Pool, true}),
		HasRoom:       func(s *wire.Step) bool { return e.hasRoom(q.Pool, s) },
	}
	for _, r := range e.agents.byPool[q.Pool] {
		request.Agents = append(request.Agents, r.record)
	}
	d := admit.Decide(request)
	if d.Reason == admit.Accepted {
		return nil
	}
	jobsRefused[d.Reason].Inc()
	load := request.Ordinary
	if spec.Steps[d.Step].Opportunistic {
		load = request.Opportunistic
	}
	e.options.Logger.Info("job refused", "job", id, "queue", queue, "reason", d.Reason.String(), "step", d.Step, "agents", len(request.Agents),
		"waiting_core_ms", load.WaitingWork/1000, "drain_cores", load.DrainMillis/1000, "begin_ms", d.Begin.Milliseconds(), "limit_ms", d.Limit.Milliseconds(),
		"retry_after_s", d.RetryAfter.Seconds(), "term_age_ms", request.TermAge.Milliseconds())
	return &admit.Refusal{Decision: d}
}

// submissionObjective returns the objective of a job that isn't accepted yet; at least the
// one by its declared times.
func (e *Engine) submissionObjective(q *wire.Queue, spec *wire.WorkSpec) time.Duration {
	paths := make([]time.Duration, len(spec.Steps))
	var chain time.Duration
	for i, s := range spec.Steps {
		for _, d := range s.After {
			paths[i] = max(paths[i], paths[d])
		}
		declared := time.Duration(s.EstimateMs) * time.Millisecond
		factor := 1.0
		if e.enabled(EstimateDurations) {
			factor = max(e.estimates.queues[q.Name].factor(declared), 1)
		}
		paths[i] += time.Duration(float64(declared) * factor)
		chain = max(chain, paths[i])
	}
	return time.Duration(float64(chain)*max(q.GetStretch(), 1)) + q.GetTarget().AsDuration()
}

// loadOf returns the work of a kind that a job of a queue competes with. The rate is the
// higher one of what has ended lately and what runs now.
func (e *Engine) loadOf(a *admission, q *wire.Queue, kind workKind) admit.Load {
	e.updateSums(a)
	load := admit.Load{DrainMillis: a.running[kind]}
	for k, w := range a.waiting {
		if k.workKind == kind && (k.queue == q.Name || e.graph.Queue(k.queue).GetPriority() < q.Priority) {
			load.WaitingWork += w
		}
	}
	if r := a.drained[kind]; r != nil {
		load.DrainMillis = max(load.DrainMillis, r.PerMillisecond(e.now))
	}
	return load
}

// updateSums adds up the waiting work that can still be of worth, and the running work.
// Standing stages don't drain.
func (e *Engine) updateSums(a *admission) {
	if a.waiting != nil && e.now-a.summedAt < sumsMaxAge {
		return
	}
	a.waiting, a.running, a.summedAt = map[workKey]float64{}, map[workKind]float64{}, e.now
	e.queue.each(func(r *rankedStage) bool {
		if r.prospect != tooLate && !r.stage.Standing() {
			a.waiting[workKey{e.workKindOf(r.stage), r.stage.Job.Queue}] += workOf(r.stage.Step) * float64(r.stage.Unplaced)
		}
		return true
	})
	for t := range e.runs {
		if !t.Stage.Standing() {
			a.running[e.workKindOf(t.Stage)] += float64(t.Stage.Step.CpuMillis)
		}
	}
}

func (e *Engine) workKindOf(s *graph.Stage) workKind {
	return workKind{e.poolOf(s.Job), s.Step.Opportunistic}
}

// workOf returns the work of a task of a step.
func workOf(s *wire.Step) float64 { return float64(s.CpuMillis) * float64(s.EstimateMs) }

// hasRoom reports whether an agent has capacity free for a task, as of the latest pass.
func (e *Engine) hasRoom(pool string, s *wire.Step) bool {
	for _, f := range e.freeByPool[pool] {
		free := f.cpuMillis >= float64(s.CpuMillis)
		if s.Opportunistic {
			free = f.reclaimable >= defaultCPU(s)
		}
		if free && f.memoryMB >= float64(s.MemoryMb) && f.accelerators >= float64(s.Accelerators) &&
			(s.RequiredLabel == "" || hasLabel(f.agent.record, s.RequiredLabel)) {
			return true
		}
	}
	return false
}

// recordDrained records the work of a task that has ended, for the rate at which work
// drains.
func (e *Engine) recordDrained(t *graph.Task, outcome wire.RunOutcome) {
	if !e.enabled(JobAdmission) || outcome != wire.RunOutcome_RUN_OUTCOME_DONE || t.Stage.Standing() {
		return
	}
	a := e.admissionOf(e.term)
	kind := e.workKindOf(t.Stage)
	if a.drained[kind] == nil {
		a.drained[kind] = &admit.Rate{}
	}
	a.drained[kind].Add(e.now, workOf(t.Stage.Step))
}

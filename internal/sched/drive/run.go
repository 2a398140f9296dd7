// This file defines the soft state of a run and how its orders are resolved.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

type phase int

const (
	// phaseUnknown: an earlier leader may have started it.
	phaseUnknown phase = iota
	// phaseStarting: a start order is in flight.
	phaseStarting
	// phaseUnresolved: a start is due, for the first time or again. While startsSent and
	// startsAnswered differ, an earlier one may still be executed.
	phaseUnresolved
	// phaseRunning: the agent has confirmed the run.
	phaseRunning
	// phaseClosed: the agent has confirmed that it will not start the run from now on.
	// The run may have ended there.
	phaseClosed
)

const (
	fullPercent = 100
	// unknownPercent: an earlier leader may have throttled the run.
	unknownPercent = -1
	// startRetryInterval is the pause before an unanswered start is repeated.
	startRetryInterval = 100 * time.Millisecond
	// stopRetryInterval is the pause before a stop is repeated. It is longer than the
	// round trip and shorter than the agent's stop grace.
	stopRetryInterval = 500 * time.Millisecond
	// throttleRetryInterval is the pause before a failed throttle order is repeated.
	throttleRetryInterval = 300 * time.Millisecond
	// leaveMargin, in addition to StopGrace, is how long before an agent leaves its
	// checkpointable runs are stopped.
	leaveMargin = 400 * time.Millisecond
)

// run is the soft state of a run that may exist on an agent.
type run struct {
	task   *graph.Task
	number uint32
	agent  *agent
	phase  phase
	// startsSent and startsAnswered count the starts of this leader and their answers.
	// While they differ, a start may still be in flight.
	startsSent, startsAnswered int
	nextStart                  time.Duration
	// startWaiting is set while the run is in Engine.starts, with startPriority since startDueAt.
	startWaiting     bool
	startPriority    uint32
	startDueAt       time.Duration
	trackedAt        time.Duration // when this leader began to track it
	startedAt        time.Duration // when it was first known to be running
	closedAt         time.Duration // when it entered phaseClosed
	confirmedAt      time.Duration // when the agent last confirmed it
	firstConfirmedAt time.Duration // when the agent first confirmed it; 0 before

	stopReason  string
	stopPending bool // a stop order is in flight
	nextStop    time.Duration
	stopsSent   int
	lastStop    string // the outcome of the latest answered stop, for logs
	// jobEndedAt is when this leader learned that the run's job has ended; 0 before.
	jobEndedAt time.Duration
	// reportedObstacle is what kept the run from being stopped when it was last reported.
	reportedObstacle stopObstacle

	checkpoint      string // the latest that the agent reported
	progressPercent int
	progressAt      time.Duration
	slowness        float64 // its run time relative to the expected one, by its latest progress; 0 if unknown
	// speedFrom and speedSince are the progress from which slowness is measured next.
	speedFrom        int
	speedSince       time.Duration
	expectedDuration time.Duration // on a sound agent; 0 if not computed yet
	moveTo           *agent        // where there was capacity for it when it was stopped as slow
	usage            int           // as RunStatus.Usage
	usageAt          time.Duration
	cpuPercent       int
	targetPercent    int
	throttlePending  bool
	nextThrottle     time.Duration
	throttledAt      time.Duration // when cpuPercent last changed
	// previousPercent is cpuPercent before its last change.
	previousPercent int
	baseline        tails.Baseline // of a standing run
	// peakBaseline caches peakBaselineOf as of peakAt, for the reading at peakReadingAt.
	peakBaseline          float64
	peakReadingAt, peakAt time.Duration
	// listedAt is when the agent last listed a run of the task, running or ended.
	listedAt        time.Duration
	overTargetSince time.Duration // since when its tail latency exceeds the target; 0 if it doesn't
	endPending      bool          // its end is being committed
}

func (r *run) recordStatus(now time.Duration, s *RunStatus) {
	if r.phase != phaseRunning {
		r.phase = phaseRunning
		r.startedAt, r.progressAt = now, now
	}
	if s.ProgressPercent != r.progressPercent {
		r.progressPercent, r.progressAt = s.ProgressPercent, now
	}
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	r.usage, r.usageAt = s.Usage, now
	r.confirm(now)
}

// confirm records that the agent reported the run as present.
func (r *run) confirm(now time.Duration) {
	r.confirmedAt = now
	if r.firstConfirmedAt == 0 {
		r.firstConfirmedAt = now
	}
}

// reasonToStop returns why a run has to be stopped, or "".
func (e *Engine) reasonToStop(r *run) string {
	j := r.task.Stage.Job
	switch {
	case j.Ended():
		return "job ended"
	case r.task.Done:
		return "task is done"
	case r.agent.record.Terminating:
		return "agent terminates"
	case r.agent.record.Leaving && e.shouldMigrate(r):
		return "agent is leaving"
	default:
		return r.stopReason
	}
}

// shouldMigrate reports whether a run has to be stopped because its agent is leaving.
// Standing runs are stopped at once, as the shutdown would end them anyway; others
// shortly before it, and only if they can save a checkpoint.
func (e *Engine) shouldMigrate(r *run) bool {
	if r.task.Stage.Standing() {
		return true
	}
	if !r.task.Stage.Step.Checkpointable || r.agent.leavesAt == 0 {
		return false
	}
	return e.now > r.agent.leavesAt-e.options.StopGrace-leaveMargin
}

// reconcileRun sends the orders that are due for a run.
func (e *Engine) reconcileRun(r *run) {
	if !r.agent.synced || r.agent.dropping || r.endPending {
		return
	}
	if r.waitsToStart() {
		if reason := e.reasonNotToStart(r); reason != "" {
			e.starts.remove(r)
			e.abandonStart(r, reason)
			return
		}
	}
	if reason := e.reasonToStop(r); reason != "" {
		e.reconcileStop(r, reason)
		// The run uses the CPU until it has stopped, which can take the whole grace
		// period.
		if r.phase == phaseRunning && r.targetPercent == 0 {
			e.reconcileThrottle(r)
		}
		return
	}
	switch r.phase {
	case phaseUnresolved:
		switch {
		case r.agent.failedPolls > 0 && r.startsSent == r.startsAnswered:
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "agent unreachable before the start was sent")
		case e.now >= r.nextStart && r.agent.leaseRenewable():
			// While polls fail as well, another start is unlikely to arrive.
			e.queueStart(r)
		}
	case phaseRunning:
		e.checkProgress(r)
		e.reconcileThrottle(r)
	}
}

func (e *Engine) reconcileStop(r *run, reason string) {
	if r.stopPending || e.now < r.nextStop || r.phase == phaseClosed {
		return
	}
	if r.phase == phaseUnknown && r.startsSent == 0 && !r.agent.synced {
		return
	}
	e.logStop(r, reason)
	r.stopPending = true
	r.stopsSent++
	e.send(r.agent, Order{Kind: Stop, Run: r.id()})
}

func (r *run) id() *wire.RunId {
	id := r.task.ID()
	id.Run = r.number
	return id
}

// reasonNotToStart returns why a run must not be started any more, or "".
func (e *Engine) reasonNotToStart(r *run) string {
	if reason := e.reasonToStop(r); reason != "" {
		return reason
	}
	// The record of the agent may be older than the state.
	registered := e.graph.Agent(r.agent.record.Id)
	switch {
	case registered == nil || registered.Record.Leaving:
		return "agent is leaving"
	case e.drained(r.agent):
		return "failure domain is drained"
	case !e.healthAllowsStart(r.agent, r.task):
		return "agent has failed runs"
	default:
		return ""
	}
}

// start sends the start order, for the first time or again, unless the run must not be started
// any more. It is called by sendStarts only.
func (e *Engine) start(r *run) {
	if reason := e.reasonNotToStart(r); reason != "" {
		e.abandonStart(r, reason)
		return
	}
	if !r.agent.leaseRenewable() || !e.capacityKnown(r.agent) {
		// The deadline would renew the lease of an agent that may be gone, or the agent's
		// capacity isn't known yet.
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
		return
	}
	deadline := r.agent.clock.grantLease(e.now, e.options.Lease)
	if deadline == 0 {
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
		return
	}
	if !e.enforcesCapacity(r.agent) && e.freeResourcesOf(r.agent).overcommitted() {
		e.abandonStart(r, "agent capacity shrank")
		return
	}
	ticket := ""
	if e.advicePolicyOf(r.task.Stage) != nil {
		var valid bool
		if ticket, valid = e.ticketFor(r.task.Stage, r.agent.record.Id); !valid {
			// The ticket has expired, or an earlier leader got it.
			e.abandonStart(r, "no valid ticket")
			return
		}
	}
	if r.cpuPercent == unknownPercent {
		r.cpuPercent = fullPercent
	}
	r.phase = phaseStarting
	r.startsSent++
	r.agent.startsInFlight++
	e.starts.inFlight++
	e.send(r.agent, Order{
		Kind: Start, Run: r.id(), Payload: r.task.Stage.Job.Spec.Payload,
		Checkpoint: r.task.Checkpoint, Deadline: deadline, Ticket: ticket, waited: e.now - r.trackedAt,
	})
}

// abandonStart cancels a run that must not be started any more: at once if every start
// that was sent was refused, otherwise after a stop has closed it.
func (e *Engine) abandonStart(r *run, reason string) {
	if r.startsSent == r.startsAnswered {
		e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, reason)
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	r.stopReason = reason
}

func (e *Engine) findRun(a *agent, id *wire.RunId) *run {
	t := e.graph.FindTask(id)
	r := e.runs[t]
	if t == nil || r == nil || r.agent != a || r.number != id.Run {
		return nil
	}
	return r
}

func (e *Engine) handleStartAnswer(a *agent, ans Answer) {
	e.logStart(a, ans)
	e.reportLateStart(a, ans)
	r := e.findRun(a, ans.Order.Run)
	if r == nil {
		return
	}
	if ans.Verdict != NoAnswer {
		r.startsAnswered++
	}
	if r.phase == phaseRunning || r.phase == phaseClosed || r.endPending {
		return
	}
	if ans.Verdict != Accepted {
		e.options.Logger.Info("start refused or unanswered", "job", ans.Order.Run.Job, "step", ans.Order.Run.Step, "index", ans.Order.Run.Index,
			"run", r.number, "agent", a.record.Id, "verdict", ans.Verdict.String(), "detail", ans.Detail, "sends", r.startsSent)
	}
	switch ans.Verdict {
	case Accepted:
		r.phase = phaseRunning
		r.startedAt, r.progressAt = e.now, e.now
		r.confirm(e.now)
		a.nextPoll = e.now // to learn of its completion
		e.recordStarted(r, ans)
	case NoAnswer, RefusedExpired, RefusedFence, NoConnection, Outdated:
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	case RefusedStale:
		r.phase, r.closedAt = phaseClosed, e.now
	case RefusedTicket:
		delete(e.adviceOf(r.task.Stage).tickets, a.record.Id)
		delete(e.adviceOf(r.task.Stage).asked, a.record.Id)
		e.resolveRefusedStart(r, ans)
	default:
		a.backoffUntil = e.now + refusalBackoff
		e.resolveRefusedStart(r, ans)
	}
}

// resolveRefusedStart ends a run whose start was refused. While an earlier copy of the
// start is unanswered it may still arrive, so the run is closed by a stop first.
func (e *Engine) resolveRefusedStart(r *run, ans Answer) {
	if r.startsSent == r.startsAnswered {
		e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, ans.Verdict.String())
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	r.stopReason = "start refused while an earlier copy may be in flight"
}

func (e *Engine) handleStopAnswer(a *agent, ans Answer) {
	r := e.findRun(a, ans.Order.Run)
	if r == nil {
		return
	}
	r.stopPending, r.nextStop, r.lastStop = false, e.now+stopRetryInterval, ans.Verdict.String()
	if ans.Verdict != Accepted {
		e.options.Logger.Info("stop refused or unanswered", "job", ans.Order.Run.Job, "run", r.number, "agent", a.record.Id, "verdict", ans.Verdict.String(), "detail", ans.Detail)
		return
	}
	r.phase, r.closedAt = phaseClosed, e.now
}

// resolveMissingRuns resolves the runs that the agent doesn't list in its answer to a
// poll.
func (e *Engine) resolveMissingRuns(a *agent, ans Answer) {
	if len(ans.Completions) >= maxListedCompletions {
		return // the list may be truncated
	}
	for _, r := range a.sortedRuns {
		if r.listedAt == e.now || r.endPending {
			continue
		}
		e.resolveMissingRun(r, ans.Order.SentAt)
	}
}

// maxListedCompletions is the longest list of completions in one answer.
const maxListedCompletions = 500

func (e *Engine) resolveMissingRun(r *run, polledAt time.Duration) {
	switch r.phase {
	case phaseUnknown:
		// The agent refuses orders of earlier leaders and doesn't list the run, so it was
		// never started.
		if e.reasonToStop(r) != "" {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "start of an earlier leader never arrived")
			return
		}
		e.queueStart(r)
	case phaseClosed:
		if polledAt >= r.closedAt {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "closed and missing from agent report")
		}
	case phaseRunning:
		if polledAt >= r.confirmedAt {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_LOST, "missing from agent report")
		}
	case phaseStarting, phaseUnresolved:
	}
}

// resolve commits the end of a run for which the agent listed no completion.
func (e *Engine) resolve(r *run, outcome wire.RunOutcome, reason string) {
	r.endPending = true
	id := r.id()
	e.options.Logger.Info("run resolved without report", "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run, "agent", r.agent.record.Id, "outcome", outcome.String(), "reason", reason)
	end := &wire.RunEnd{Id: id, Agent: r.agent.record.Id, Outcome: outcome}
	e.commitEnds([]*wire.RunEnd{end}, func(ok bool) {
		if !ok {
			r.endPending = false
		}
	})
}

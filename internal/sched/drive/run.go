// This file defines what the leader knows of a run and how orders about it are
// settled.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

type phase int

const (
	// phaseUnknown: an earlier leader may have ordered it.
	phaseUnknown phase = iota
	// phaseStarting: a start is on its way.
	phaseStarting
	// phaseUnresolved: a start had no answer and may yet be carried out.
	phaseUnresolved
	// phaseRunning: the agent said that it is there.
	phaseRunning
	// phaseClosed: the agent said that it will never start it from now on; it
	// may have ended there.
	phaseClosed
)

const (
	fullPercent = 100
	// unknownPercent is that of a run which an earlier leader may have slowed.
	unknownPercent = -1
	// startRetryInterval is the pause before a start without an answer is sent again.
	startRetryInterval = 100 * time.Millisecond
	// stopRetryInterval is the pause before a stop without an effect is sent again;
	// more than the agent's answer takes, less than its grace.
	stopRetryInterval = 500 * time.Millisecond
	// throttleRetryInterval is the pause before a pace that wasn't taken is ordered again.
	throttleRetryInterval = 300 * time.Millisecond
	// leaveMargin is how long before an agent leaves its checkpointable work is
	// stopped, beside the time that a stop takes.
	leaveMargin = 400 * time.Millisecond
)

// run is the soft state of a run that may exist.
type run struct {
	task   *graph.Task
	number uint32
	agent  *agent
	phase  phase
	// sends counts the starts sent by this leader, answered those that had an
	// answer. While they differ, a start may yet arrive.
	startsSent, startsAnswered int
	nextStart                  time.Duration
	trackedAt                  time.Duration // when this leader first knew it
	startedAt                  time.Duration // when it was first known to run
	closedAt                   time.Duration // when it was closed
	confirmedAt                time.Duration // when the agent last said that it is there
	firstConfirmedAt           time.Duration // when it first said so; 0 before

	stopReason  string
	stopPending bool // a stop is on its way
	nextStop    time.Duration

	checkpoint      string // the latest that the agent told
	progressPercent int
	progressAt      time.Duration
	usage           int
	usageAt         time.Duration
	cpuPercent      int
	targetPercent   int
	throttlePending bool
	nextThrottle    time.Duration
	throttledAt     time.Duration // when the pace last changed
	// previousPercent is what the pace was before that.
	previousPercent int
	baseline        tails.Baseline // load of a standing run
	// peak is what highest told at peakAt, by the reading of peakReadingAt.
	peakBaseline          float64
	peakReadingAt, peakAt time.Duration
	// listedAt is when the agent last listed a run of the task, running or ended.
	listedAt        time.Duration
	overTargetSince time.Duration // since when its tail is over its target; 0 when it isn't
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

// confirm notes that the agent said that the run is there.
func (r *run) confirm(now time.Duration) {
	r.confirmedAt = now
	if r.firstConfirmedAt == 0 {
		r.firstConfirmedAt = now
	}
}

// reasonToStop tells why a run should be stopped; empty when it shouldn't.
func (e *Engine) reasonToStop(r *run) string {
	j := r.task.Stage.Job
	switch {
	case j.Ended():
		return "its job has ended"
	case r.task.Done:
		return "its task is done"
	case r.agent.record.Leaving && e.shouldMigrate(r):
		return "its agent is leaving"
	default:
		return r.stopReason
	}
}

// shouldMigrate tells whether a run on a leaving agent should be moved now.
// Standing work moves at once, since it would be cut off anyway; other work
// only when it could save its progress and can't finish.
func (e *Engine) shouldMigrate(r *run) bool {
	if r.task.Stage.Standing() {
		return true
	}
	if !r.task.Stage.Step.Checkpointable || r.agent.leavesAt == 0 {
		return false
	}
	return e.now > r.agent.leavesAt-e.options.StopGrace-leaveMargin
}

// reconcileRun sends what is due about one run.
func (e *Engine) reconcileRun(r *run) {
	if !r.agent.synced || r.agent.dropping || r.endPending {
		return
	}
	if reason := e.reasonToStop(r); reason != "" {
		e.reconcileStop(r, reason)
		// It works on until it has stopped, which takes up to the grace.
		if r.phase == phaseRunning && r.targetPercent == 0 {
			e.reconcileThrottle(r)
		}
		return
	}
	switch r.phase {
	case phaseUnresolved:
		switch {
		case r.agent.failedPolls > 0 && r.startsSent == r.startsAnswered:
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "its agent fell silent before the start had left")
		case e.now >= r.nextStart && r.agent.leaseRenewable():
			// While holds fail too, another start would fare no better.
			e.start(r)
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
	e.options.Logger.Debug("run stopped", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number, "agent", r.agent.record.Id, "reason", reason)
	r.stopPending = true
	e.send(r.agent, Order{Kind: Stop, Run: r.id()})
}

func (r *run) id() *wire.RunId {
	id := r.task.ID()
	id.Run = r.number
	return id
}

// start sends the order, for the first time or again.
func (e *Engine) start(r *run) {
	if e.drained(r.agent) {
		e.abandonStart(r, "its agent's failure domain is drained")
		return
	}
	if !r.agent.leaseRenewable() || !e.capacityKnown(r.agent) {
		// Its deadline would prolong the lease of an agent that may be gone; and what isn't
		// known to fit waits.
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
		return
	}
	deadline := r.agent.clock.grantLease(e.now, e.options.Lease)
	if deadline == 0 {
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
		return
	}
	if !e.enforcesCapacity(r.agent) && e.freeResourcesOf(r.agent).overcommitted() {
		e.abandonStart(r, "its agent's room has shrunk")
		return
	}
	ticket := ""
	if e.advicePolicyOf(r.task.Stage) != nil {
		var holds bool
		if ticket, holds = e.ticketFor(r.task.Stage, r.agent.record.Id); !holds {
			// It has run out, or isn't known to this leader.
			e.abandonStart(r, "no ticket that holds")
			return
		}
	}
	if r.cpuPercent == unknownPercent {
		r.cpuPercent = fullPercent
	}
	r.phase = phaseStarting
	r.startsSent++
	e.send(r.agent, Order{
		Kind: Start, Run: r.id(), Payload: r.task.Stage.Job.Spec.Payload,
		Checkpoint: r.task.Checkpoint, Deadline: deadline, Ticket: ticket,
	})
}

// abandonStart gives up a run that isn't to be started any more: at once if every start
// that was sent was refused, else after a stop has closed it.
func (e *Engine) abandonStart(r *run, reason string) {
	if r.startsSent == r.startsAnswered {
		e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, reason)
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	r.stopReason = reason
}

func (e *Engine) findRun(r *agent, id *wire.RunId) *run {
	t := e.graph.FindTask(id)
	known := e.runs[t]
	if t == nil || known == nil || known.agent != r || known.number != id.Run {
		return nil
	}
	return known
}

func (e *Engine) handleStartAnswer(at *agent, a Answer) {
	r := e.findRun(at, a.Order.Run)
	if r == nil {
		return
	}
	if a.Verdict != NoAnswer {
		r.startsAnswered++
	}
	if r.phase == phaseRunning || r.phase == phaseClosed || r.endPending {
		return
	}
	if a.Verdict != Accepted {
		e.options.Logger.Info("start not taken", "job", a.Order.Run.Job, "step", a.Order.Run.Step, "index", a.Order.Run.Index,
			"run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail, "sends", r.startsSent)
	}
	switch a.Verdict {
	case Accepted:
		r.phase = phaseRunning
		r.startedAt, r.progressAt = e.now, e.now
		r.confirm(e.now)
		at.nextPoll = e.now // its end is waited for
		if since, ok := e.readySince[r.task.Stage]; ok && r.number == 1 {
			readyToStart.Update((e.now - since).Seconds())
		}
	case NoAnswer, RefusedExpired, RefusedFence, NoConnection:
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	case RefusedStale:
		r.phase, r.closedAt = phaseClosed, e.now
	case RefusedTicket:
		delete(e.adviceOf(r.task.Stage).tickets, at.record.Id)
		delete(e.adviceOf(r.task.Stage).asked, at.record.Id)
		e.resolveRefusedStart(r, a)
	default:
		at.backoffUntil = e.now + refusalBackoff
		e.resolveRefusedStart(r, a)
	}
}

// resolveRefusedStart settles a start that was surely not carried out. If an earlier
// copy had no answer it may yet arrive, so the run is closed by a stop first.
func (e *Engine) resolveRefusedStart(r *run, a Answer) {
	if r.startsSent == r.startsAnswered {
		e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, a.Verdict.String())
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetryInterval
	r.stopReason = "its start was refused while a copy of it may be on its way"
}

func (e *Engine) handleStopAnswer(at *agent, a Answer) {
	r := e.findRun(at, a.Order.Run)
	if r == nil {
		return
	}
	r.stopPending, r.nextStop = false, e.now+stopRetryInterval
	if a.Verdict != Accepted {
		e.options.Logger.Info("stop not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
		return
	}
	r.phase, r.closedAt = phaseClosed, e.now
}

// resolveMissingRuns settles the runs that the agent doesn't list, by what is
// known of their orders.
func (e *Engine) resolveMissingRuns(at *agent, a Answer) {
	if len(a.Completions) >= maxListedCompletions {
		return // the list may be cut off
	}
	for _, r := range at.sortedRuns {
		if r.listedAt == e.now || r.endPending {
			continue
		}
		e.resolveMissingRun(r, a.Order.SentAt)
	}
}

// maxListedCompletions is how many ends an agent lists at once.
const maxListedCompletions = 500

func (e *Engine) resolveMissingRun(r *run, askedAt time.Duration) {
	switch r.phase {
	case phaseUnknown:
		// Under this leader's fence no earlier order can be carried out any
		// more, and the run isn't there: it never began.
		if e.reasonToStop(r) != "" {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "an earlier leader's order never arrived")
			return
		}
		e.start(r)
	case phaseClosed:
		if askedAt >= r.closedAt {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "closed and not there")
		}
	case phaseRunning:
		if askedAt >= r.confirmedAt {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_LOST, "was there and isn't any more")
		}
	case phaseStarting, phaseUnresolved:
	}
}

// settle commits an end that no agent lists.
func (e *Engine) resolve(r *run, outcome wire.RunOutcome, reason string) {
	r.endPending = true
	id := r.id()
	e.options.Logger.Info("run settled", "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run, "agent", r.agent.record.Id, "outcome", outcome.String(), "reason", reason)
	end := &wire.RunEnd{Id: id, Agent: r.agent.record.Id, Outcome: outcome}
	e.commitEnds([]*wire.RunEnd{end}, func(ok bool) {
		if !ok {
			r.endPending = false
		}
	})
}

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
	// phaseOrdered: a start is on its way.
	phaseOrdered
	// phaseUnresolved: a start had no answer and may yet be carried out.
	phaseUnresolved
	// phaseRunning: the agent said that it is there.
	phaseRunning
	// phaseClosed: the agent said that it will never start it from now on; it
	// may have ended there.
	phaseClosed
)

const (
	fullPace = 100
	// unknownPace is that of a run which an earlier leader may have slowed.
	unknownPace = -1
	// startRetry is the pause before a start without an answer is sent again.
	startRetry = 100 * time.Millisecond
	// stopRetry is the pause before a stop without an effect is sent again;
	// more than the agent's answer takes, less than its grace.
	stopRetry = 500 * time.Millisecond
	// paceRetry is the pause before a pace that wasn't taken is ordered again.
	paceRetry = 300 * time.Millisecond
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
	sends, answers int
	nextStart      time.Duration
	firstAt        time.Duration // when this leader first knew it
	startedAt      time.Duration // when it was first known to run
	closedAt       time.Duration // when it was closed
	confirmedAt    time.Duration // when the agent last said that it is there
	seenAt         time.Duration // when it first said so; 0 before

	stopReason string
	stopping   bool // a stop is on its way
	nextStop   time.Duration

	checkpoint string // the latest that the agent told
	percent    int
	progressAt time.Duration
	usage      int
	usageAt    time.Duration
	pace       int
	wantedPace int
	pacing     bool
	nextPace   time.Duration
	pacedAt    time.Duration // when the pace last changed
	// earlierPace is what the pace was before that.
	earlierPace int
	own         tails.Baseline // load of a standing run
	// peak is what highest told at peakAt, by the reading of peakOf.
	peak           float64
	peakOf, peakAt time.Duration
	// listedAt is when the agent last listed a run of the task, running or ended.
	listedAt  time.Duration
	overSince time.Duration // since when its tail is over its target; 0 when it isn't
	ending    bool          // its end is being committed
}

func (r *run) seenRunning(now time.Duration, s *RunStatus) {
	if r.phase != phaseRunning {
		r.phase = phaseRunning
		r.startedAt, r.progressAt = now, now
	}
	if s.ProgressPercent != r.percent {
		r.percent, r.progressAt = s.ProgressPercent, now
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
	if r.seenAt == 0 {
		r.seenAt = now
	}
}

// wantsStop tells why a run should be stopped; empty when it shouldn't.
func (e *Engine) wantsStop(r *run) string {
	j := r.task.Stage.Job
	switch {
	case j.Ended():
		return "its job has ended"
	case r.task.Done:
		return "its task is done"
	case r.agent.record.Leaving && e.shouldLeave(r):
		return "its agent is leaving"
	default:
		return r.stopReason
	}
}

// shouldLeave tells whether a run on a leaving agent should be moved now.
// Standing work moves at once, since it would be cut off anyway; other work
// only when it could save its progress and can't finish.
func (e *Engine) shouldLeave(r *run) bool {
	if r.task.Stage.Standing() {
		return true
	}
	if !r.task.Stage.Step.Checkpointable || r.agent.leaveBy == 0 {
		return false
	}
	return e.now > r.agent.leaveBy-e.options.StopGrace-leaveMargin
}

// tendRun sends what is due about one run.
func (e *Engine) tendRun(r *run) {
	if !r.agent.synced || r.agent.dropping || r.ending {
		return
	}
	if reason := e.wantsStop(r); reason != "" {
		e.tendStop(r, reason)
		// It works on until it has stopped, which takes up to the grace.
		if r.phase == phaseRunning && r.wantedPace == 0 {
			e.tendPace(r)
		}
		return
	}
	switch r.phase {
	case phaseUnresolved:
		switch {
		case r.agent.failed > 0 && r.sends == r.answers:
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "its agent fell silent before the start had left")
		case e.now >= r.nextStart && r.agent.mayBeGranted():
			// While holds fail too, another start would fare no better.
			e.start(r)
		}
	case phaseRunning:
		e.tendProgress(r)
		e.tendPace(r)
	}
}

func (e *Engine) tendStop(r *run, reason string) {
	if r.stopping || e.now < r.nextStop || r.phase == phaseClosed {
		return
	}
	if r.phase == phaseUnknown && r.sends == 0 && !r.agent.synced {
		return
	}
	e.options.Logger.Debug("run stopped", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number, "agent", r.agent.record.Id, "reason", reason)
	r.stopping = true
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
		e.giveUpStart(r, "its agent's failure domain is drained")
		return
	}
	if !r.agent.mayBeGranted() || !e.roomKnown(r.agent) {
		// Its deadline would prolong the lease of an agent that may be gone; and what isn't
		// known to fit waits.
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetry
		return
	}
	deadline := r.agent.clock.grant(e.now, e.options.Lease)
	if deadline == 0 {
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetry
		return
	}
	if !e.guarded(r.agent) && e.roomOf(r.agent).overdrawn() {
		e.giveUpStart(r, "its agent's room has shrunk")
		return
	}
	ticket := ""
	if e.policyOf(r.task.Stage) != nil {
		var holds bool
		if ticket, holds = e.ticketFor(r.task.Stage, r.agent.record.Id); !holds {
			// It has run out, or isn't known to this leader.
			e.giveUpStart(r, "no ticket that holds")
			return
		}
	}
	if r.pace == unknownPace {
		r.pace = fullPace
	}
	r.phase = phaseOrdered
	r.sends++
	e.send(r.agent, Order{
		Kind: Start, Run: r.id(), Payload: r.task.Stage.Job.Spec.Payload,
		Checkpoint: r.task.Checkpoint, Deadline: deadline, Ticket: ticket,
	})
}

// giveUpStart gives up a run that isn't to be started any more: at once if every start
// that was sent was refused, else after a stop has closed it.
func (e *Engine) giveUpStart(r *run, reason string) {
	if r.sends == r.answers {
		e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, reason)
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetry
	r.stopReason = reason
}

func (e *Engine) runOf(r *agent, id *wire.RunId) *run {
	t := e.graph.FindTask(id)
	known := e.runs[t]
	if t == nil || known == nil || known.agent != r || known.number != id.Run {
		return nil
	}
	return known
}

func (e *Engine) startAnswered(at *agent, a Answer) {
	r := e.runOf(at, a.Order.Run)
	if r == nil {
		return
	}
	if a.Verdict != NoAnswer {
		r.answers++
	}
	if r.phase == phaseRunning || r.phase == phaseClosed || r.ending {
		return
	}
	if a.Verdict != Accepted {
		e.options.Logger.Info("start not taken", "job", a.Order.Run.Job, "step", a.Order.Run.Step, "index", a.Order.Run.Index,
			"run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail, "sends", r.sends)
	}
	switch a.Verdict {
	case Accepted:
		r.phase = phaseRunning
		r.startedAt, r.progressAt = e.now, e.now
		r.confirm(e.now)
		at.nextHold = e.now // its end is waited for
		if since, ok := e.readySince[r.task.Stage]; ok && r.number == 1 {
			readyToStart.Update((e.now - since).Seconds())
		}
	case NoAnswer, RefusedExpired, RefusedFence, NoConnection:
		r.phase, r.nextStart = phaseUnresolved, e.now+startRetry
	case RefusedStale:
		r.phase, r.closedAt = phaseClosed, e.now
	case RefusedTicket:
		delete(e.adviceOf(r.task.Stage).tickets, at.record.Id)
		delete(e.adviceOf(r.task.Stage).asked, at.record.Id)
		e.startRefused(r, a)
	default:
		at.restUntil = e.now + refusalPause
		e.startRefused(r, a)
	}
}

// startRefused settles a start that was surely not carried out. If an earlier
// copy had no answer it may yet arrive, so the run is closed by a stop first.
func (e *Engine) startRefused(r *run, a Answer) {
	if r.sends == r.answers {
		e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, a.Verdict.String())
		return
	}
	r.phase, r.nextStart = phaseUnresolved, e.now+startRetry
	r.stopReason = "its start was refused while a copy of it may be on its way"
}

func (e *Engine) stopAnswered(at *agent, a Answer) {
	r := e.runOf(at, a.Order.Run)
	if r == nil {
		return
	}
	r.stopping, r.nextStop = false, e.now+stopRetry
	if a.Verdict != Accepted {
		e.options.Logger.Info("stop not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
		return
	}
	r.phase, r.closedAt = phaseClosed, e.now
}

// settleAbsent settles the runs that the agent doesn't list, by what is
// known of their orders.
func (e *Engine) settleAbsent(at *agent, a Answer) {
	if len(a.Completions) >= maxEndsListed {
		return // the list may be cut off
	}
	for _, r := range at.ordered {
		if r.listedAt == e.now || r.ending {
			continue
		}
		e.settleAbsentRun(r, a.Order.SentAt)
	}
}

// maxEndsListed is how many ends an agent lists at once.
const maxEndsListed = 500

func (e *Engine) settleAbsentRun(r *run, askedAt time.Duration) {
	switch r.phase {
	case phaseUnknown:
		// Under this leader's fence no earlier order can be carried out any
		// more, and the run isn't there: it never began.
		if e.wantsStop(r) != "" {
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "an earlier leader's order never arrived")
			return
		}
		e.start(r)
	case phaseClosed:
		if askedAt >= r.closedAt {
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "closed and not there")
		}
	case phaseRunning:
		if askedAt >= r.confirmedAt {
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_LOST, "was there and isn't any more")
		}
	case phaseOrdered, phaseUnresolved:
	}
}

// settle commits an end that no agent lists.
func (e *Engine) settle(r *run, outcome wire.RunOutcome, reason string) {
	r.ending = true
	id := r.id()
	e.options.Logger.Info("run settled", "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run, "agent", r.agent.record.Id, "outcome", outcome.String(), "reason", reason)
	end := &wire.RunEnd{Id: id, Agent: r.agent.record.Id, Outcome: outcome}
	e.commitEnds([]*wire.RunEnd{end}, func(ok bool) {
		if !ok {
			r.ending = false
		}
	})
}

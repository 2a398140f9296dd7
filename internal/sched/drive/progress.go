// This file defines the record of how long the parts of a start take.

package drive

import (
	"fmt"
	"time"
)

// lateStartAfter is how long after its decision, or after this leader learned that the agent
// is leaving, a start may be sent before it is reported. The leaving of an agent has to be
// effective within seconds.
const lateStartAfter = time.Second

// stageProgress is when a stage reached each step on the way to its first started run.
type stageProgress struct {
	// readyAt is when it was first seen with tasks to place, proposedAt when its first
	// placement was proposed, and committedAt when that was committed.
	readyAt, proposedAt, committedAt time.Duration
	started                          bool
	// waitingSince is when it last came to have tasks to place; lateReported is set once
	// reportLateStages has reported it.
	waitingSince time.Duration
	lateReported bool
}

func (p *stageProgress) recordProposal(now time.Duration) {
	if p.proposedAt == 0 {
		p.proposedAt = now
		queueSeconds.Update((now - p.readyAt).Seconds())
	}
}

func (p *stageProgress) recordCommit(now time.Duration) {
	if p != nil && p.committedAt == 0 && p.proposedAt != 0 {
		p.committedAt = now
		commitSeconds.Update((now - p.proposedAt).Seconds())
	}
}

// recordStarted records that the agent has confirmed a start, and logs the first of a
// stage.
func (e *Engine) recordStarted(r *run, ans Answer) {
	var dispatch, call, answer time.Duration
	if ans.CalledAt != 0 {
		dispatch, call, answer = ans.CalledAt-ans.Order.SentAt, ans.ReturnedAt-ans.CalledAt, e.now-ans.ReturnedAt
		slotSeconds.Update(ans.Order.waited.Seconds())
		dispatchSeconds.Update(dispatch.Seconds())
		callSeconds.Update(call.Seconds())
		answerSeconds.Update(answer.Seconds())
	}
	s := r.task.Stage
	p := e.progress[s]
	if p == nil || r.number != 1 {
		return
	}
	readyToStart.Update((e.now - p.readyAt).Seconds())
	if p.started {
		return
	}
	p.started = true
	e.options.Logger.Info("stage started", "job", s.Job.ID, "occurrence", s.Occurrence, "step", s.Index, "agent", r.agent.record.Id,
		"queue_ms", (p.proposedAt - p.readyAt).Milliseconds(), "commit_ms", (p.committedAt - p.proposedAt).Milliseconds(),
		"slot_ms", ans.Order.waited.Milliseconds(), "dispatch_ms", dispatch.Milliseconds(), "call_ms", call.Milliseconds(), "answer_ms", answer.Milliseconds())
}

// reportLateStart reports a start that was sent long after it was decided, or after this
// leader learned that the agent is leaving.
func (e *Engine) reportLateStart(a *agent, ans Answer) {
	if ans.CalledAt == 0 {
		return
	}
	dispatch, leaving := ans.CalledAt-ans.Order.SentAt, time.Duration(0)
	if a.leavingSince != 0 {
		leaving = ans.CalledAt - a.leavingSince
	}
	if dispatch > lateStartAfter {
		startsLate.Inc()
	}
	if leaving > lateStartAfter {
		startsAfterLeaving.Inc()
	}
	if max(dispatch, leaving) > lateStartAfter {
		e.logs.lateStarts.add(formatRunOn(ans.Order.Run, a), maxRunsListed, fmt.Sprintf("%d/%d", dispatch.Milliseconds(), leaving.Milliseconds()))
	}
}

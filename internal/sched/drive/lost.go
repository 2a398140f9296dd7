// This file defines how runs are ended whose agent is lost.

package drive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// maxLostListed limits the runs in one log line; each takes about 40 bytes.
	maxLostListed = 40
	// startWindow is the span between a run's first and latest confirmation up to which it
	// counts as just started. Idle agents answer a poll every 1.5 s, so a run that was
	// listed twice has started.
	startWindow = time.Second
	// crashBlameWindow is the same span up to which a run may be blamed for a crash of its
	// agent. It is short against the lifetime of an agent, so that standing tasks, which see
	// many agents fail, aren't blamed for them.
	crashBlameWindow = 10 * time.Second
)

// dropCause is the reason for dropping an agent.
type dropCause int

const (
	// unreachable: the agent doesn't answer and its leases have expired. It may still
	// exist.
	unreachable dropCause = iota
	// superseded: a successor runs at its address, so its process has ended.
	superseded
	// terminated: it has given notice of its end, and its runs have certainly ended.
	terminated
)

// endLostRuns ends the runs of an agent before it is dropped, if more has to be recorded
// than their loss: a checkpoint, or that the run may have crashed the agent. Runs are
// blamed only if the agent was superseded and had not announced that it leaves.
func (e *Engine) endLostRuns(a *agent, cause dropCause) {
	crashed := cause == superseded && !a.record.Leaving
	var ends []*wire.RunEnd
	var ended []*run
	for _, r := range a.sortedRuns {
		if r.endPending {
			continue
		}
		end := r.end(wire.RunOutcome_RUN_OUTCOME_LOST)
		if crashed {
			end = e.endAfterCrash(r)
		}
		if end.Outcome == wire.RunOutcome_RUN_OUTCOME_LOST && r.checkpoint == "" {
			continue // dropping the agent records the loss
		}
		r.endPending = true
		ends, ended = append(ends, end), append(ended, r)
	}
	if len(ends) > 0 {
		e.commitEnds(ends, func(ok bool) {
			for _, r := range ended {
				r.endPending = ok
			}
		})
	}
}

// endAfterCrash returns the end of a run whose agent has been superseded. A crash is detected
// if the agent closed its connections; the report of an earlier leader tells so as well.
// An agent that became unreachable without closing them was cut off or went down with its
// instance; blaming its runs would fail jobs that did nothing wrong after repeated
// partitions. Such crashes are only presumed, and only of two kinds: of an agent that
// never answered this leader, for runs that may just have started there, and under a task
// that was blamed before, as connections may become unresponsive just before a crash.
func (e *Engine) endAfterCrash(r *run) *wire.RunEnd {
	if end := e.reportedEnd(r); end != nil {
		return end
	}
	a := r.agent
	neverHeard := !a.synced && !e.placedLongBefore(r)
	if neverHeard || a.synced && (a.connectionClosed || r.task.Crashes > 0) {
		return r.crashEnd()
	}
	return r.end(wire.RunOutcome_RUN_OUTCOME_LOST)
}

// placedLongBefore reports whether a run was placed so long before this leader's election
// that it can't be blamed for a crash since then. Unknown times count as recent.
func (e *Engine) placedLongBefore(r *run) bool {
	return r.task.PlacedAt != 0 && e.electedAt.Sub(time.UnixMilli(r.task.PlacedAt)) >= crashBlameWindow
}

// abandonRuns ends all runs on an unreachable agent whose lease has expired. The agent
// stays registered and is used again once it answers.
func (e *Engine) abandonRuns(a *agent) {
	var ends []*wire.RunEnd
	var lost []*run
	for _, r := range a.sortedRuns {
		if r.endPending {
			continue
		}
		lost = append(lost, r)
		end := e.reportedEnd(r)
		if end == nil || a.record.Leaving {
			end = r.end(wire.RunOutcome_RUN_OUTCOME_LOST)
		}
		ends = append(ends, end)
	}
	if len(lost) == 0 {
		return
	}
	agentsDropped.Inc()
	runsLost.Add(len(lost))
	e.options.Logger.Info("agent lease expired", "agent", a.record.Id, "address", a.record.Address, "reason", "unreachable until its lease expired",
		"runs", len(lost), "silent", e.now-a.answeredAt, "lost", formatLost(a))
	for _, r := range lost {
		r.endPending = true
	}
	e.commitEnds(ends, func(ok bool) {
		for _, r := range lost {
			r.endPending = ok
		}
	})
}

// crashOutcome returns the outcome of a run whose agent crashed. A start without an
// answer may never have reached the agent, so it counts less than one that was confirmed.
// A task that crashes agents before they can answer still fails its job, two agents
// later.
func (r *run) crashOutcome() wire.RunOutcome {
	neverStarted := r.startsSent == r.startsAnswered && r.phase != phaseUnknown
	switch {
	case r.firstConfirmedAt == 0 && neverStarted, r.confirmedFor() >= crashBlameWindow:
		return wire.RunOutcome_RUN_OUTCOME_LOST
	case r.firstConfirmedAt != 0 && r.confirmedFor() < startWindow:
		return wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START
	default:
		return wire.RunOutcome_RUN_OUTCOME_CRASHED
	}
}

// end returns the end of the run with an outcome.
func (r *run) end(outcome wire.RunOutcome) *wire.RunEnd {
	return &wire.RunEnd{Id: r.id(), Agent: r.agent.record.Id, Outcome: outcome, Checkpoint: r.checkpoint}
}

// crashEnd returns the end of the run if its agent has crashed.
func (r *run) crashEnd() *wire.RunEnd {
	end := r.end(r.crashOutcome())
	end.Presumed = end.Outcome != wire.RunOutcome_RUN_OUTCOME_LOST && !r.agent.connectionClosed
	return end
}

// confirmedFor returns the time between the first and the latest confirmation of the run.
func (r *run) confirmedFor() time.Duration { return r.confirmedAt - r.firstConfirmedAt }

// formatLost lists the runs of a lost agent for logs, those confirmed for the shortest
// time first, each as TASK#RUN:CONFIRMED:CRASHES, with the crashes before this one. A
// task that crashes its agents is near the front of several such lines.
func formatLost(a *agent) string {
	runs := slices.Clone(a.sortedRuns)
	slices.SortStableFunc(runs, func(x, y *run) int {
		return cmp.Or(cmp.Compare(x.confirmedFor(), y.confirmedFor()), cmp.Compare(y.trackedAt, x.trackedAt))
	})
	var text strings.Builder
	for i, r := range runs {
		if i == maxLostListed {
			fmt.Fprintf(&text, " and %d more", len(runs)-i)
			break
		}
		if i > 0 {
			text.WriteByte(' ')
		}
		id := r.id()
		fmt.Fprintf(&text, "%s.%d.%d.%d#%d:%dms:%d", id.Job, id.Occurrence, id.Step, id.Index, id.Run, r.confirmedFor().Milliseconds(), r.task.Crashes)
	}
	return text.String()
}

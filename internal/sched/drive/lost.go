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
)

// endLostRuns ends the runs of an agent before it is dropped, if more has to be recorded
// than their loss: a checkpoint, or that the run may have crashed the agent. Runs are
// blamed only if the agent was superseded, had not announced that it leaves and closed its
// connections. An agent that became unreachable without closing them was cut off or went
// down with its instance; blaming its runs would fail jobs that did nothing wrong after
// repeated partitions. The connections don't matter for an agent that never answered this
// leader, and for a task that was blamed before, as they may become unresponsive just
// before a crash.
func (e *Engine) endLostRuns(a *agent, cause dropCause) {
	crashed := cause == superseded && !a.record.Leaving
	evident := a.connectionClosed || !a.synced
	var ends []*wire.RunEnd
	for _, r := range a.sortedRuns {
		if r.endPending {
			continue
		}
		outcome := wire.RunOutcome_RUN_OUTCOME_LOST
		if crashed {
			outcome = e.reportedOutcome(r)
		}
		if crashed && outcome == wire.RunOutcome_RUN_OUTCOME_LOST && (evident || r.task.Crashes > 0) {
			outcome = r.crashOutcome()
		}
		if outcome == wire.RunOutcome_RUN_OUTCOME_LOST && r.checkpoint == "" {
			continue // dropping the agent records the loss
		}
		r.endPending = true
		ends = append(ends, &wire.RunEnd{Id: r.id(), Agent: a.record.Id, Outcome: outcome, Checkpoint: r.checkpoint})
	}
	if len(ends) > 0 {
		e.commitEnds(ends, func(bool) {})
	}
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
		outcome := wire.RunOutcome_RUN_OUTCOME_LOST
		if !a.record.Leaving {
			outcome = e.reportedOutcome(r)
		}
		ends = append(ends, &wire.RunEnd{Id: r.id(), Agent: a.record.Id, Outcome: outcome, Checkpoint: r.checkpoint})
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
	neverSent := r.startsSent == 0 && r.phase != phaseUnknown
	switch {
	case r.firstConfirmedAt == 0 && neverSent, r.confirmedFor() >= crashBlameWindow:
		return wire.RunOutcome_RUN_OUTCOME_LOST
	case r.firstConfirmedAt != 0 && r.confirmedFor() < startWindow:
		return wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START
	default:
		return wire.RunOutcome_RUN_OUTCOME_CRASHED
	}
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

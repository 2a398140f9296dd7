// This file defines what becomes of the runs that end with their agent, and what is
// told of them.

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
	// maxLostListed bounds the runs that one log line names; each takes about 40 bytes.
	maxLostListed = 40
	// startWindow is for how long an agent has told that a run is there while it counts as
	// just started. Where nothing ends, runs are listed each 1.5 s, so that a run which
	// was listed twice has started.
	startWindow = time.Second
	// crashBlameWindow is how long an agent has to have told that a run is there before its
	// end isn't put down to the run at all: far more than startWindow, far less than the
	// days that agents live. Standing tasks, which may see many agents go, aren't blamed
	// for them.
	crashBlameWindow = 10 * time.Second
)

// departure tells on what ground an agent is taken for gone.
type dropCause int

const (
	// unreachable: it can't be reached, and its leases have run out. It may live on.
	unreachable dropCause = iota
	// replaced: its successor is at its address, so that it has surely ended.
	superseded
)

// endLostRuns ends the runs of an agent that is given up, before it is dropped, where
// there is more to keep of them than that they are gone: the latest checkpoint, and
// that the agent may have crashed under them. An agent that said that it leaves has
// ended as it said; one that fell silent without closing its connections was cut off, or
// went down with its instance, and what ran there isn't blamed: where agents are cut off
// again and again and start anew behind the cut, jobs that did nothing would fail. Of one
// that this leader never heard nothing is known, and it counts. For a task that was seen
// to end an agent those that fell silent under it count too: connections may go silent
// just before.
func (e *Engine) endLostRuns(at *agent, why dropCause) {
	crashed := why == superseded && !at.record.Leaving
	seen := at.connectionClosed || !at.synced
	var ends []*wire.RunEnd
	for _, r := range at.sortedRuns {
		if r.endPending {
			continue
		}
		outcome := wire.RunOutcome_RUN_OUTCOME_LOST
		if crashed && (seen || r.task.Crashes > 0) {
			outcome = r.crashOutcome()
		}
		if outcome == wire.RunOutcome_RUN_OUTCOME_LOST && r.checkpoint == "" {
			continue // that it is gone is told by dropping the agent
		}
		r.endPending = true
		ends = append(ends, &wire.RunEnd{Id: r.id(), Agent: at.record.Id, Outcome: outcome, Checkpoint: r.checkpoint})
	}
	if len(ends) > 0 {
		e.commitEnds(ends, func(bool) {})
	}
}

// abandonRuns ends all runs on a silent agent whose lease has run out. The agent stays
// registered: one that was cut off is used again once it answers.
func (e *Engine) abandonRuns(at *agent) {
	var ends []*wire.RunEnd
	var lost []*run
	for _, r := range at.sortedRuns {
		if r.endPending {
			continue
		}
		lost = append(lost, r)
		ends = append(ends, &wire.RunEnd{Id: r.id(), Agent: at.record.Id, Outcome: wire.RunOutcome_RUN_OUTCOME_LOST, Checkpoint: r.checkpoint})
	}
	if len(lost) == 0 {
		return
	}
	agentsDropped.Inc()
	runsLost.Add(len(lost))
	e.options.Logger.Info("agent given up", "agent", at.record.Id, "address", at.record.Address, "reason", "silent until its lease had surely run out",
		"runs", len(lost), "silent", e.now-at.answeredAt, "lost", formatLost(at))
	for _, r := range lost {
		r.endPending = true
	}
	e.commitEnds(ends, func(ok bool) {
		for _, r := range lost {
			r.endPending = ok
		}
	})
}

// crashOutcome is how a run ended whose agent has crashed. A start without an answer
// may never have reached the agent, which may have been dark by then, so it counts less
// than one that the agent took. A task that ends agents before they answer is still
// given up, two agents later.
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

// confirmedFor is for how long the agent has told that the run is there; 0 for one that it
// never told of, or but once.
func (r *run) confirmedFor() time.Duration { return r.confirmedAt - r.firstConfirmedAt }

// formatLost lists the runs on an agent that is given up, those seen for the shortest
// time first, each as TASK#RUN:SEEN:CRASHES with the crashes before this one. A task
// that ends its agents stands near the front of each of these lines; one that was only
// there is found in one of them.
func formatLost(at *agent) string {
	runs := slices.Clone(at.sortedRuns)
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.confirmedFor(), b.confirmedFor()), cmp.Compare(b.trackedAt, a.trackedAt))
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

// This file defines how the ends of runs are committed.

package drive

import (
	"fmt"
	"strings"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

// endBatch collects run ends to commit, and the callbacks to call afterwards.
type endBatch struct {
	ends []*wire.RunEnd
	done []func(ok bool)
}

// recordCompletions commits the completions that the agent lists. They are acknowledged
// only after the commit, by the next poll.
func (e *Engine) recordCompletions(a *agent, ans Answer) {
	last := a.lastAcked
	var ends []*wire.RunEnd
	var skipped []Completion
	for _, c := range ans.Completions {
		t := e.graph.FindTask(c.Run)
		if r := a.runs[t]; r != nil {
			r.listedAt = e.now
		}
		if c.Number <= a.lastAcked {
			skipped = append(skipped, c)
			continue
		}
		last = max(last, c.Number)
		if t == nil || t.Agent != a.record.Id || t.Run != c.Run.Run {
			continue
		}
		e.recordOutcome(a, t, c.Outcome)
		e.recordDrained(t, c.Outcome)
		ends = append(ends, &wire.RunEnd{Id: c.Run, Agent: a.record.Id, Outcome: c.Outcome, Checkpoint: c.Checkpoint})
	}
	e.logSkippedCompletions(a, skipped)
	if len(ends) == 0 {
		a.lastAcked = last
		return
	}
	a.endsPending = true
	e.commitEnds(ends, func(ok bool) {
		a.endsPending = false
		if ok {
			a.lastAcked = last
		}
		e.reconcileAgent(a)
	})
}

// logSkippedCompletions logs completions that were skipped by their number although the
// run is still considered present: their number must belong to another sequence.
func (e *Engine) logSkippedCompletions(a *agent, skipped []Completion) {
	for _, c := range skipped {
		r := e.findRun(a, c.Run)
		if r == nil || r.endPending {
			continue
		}
		completionsSkipped.Inc()
		e.options.Logger.Warn("completion skipped by its number", "agent", a.record.Id, "job", c.Run.Job, "step", c.Run.Step, "index", c.Run.Index,
			"run", c.Run.Run, "outcome", c.Outcome.String(), "number", c.Number, "acknowledged", a.lastAcked, "incarnation", a.incarnation)
	}
}

// commitEnds adds run ends to the batch that is proposed at the next tick. One log entry
// per run would be encoded and synced separately on every replica.
func (e *Engine) commitEnds(ends []*wire.RunEnd, done func(ok bool)) {
	for _, re := range ends {
		countEnd(re.Outcome)
	}
	e.pendingEnds.ends = append(e.pendingEnds.ends, ends...)
	e.pendingEnds.done = append(e.pendingEnds.done, done)
}

// flushEnds proposes the pending batch.
func (e *Engine) flushEnds() {
	batch := e.pendingEnds
	if len(batch.ends) == 0 {
		return
	}
	e.pendingEnds = endBatch{}
	e.options.Logger.Info("runs ended", "runs", formatEnds(batch.ends))
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_End{End: &wire.EndRuns{Ends: batch.ends}}}, func(_ state.Result, err error) {
		if err == nil {
			e.removeEndedRuns(batch.ends)
		}
		e.markAgentsChanged(batch.ends)
		for _, f := range batch.done {
			f(err == nil)
		}
	})
}

// markAgentsChanged marks the agents of the given ends as changed.
func (e *Engine) markAgentsChanged(ends []*wire.RunEnd) {
	for _, re := range ends {
		if a := e.agents.byID[re.Agent]; a != nil {
			e.markChanged(a)
		}
	}
}

// formatEnds lists ends for logs, each as TASK#RUN@AGENT=OUTCOME.
func formatEnds(ends []*wire.RunEnd) string {
	var text strings.Builder
	for i, re := range ends {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s.%d.%d.%d#%d@%s=%s", re.Id.Job, re.Id.Occurrence, re.Id.Step, re.Id.Index, re.Id.Run, re.Agent,
			outcomeNames[re.Outcome])
		if re.Presumed {
			text.WriteString("?")
		}
	}
	return text.String()
}

// This file defines how tasks that are suspected of crashing agents are isolated.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// colocatedSuspectCost is the cost, in run times, of placing a suspect next to
	// another one that has just started. A crash counts against both. It outweighs all
	// other costs, so suspects share an agent only if every feasible one has a suspect.
	colocatedSuspectCost = 10.0
	// colocatedUnconfirmedCost is the same for each run that the agent hasn't listed yet:
	// until it has started, any run may turn out to crash agents.
	colocatedUnconfirmedCost = 3.0
	// occupancyCost is the cost, in run times, of placing a suspect on a fully occupied
	// agent, since all of its runs are lost in a crash.
	occupancyCost = 2.0
	// maxFinalAttemptShare is the share of a pool's agents on which tasks may make their
	// final attempt at the same time. Nothing else is placed on those agents, so enough
	// others have to remain. Agents without runs don't count.
	maxFinalAttemptShare = 0.25
)

// finalAttemptWindow returns how long a run on its final attempt has to be confirmed
// until a crash no longer fails its job.
func finalAttemptWindow(t *graph.Task) time.Duration {
	if t.Crashes < graph.MaxCrashes-1 {
		return startWindow
	}
	return crashBlameWindow
}

// empty reports whether the agent has no runs, started or about to start.
func (f *freeResources) empty() bool { return len(f.agent.runs) == 0 && f.unconfirmed == 0 }

// allowsFinalAttempt reports whether another agent of the pool may be used for a final
// attempt.
func (s *poolSummary) allowsFinalAttempt() bool {
	return s == nil || s.finalAttempts < max(int(maxFinalAttemptShare*float64(s.agents)), 1)
}

// countFinalAttempt counts an agent that is used or reserved for a final attempt.
func (s *poolSummary) countFinalAttempt() {
	if s != nil {
		s.finalAttempts++
	}
}

// recordCrashRisk records whether a run may crash the agent, or be blamed for a crash.
func (f *freeResources) recordCrashRisk(t *graph.Task, confirmedFor time.Duration) {
	if confirmedFor == 0 {
		f.unconfirmed++
	}
	if t.Suspect() && confirmedFor < startWindow {
		f.suspects++
	}
	if t.OnFinalAttempt() && confirmedFor < finalAttemptWindow(t) {
		f.finalAttempt = true
	}
}

// crashCost returns the cost of placing a task here with regard to crashes. The final
// attempt of a task decides whether its job fails, so it is not placed next to a run that
// might be the cause instead, and fits rejects all other tasks until it is over.
func (f *freeResources) crashCost(t *graph.Task) float64 {
	switch {
	case !t.Suspect():
		return 0
	case t.OnFinalAttempt() && f.suspects+f.unconfirmed > 0:
		return math.Inf(1)
	default:
		occupied := 1 - f.cpuMillis/max(f.capacityMillis, 1)
		return float64(f.suspects)*colocatedSuspectCost + float64(f.unconfirmed)*colocatedUnconfirmedCost + occupancyCost*occupied
	}
}

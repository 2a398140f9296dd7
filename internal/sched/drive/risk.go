// This file defines where tasks go that may end the agents on which they start.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// colocatedSuspectCost is what it costs, in run times, to place a suspect beside
	// another one that has just come. If the agent goes down, both are counted though one
	// did it: more than any other ground to prefer an agent, so that suspects meet only
	// where all agents with room have one.
	colocatedSuspectCost = 10.0
	// colocatedUnconfirmedCost is the same beside a run that the agent hasn't listed yet: any
	// task may be one that ends agents until it has started.
	colocatedUnconfirmedCost = 3.0
	// occupancyCost is what it costs, in run times, to place a suspect on an agent that is
	// full, since all that runs there may go with it.
	occupancyCost = 2.0
	// maxFinalAttemptShare is the part of a pool's agents on which last tries may be at a time.
	// Nothing else is placed there meanwhile; with a last try on each agent nothing would
	// be placed at all. Agents where nothing runs aren't counted.
	maxFinalAttemptShare = 0.25
)

// finalAttemptWindow is for how long a run on its last try has to be listed until a crash doesn't
// fail its job any more.
func finalAttemptWindow(t *graph.Task) time.Duration {
	if t.Crashes < graph.MaxCrashes-1 {
		return startWindow
	}
	return crashBlameWindow
}

// empty tells whether nothing runs there, nor is on its way.
func (m *freeResources) empty() bool { return len(m.agent.runs) == 0 && m.unconfirmed == 0 }

// allowsFinalAttempt tells whether another agent of the pool may be given to a last try.
func (s *poolSummary) allowsFinalAttempt() bool {
	return s == nil || s.finalAttempts < max(int(maxFinalAttemptShare*float64(s.agents)), 1)
}

// countFinalAttempt counts an agent that is given, or kept clear, for a last try.
func (s *poolSummary) countFinalAttempt() {
	if s != nil {
		s.finalAttempts++
	}
}

// doubt notes how a run that the agent has listed for a time may end it, or be counted
// if another one does.
func (m *freeResources) recordCrashRisk(t *graph.Task, seenFor time.Duration) {
	if seenFor == 0 {
		m.unconfirmed++
	}
	if t.Suspect() && seenFor < startWindow {
		m.suspects++
	}
	if t.OnFinalAttempt() && seenFor < finalAttemptWindow(t) {
		m.finalAttempt = true
	}
}

// risk is what it costs to place a task there for what its start may do. The last try
// of a task decides whether its job fails, so nothing that may be at fault instead is
// there then, and nothing is placed beside it while it can be counted (see fits).
func (m *freeResources) crashCost(t *graph.Task) float64 {
	switch {
	case !t.Suspect():
		return 0
	case t.OnFinalAttempt() && m.suspects+m.unconfirmed > 0:
		return math.Inf(1)
	default:
		taken := 1 - m.cpuMillis/max(m.capacityMillis, 1)
		return float64(m.suspects)*colocatedSuspectCost + float64(m.unconfirmed)*colocatedUnconfirmedCost + occupancyCost*taken
	}
}

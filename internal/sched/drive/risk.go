// This file defines where tasks go that may end the agents on which they start.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// besideSuspectCost is what it costs, in run times, to place a suspect beside
	// another one that has just come. If the agent goes down, both are counted though one
	// did it: more than any other ground to prefer an agent, so that suspects meet only
	// where all agents with room have one.
	besideSuspectCost = 10.0
	// besideFreshCost is the same beside a run that the agent hasn't listed yet: any
	// task may be one that ends agents until it has started.
	besideFreshCost = 3.0
	// riskCost is what it costs, in run times, to place a suspect on an agent that is
	// full, since all that runs there may go with it.
	riskCost = 2.0
	// lastTryShare is the part of a pool's agents on which last tries may be at a time.
	// Nothing else is placed there meanwhile; with a last try on each agent nothing would
	// be placed at all. Agents where nothing runs aren't counted.
	lastTryShare = 0.25
)

// tryTime is for how long a run on its last try has to be listed until a crash doesn't
// fail its job any more.
func tryTime(t *graph.Task) time.Duration {
	if t.Crashes < graph.MaxCrashes-1 {
		return startTime
	}
	return soundAfter
}

// empty tells whether nothing runs there, nor is on its way.
func (m *room) empty() bool { return len(m.agent.runs) == 0 && m.fresh == 0 }

// takesLastTry tells whether another agent of the pool may be given to a last try.
func (s *spare) takesLastTry() bool {
	return s == nil || s.lastTries < max(int(lastTryShare*float64(s.agents)), 1)
}

// giveLastTry counts an agent that is given, or kept clear, for a last try.
func (s *spare) giveLastTry() {
	if s != nil {
		s.lastTries++
	}
}

// doubt notes how a run that the agent has listed for a time may end it, or be counted
// if another one does.
func (m *room) doubt(t *graph.Task, seenFor time.Duration) {
	if seenFor == 0 {
		m.fresh++
	}
	if t.Suspect() && seenFor < startTime {
		m.suspects++
	}
	if t.OnFinalAttempt() && seenFor < tryTime(t) {
		m.lastTry = true
	}
}

// risk is what it costs to place a task there for what its start may do. The last try
// of a task decides whether its job fails, so nothing that may be at fault instead is
// there then, and nothing is placed beside it while it can be counted (see fits).
func (m *room) risk(t *graph.Task) float64 {
	switch {
	case !t.Suspect():
		return 0
	case t.OnFinalAttempt() && m.suspects+m.fresh > 0:
		return math.Inf(1)
	default:
		taken := 1 - m.cpu/max(m.capacity, 1)
		return float64(m.suspects)*besideSuspectCost + float64(m.fresh)*besideFreshCost + riskCost*taken
	}
}

// This file defines how opportunistic work is kept within what the other work on
// an agent leaves unused.

package drive

import (
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// standingUse is the part of its declared processors that a standing task uses
	// on average, where nothing tells of its load.
	standingUse = 0.5
	// roomyUse is the use of an agent's processors up to which opportunistic runs are let
	// in. Up to 1.2 times its processors in use utilizations were 0.006 above what known
	// pairs explain at most, on average; at 1.3 and more 0.29 (21,000 readings of one
	// day, 10 of them there). Room up to 0.9, 1 and 1.05 of them in use gave a mean worth
	// of 0.823, 0.832 and 0.824 (14 days each, standard error of a difference 0.006).
	roomyUse = 1.0
)

// use is how many thousandths of a processor a run is expected to use at full
// pace, where a standing run's own load is the one given.
func (r *run) use(busy float64) float64 {
	step := r.task.Stage.Step
	switch {
	case step.Opportunistic:
		return r.fullShare() * float64(r.agent.record.CpuMillis)
	case step.TailTargetMs > 0 && r.own.Valid:
		return float64(step.CpuMillis) * busy
	default:
		return expectedUse(step)
	}
}

// highest is the highest own utilization of a standing run that new work beside it
// has to reckon with. It is kept until the next reading, for roomAge at most: worked out
// for each pass it was a fifth of what the engine does at 1,800 agents.
func (e *Engine) highest(r *run) float64 {
	if r.peakOf == r.own.At && e.now-r.peakAt < roomAge {
		return r.peak
	}
	r.peakOf, r.peakAt = r.own.At, e.now
	if e.on(PredictVariation) {
		r.peak = e.pressure.PredictPeak(&r.own, e.now+placeAhead)
	} else {
		r.peak = e.pressure.Level(&r.own)
	}
	return r.peak
}

// claim is how many thousandths of a processor a run keeps from new opportunistic
// work.
func (e *Engine) claim(r *run) float64 {
	step := r.task.Stage.Step
	switch {
	case e.on(UsageBasedCapacity):
		return r.use(e.highest(r))
	case step.Standing:
		return float64(step.CpuMillis) * standingUse
	default:
		return float64(step.CpuMillis)
	}
}

// expectedUse is what use is for a task that has told nothing yet.
func expectedUse(step *wire.Step) float64 {
	if step.Standing {
		return float64(step.CpuMillis) * standingUse
	}
	return float64(step.CpuMillis) * usualUse
}

// crowding is what share of an agent's processors all runs there are expected to
// use at the paces that are wanted, when a change of pace made now shows.
func (e *Engine) crowding(at *agent) float64 {
	sum := 0.0
	for _, r := range at.ordered {
		use := r.use(e.pressure.Predict(&r.own, e.now+paceAhead))
		if r.task.Stage.Step.Opportunistic {
			use *= float64(r.wantedPace) / fullPace
		}
		sum += use
	}
	return at.share(sum)
}

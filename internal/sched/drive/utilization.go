// This file defines how opportunistic work is kept within what the other work on
// an agent leaves unused.

package drive

import (
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// standingUseShare is the part of its declared processors that a standing task uses
	// on average, where nothing tells of its load.
	standingUseShare = 0.5
	// maxUtilization is the use of an agent's processors up to which opportunistic runs are let
	// in. Up to 1.2 times its processors in use utilizations were 0.006 above what known
	// pairs explain at most, on average; at 1.3 and more 0.29 (21,000 readings of one
	// day, 10 of them there). Room up to 0.9, 1 and 1.05 of them in use gave a mean worth
	// of 0.823, 0.832 and 0.824 (14 days each, standard error of a difference 0.006).
	maxUtilization = 1.0
)

// use is how many thousandths of a processor a run is expected to use at full
// pace, where a standing run's own load is the one given.
func (r *run) expectedCPU(busy float64) float64 {
	step := r.task.Stage.Step
	switch {
	case step.Opportunistic:
		return r.unthrottledShare() * float64(r.agent.record.CpuMillis)
	case step.TailTargetMs > 0 && r.baseline.Valid:
		return float64(step.CpuMillis) * busy
	default:
		return defaultCPU(step)
	}
}

// highest is the highest own utilization of a standing run that new work beside it
// has to reckon with. It is kept until the next reading, for freeMaxAge at most: worked out
// for each pass it was a fifth of what the engine does at 1,800 agents.
func (e *Engine) peakBaselineOf(r *run) float64 {
	if r.peakReadingAt == r.baseline.At && e.now-r.peakAt < freeMaxAge {
		return r.peakBaseline
	}
	r.peakReadingAt, r.peakAt = r.baseline.At, e.now
	if e.enabled(PredictVariation) {
		r.peakBaseline = e.tailModel.PredictPeak(&r.baseline, e.now+placementLookahead)
	} else {
		r.peakBaseline = e.tailModel.Level(&r.baseline)
	}
	return r.peakBaseline
}

// claim is how many thousandths of a processor a run keeps from new opportunistic
// work.
func (e *Engine) claimedCPU(r *run) float64 {
	step := r.task.Stage.Step
	switch {
	case e.enabled(UsageBasedCapacity):
		return r.expectedCPU(e.peakBaselineOf(r))
	case step.Standing:
		return float64(step.CpuMillis) * standingUseShare
	default:
		return float64(step.CpuMillis)
	}
}

// defaultCPU is what use is for a task that has told nothing yet.
func defaultCPU(step *wire.Step) float64 {
	if step.Standing {
		return float64(step.CpuMillis) * standingUseShare
	}
	return float64(step.CpuMillis) * defaultUseShare
}

// crowding is what share of an agent's processors all runs there are expected to
// use at the paces that are wanted, when a change of pace made now shows.
func (e *Engine) expectedUtilization(at *agent) float64 {
	sum := 0.0
	for _, r := range at.sortedRuns {
		use := r.expectedCPU(e.tailModel.Predict(&r.baseline, e.now+throttleLookahead))
		if r.task.Stage.Step.Opportunistic {
			use *= float64(r.targetPercent) / fullPercent
		}
		sum += use
	}
	return at.cpuShare(sum)
}

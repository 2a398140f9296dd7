// This file defines how much CPU opportunistic tasks may reclaim from the other tasks on
// an agent.

package drive

import (
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// standingUseShare is the assumed mean CPU usage of a standing task, as a share of
	// its request, until it is measured.
	standingUseShare = 0.5
	// maxUtilization is the CPU usage of an agent, as a share of its capacity, up to which
	// opportunistic tasks are placed. Above about 1.2, tail latencies rise far beyond what
	// the interference of known images explains.
	maxUtilization = 1.0
)

// expectedCPU returns the expected CPU usage of a run without throttling, in millicores;
// utilization is the baseline of a standing run.
func (r *run) expectedCPU(utilization float64) float64 {
	step := r.task.Stage.Step
	switch {
	case step.Opportunistic:
		return r.unthrottledShare() * float64(r.agent.record.CpuMillis)
	case step.TailTargetMs > 0 && r.baseline.Valid:
		return float64(step.CpuMillis) * utilization
	default:
		return defaultCPU(step)
	}
}

// peakBaselineOf returns the predicted peak of a standing run's baseline utilization, or
// its level without PredictVariation. It is cached until the next reading, at most for
// freeMaxAge, as it is too costly to compute in every pass.
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

// claimedCPU returns the CPU that a run keeps from new opportunistic tasks, in
// millicores.
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

// defaultCPU returns the expected CPU usage of a task that wasn't measured yet, in
// millicores.
func defaultCPU(step *wire.Step) float64 {
	if step.Standing {
		return float64(step.CpuMillis) * standingUseShare
	}
	return float64(step.CpuMillis) * defaultUseShare
}

// expectedUtilization returns the expected CPU usage of all runs on an agent at their
// target percentages, as a share of its capacity, by the time a throttle ordered now
// takes effect.
func (e *Engine) expectedUtilization(a *agent) float64 {
	sum := 0.0
	for _, r := range a.sortedRuns {
		use := r.expectedCPU(e.tailModel.Predict(&r.baseline, e.now+throttleLookahead))
		if r.task.Stage.Step.Opportunistic {
			use *= float64(r.targetPercent) / fullPercent
		}
		sum += use
	}
	return a.cpuShare(sum)
}

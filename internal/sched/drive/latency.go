// This file defines how tail latencies are monitored: how the tail model is updated, and
// when the opportunistic runs on an agent are throttled or halted.

package drive

import (
	"maps"
	"math"
	"slices"
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// haltAfter is how long a standing run may exceed its target before all colocated
	// opportunistic runs are halted, however little each of them interferes. The tail
	// latency takes about another second to recover, and users tolerate four to five
	// seconds.
	haltAfter = 2000 * time.Millisecond
	// haltRegardlessAfter is the same for a run that seems to exceed its target through
	// its own load. The model may be wrong, and interference is the more likely cause.
	haltRegardlessAfter = 2800 * time.Millisecond
	// minTailCheckInterval is the least time between two checks of an agent. Agents that
	// report completions answer several times within the usageWindow.
	minTailCheckInterval = 100 * time.Millisecond
	// overTargetShare and underTargetShare of a target are where a period over the target
	// begins and ends. The hysteresis covers the coarse measurements of a tail latency
	// that stays near its target.
	overTargetShare  = 0.97
	underTargetShare = 0.93
	// baselineUncertainty is the assumed error of a run's baseline utilization, about the
	// standard deviation of one reading. It is added to the uncertainty of the model.
	baselineUncertainty = 0.03
	// changeUncertainty is the share of a change in usage that may fall before or after
	// the assumed time: orders take effect 100 ms after they are sent, readings are 300
	// ms apart.
	changeUncertainty = 0.3
)

func (a *agent) cpuShare(cpuMillis float64) float64 {
	return cpuMillis / max(float64(a.record.CpuMillis), 1)
}

// expectedShare returns the share of the agent's CPU that a new opportunistic task is expected to
// use.
func (a *agent) expectedShare(step *wire.Step) float64 {
	return a.cpuShare(float64(step.CpuMillis) * defaultUseShare)
}

// unthrottledShare returns the CPU share that an opportunistic run would use unthrottled.
// Its reported usage is ignored until usageWindow after it was started or throttled, as
// until then it covers time before that.
func (r *run) unthrottledShare() float64 {
	requested := float64(r.task.Stage.Step.CpuMillis)
	use := requested * defaultUseShare
	if r.usage > 0 && r.cpuPercent > 0 && r.usageAt-max(r.startedAt, r.throttledAt) >= usageWindow {
		use = min(float64(r.usage)*fullPercent/float64(r.cpuPercent), requested)
	}
	return r.agent.cpuShare(use)
}

// checkTails updates the tail model with the readings of the agent's standing runs, and
// throttles or releases the opportunistic runs there.
func (e *Engine) checkTails(a *agent) {
	if !a.hasLatencyTargets {
		a.opportunisticHalted = false
		e.clearThrottles(a)
		return
	}
	if e.now-a.tailsCheckedAt < minTailCheckInterval {
		return
	}
	a.tailsCheckedAt = e.now
	e.updateTailModel(a)
	a.recordColocated()
	standing := e.findOverTarget(a)
	a.opportunisticHalted = standing != nil && e.enabled(HaltOpportunistic)
	if a.opportunisticHalted {
		e.haltColocated(standing)
		return
	}
	if e.now-a.throttleChangedAt < minThrottleInterval {
		return
	}
	if e.relieveContention(a) {
		return
	}
	if worst := e.mostDegraded(a); worst != nil {
		e.throttleColocated(worst)
		return
	}
	e.relaxThrottles(a)
}

// hasFreshTail reports whether a standing run's tail latency was reported just now.
func (e *Engine) hasFreshTail(r *run) bool {
	return r.task.Stage.Step.TailTargetMs > 0 && r.phase == phaseRunning && r.usageAt == e.now && r.progressPercent >= 100 && r.usage > 0
}

// findOverTarget returns a standing run that has exceeded its target for haltAfter, if
// interference may be the cause, or for haltRegardlessAfter; otherwise nil.
func (e *Engine) findOverTarget(a *agent) *run {
	var found *run
	for _, r := range a.sortedRuns {
		if !e.hasFreshTail(r) {
			continue
		}
		target := float64(r.task.Stage.Step.TailTargetMs)
		over := float64(r.usage) > target*overTargetShare
		switch {
		case float64(r.usage) < target*underTargetShare:
			r.overTargetSince = 0
		case over && r.overTargetSince == 0:
			r.overTargetSince = e.now
		case over && e.now-r.overTargetSince >= haltAfter && (e.now-r.overTargetSince >= haltRegardlessAfter || e.mayBeInterference(r)):
			found = r
		}
	}
	return found
}

// mayBeInterference reports whether a standing run could meet its target without
// interference, within the uncertainty of the model.
func (e *Engine) mayBeInterference(r *run) bool {
	step := r.task.Stage.Step
	target := latencyTargetOf(step)
	uncertainty := baselineUncertainty + e.tailModel.Uncertainty(step.Image, r.agent.colocated)
	return e.tailModel.Level(&r.baseline) < e.tailModel.Utilization(target, target.Milliseconds)+uncertainty
}

// haltColocated stops all opportunistic runs that are colocated with a standing run from
// using the CPU while it exceeds its target. It covers runs that are each below
// minInterference but together exceed the target, and errors of the model. Runs that
// interfere and can continue elsewhere are evicted, the others are throttled to zero, and no
// new ones are placed.
func (e *Engine) haltColocated(standing *run) {
	interfering := e.interferingRuns(standing)
	if len(interfering) == 0 {
		return
	}
	opportunisticHalts.Inc()
	e.options.Logger.Info("opportunistic runs halted", "agent", standing.agent.record.Id,
		"job", standing.task.Stage.Job.ID, "step", standing.task.Stage.Index, "index", standing.task.Index, "tail_ms", standing.usage,
		"target_ms", standing.task.Stage.Step.TailTargetMs, "over", e.now-standing.overTargetSince, "runs", len(interfering))
	for _, r := range interfering {
		if e.interferenceOn(standing, r) >= minInterference && e.mayEvict(r) {
			e.evictInterfering(r, standing)
		}
		e.setThrottle(r, 0, standing)
	}
	standing.agent.throttleChangedAt = e.now
}

// mostDegraded returns the standing run that interference takes farthest above
// throttleAboveShare of its target, or nil.
func (e *Engine) mostDegraded(a *agent) *run {
	var worst *run
	worstOver := 0.0
	for _, r := range a.sortedRuns {
		if !e.hasFreshTail(r) {
			continue
		}
		over := min(e.excessUtilization(r, throttleAboveShare), e.tailModel.Interference(r.task.Stage.Step.Image, a.colocated)-minInterference)
		if over > worstOver {
			worst, worstOver = r, over
		}
	}
	return worst
}

// excessUtilization returns by how much the utilization of a standing run is predicted to
// exceed that at a share of its target, by the time a throttle ordered now takes effect.
func (e *Engine) excessUtilization(r *run, share float64) float64 {
	target := latencyTargetOf(r.task.Stage.Step)
	utilization := e.tailModel.Predict(&r.baseline, e.now+throttleLookahead) + e.tailModel.Interference(target.Image, r.agent.colocated)
	return utilization - e.tailModel.Utilization(target, target.Milliseconds*share)
}

func latencyTargetOf(step *wire.Step) tails.Target {
	return tails.Target{Image: step.Image, Milliseconds: float64(step.TailTargetMs)}
}

// recordColocated updates the current CPU shares of the agent's opportunistic runs, by
// image.
func (a *agent) recordColocated() {
	if a.colocated == nil {
		a.colocated = tails.Load{}
	}
	clear(a.colocated)
	for _, r := range a.sortedRuns {
		if step := r.task.Stage.Step; step.Opportunistic && r.phase == phaseRunning {
			a.colocated[step.Image] += r.currentShare()
		}
	}
}

// updateTailModel feeds the readings of the agent's standing runs to the tail model.
func (e *Engine) updateTailModel(a *agent) {
	if e.now-a.tailsRecordedAt < tails.MinReadingInterval {
		return
	}
	latest, colocated, uncertain := a.colocatedSince(e.now)
	for _, r := range a.sortedRuns {
		if e.hasFreshTail(r) {
			e.recordTail(r, colocated, uncertain)
		}
	}
	a.lastShares, a.tailsRecordedAt = latest, e.now
}

// colocatedSince returns the current CPU share of each opportunistic run, and by image
// the mean shares since the previous readings and their uncertainty.
func (a *agent) colocatedSince(now time.Duration) (latest map[*run]float64, colocated, uncertain tails.Load) {
	latest, colocated, uncertain = map[*run]float64{}, tails.Load{}, tails.Load{}
	for _, r := range a.sortedRuns {
		step := r.task.Stage.Step
		if !step.Opportunistic || r.phase != phaseRunning {
			continue
		}
		latest[r] = r.currentShare()
		mean, uncertainty := r.meanShareSince(a.tailsRecordedAt, now, latest[r])
		colocated[step.Image] += mean
		uncertain[step.Image] += uncertainty
	}
	for _, r := range slices.SortedFunc(maps.Keys(a.lastShares), compareRuns) {
		if _, present := latest[r]; present {
			continue
		}
		share := a.lastShares[r]
		// A run that ended in between has run for an unknown part of the interval.
		image := r.task.Stage.Step.Image
		colocated[image] += share / 2
		uncertain[image] += share / 2
	}
	return latest, colocated, uncertain
}

// currentShare returns the share of the agent's CPU that an opportunistic run uses now.
func (r *run) currentShare() float64 {
	return r.unthrottledShare() * float64(max(r.cpuPercent, 0)) / fullPercent
}

// meanShareSince returns the mean CPU share of a run since from, given its current share,
// and the uncertainty of that mean.
func (r *run) meanShareSince(from, now time.Duration, share float64) (mean, uncertainty float64) {
	changed := max(r.startedAt, r.throttledAt)
	if changed <= from || now <= from {
		return share, 0
	}
	earlier := 0.0
	if r.throttledAt > r.startedAt {
		earlier = r.unthrottledShare() * float64(max(r.previousPercent, 0)) / fullPercent
	}
	fraction := float64(now-changed) / float64(now-from)
	return earlier + (share-earlier)*fraction, math.Abs(share-earlier) * changeUncertainty
}

// recordTail feeds one reading of a standing run to the tail model. Readings are compared
// with the previous one only if that was part of the agent's previous update.
func (e *Engine) recordTail(r *run, colocated, uncertain tails.Load) {
	if r.baseline.At != r.agent.tailsRecordedAt {
		r.baseline.Valid = false
	}
	e.tailModel.Observe(&r.baseline, tails.Reading{
		Target: latencyTargetOf(r.task.Stage.Step), At: e.now, Milliseconds: float64(r.usage), Colocated: colocated, Uncertain: uncertain,
	})
}

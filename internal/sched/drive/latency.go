// This file defines how tails are watched: what is learned of them, and when all
// opportunistic work beside a standing run is halted.

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
	// haltAfter is how long a standing run may be over its target until all
	// opportunistic ones beside it stop working, however little each adds: a tail
	// takes another second or so until it shows that, and users bear four to five
	// seconds on end.
	haltAfter = 2000 * time.Millisecond
	// haltRegardlessAfter is the same for a run whose own load seems to be the cause. What is
	// learned may be wrong, and where a deployment's tails were looked into, others
	// were the cause of all time over a target.
	haltRegardlessAfter = 2800 * time.Millisecond
	// minTailCheckInterval lies between two looks at an agent's tails at least. They are figures of
	// the last half second, and an agent that lists ends is heard several times in it.
	minTailCheckInterval = 100 * time.Millisecond
	// overTargetShare and underTargetShare of a target are where the time over it begins and
	// ends: tails are told as rough figures of the last half second, and one that
	// hovers at its target is told below it now and then.
	overTargetShare  = 0.97
	underTargetShare = 0.93
	// baselineUncertainty is how far a run's own utilization may be off, beside what is
	// uncertain of the weights; over the target by more, others aren't the cause.
	// It is about the deviation of one reading.
	baselineUncertainty = 0.03
	// changeUncertainty is how much of a change of a run's use may belong to another time
	// than it is taken for: an order takes effect a tenth of a second after it, of
	// the three tenths between two readings.
	changeUncertainty = 0.3
)

func (r *agent) cpuShare(cpuMillis float64) float64 {
	return cpuMillis / max(float64(r.record.CpuMillis), 1)
}

// unthrottledShare is what an opportunistic run would use at full pace. What it was
// told to use is that of a time before it began, or before its pace changed,
// until usageWindow after that.
func (r *run) unthrottledShare() float64 {
	declared := float64(r.task.Stage.Step.CpuMillis)
	use := declared * defaultUseShare
	if r.usage > 0 && r.cpuPercent > 0 && r.usageAt-max(r.startedAt, r.throttledAt) >= usageWindow {
		use = min(float64(r.usage)*fullPercent/float64(r.cpuPercent), declared)
	}
	return r.agent.cpuShare(use)
}

// checkTails learns from what an agent told of its standing runs, and slows or
// lets go the opportunistic ones there.
func (e *Engine) checkTails(at *agent) {
	if !at.hasLatencyTargets {
		at.opportunisticHalted = false
		e.clearThrottles(at)
		return
	}
	if e.now-at.tailsCheckedAt < minTailCheckInterval {
		return
	}
	at.tailsCheckedAt = e.now
	e.updateTailModel(at)
	at.recordColocated()
	standing := e.longestOverTarget(at)
	at.opportunisticHalted = standing != nil && e.enabled(HaltOpportunistic)
	if at.opportunisticHalted {
		e.haltColocated(standing)
		return
	}
	if e.now-at.throttleChangedAt < minThrottleInterval {
		return
	}
	if worst := e.mostDegraded(at); worst != nil {
		e.throttleColocated(worst)
		return
	}
	e.relaxThrottles(at)
}

// hasFreshTail tells whether a standing run's tail was told just now.
func (e *Engine) hasFreshTail(r *run) bool {
	return r.task.Stage.Step.TailTargetMs > 0 && r.phase == phaseRunning && r.usageAt == e.now && r.progressPercent >= 100 && r.usage > 0
}

// longestOverTarget returns a standing run that has been over its target for long, if
// that may be through what works beside it, or for too long; else nil.
func (e *Engine) longestOverTarget(at *agent) *run {
	var longest *run
	for _, r := range at.sortedRuns {
		if !e.hasFreshTail(r) {
			continue
		}
		target := float64(r.task.Stage.Step.TailTargetMs)
		near := float64(r.usage) > target*overTargetShare
		switch {
		case float64(r.usage) < target*underTargetShare:
			r.overTargetSince = 0
		case near && r.overTargetSince == 0:
			r.overTargetSince = e.now
		case near && e.now-r.overTargetSince >= haltAfter && (e.now-r.overTargetSince >= haltRegardlessAfter || e.mayBeInterference(r)):
			longest = r
		}
	}
	return longest
}

// mayBeInterference tells whether a standing run could be below its target without what
// works beside it, by what is known and how surely it is known.
func (e *Engine) mayBeInterference(r *run) bool {
	step := r.task.Stage.Step
	target := latencyTargetOf(step)
	doubt := baselineUncertainty + e.tailModel.Uncertainty(step.Image, r.agent.colocated)
	return e.tailModel.Level(&r.baseline) < e.tailModel.Utilization(target, target.Milliseconds)+doubt
}

// haltColocated stops all opportunistic work beside a standing run for as long as it
// is over its target. Runs that add little each aren't slowed one by one, and
// together they may keep a tail over its target for as long as they come; what
// is learned may be wrong as well. One sees it by a tail that stays over its
// target while runs beside it work. Those that add much are moved away, the others
// wait where they are, and no others come.
func (e *Engine) haltColocated(standing *run) {
	offenders := e.interferingRuns(standing)
	if len(offenders) == 0 {
		return
	}
	opportunisticHalts.Inc()
	e.options.Logger.Info("all opportunistic work beside a standing run halted", "agent", standing.agent.record.Id,
		"job", standing.task.Stage.Job.ID, "step", standing.task.Stage.Index, "index", standing.task.Index, "tail_ms", standing.usage,
		"target_ms", standing.task.Stage.Step.TailTargetMs, "over", e.now-standing.overTargetSince, "runs", len(offenders))
	for _, r := range offenders {
		if r.task.Stage.Step.Checkpointable && e.interferenceOn(standing, r) >= minInterference {
			e.evictInterfering(r, standing)
		}
		e.setThrottle(r, 0, standing)
	}
	standing.agent.throttleChangedAt = e.now
}

// mostDegraded returns the standing run that opportunistic ones take farthest over
// the part of its target from which on they are slowed, or nil.
func (e *Engine) mostDegraded(at *agent) *run {
	var worst *run
	worstOver := 0.0
	for _, r := range at.sortedRuns {
		if !e.hasFreshTail(r) {
			continue
		}
		over := min(e.excessUtilization(r, throttleAboveShare), e.tailModel.Interference(r.task.Stage.Step.Image, at.colocated)-minInterference)
		if over > worstOver {
			worst, worstOver = r, over
		}
	}
	return worst
}

// excess is by how much the utilization of a standing run is expected to be over
// that at a share of its target, when a change of pace made now shows.
func (e *Engine) excessUtilization(r *run, share float64) float64 {
	target := latencyTargetOf(r.task.Stage.Step)
	busy := e.tailModel.Predict(&r.baseline, e.now+throttleLookahead) + e.tailModel.Interference(target.Image, r.agent.colocated)
	return busy - e.tailModel.Utilization(target, target.Milliseconds*share)
}

func latencyTargetOf(step *wire.Step) tails.Target {
	return tails.Target{Image: step.Image, Milliseconds: float64(step.TailTargetMs)}
}

// recordColocated notes what the opportunistic runs on an agent use now, by image.
func (r *agent) recordColocated() {
	if r.colocated == nil {
		r.colocated = tails.Load{}
	}
	clear(r.colocated)
	for _, known := range r.sortedRuns {
		if step := known.task.Stage.Step; step.Opportunistic && known.phase == phaseRunning {
			r.colocated[step.Image] += known.currentShare()
		}
	}
}

// updateTailModel learns from the readings of an agent's standing runs.
func (e *Engine) updateTailModel(at *agent) {
	if e.now-at.tailsRecordedAt < tails.MinReadingInterval {
		return
	}
	latest, beside, unsure := at.colocatedSince(e.now)
	for _, r := range at.sortedRuns {
		if e.hasFreshTail(r) {
			e.recordTail(r, beside, unsure)
		}
	}
	at.lastShares, at.tailsRecordedAt = latest, e.now
}

// colocatedSince is what each opportunistic run uses now, what the images of all used
// on average since the latest reading, and how far that may be off.
func (r *agent) colocatedSince(now time.Duration) (latest map[*run]float64, beside, unsure tails.Load) {
	latest, beside, unsure = map[*run]float64{}, tails.Load{}, tails.Load{}
	for _, known := range r.sortedRuns {
		step := known.task.Stage.Step
		if !step.Opportunistic || known.phase != phaseRunning {
			continue
		}
		latest[known] = known.currentShare()
		mean, off := known.meanShareSince(r.tailsRecordedAt, now, latest[known])
		beside[step.Image] += mean
		unsure[step.Image] += off
	}
	for _, known := range slices.SortedFunc(maps.Keys(r.lastShares), compareRuns) {
		if _, there := latest[known]; there {
			continue
		}
		share := r.lastShares[known]
		// What has ended since worked for some part of the time.
		image := known.task.Stage.Step.Image
		beside[image] += share / 2
		unsure[image] += share / 2
	}
	return latest, beside, unsure
}

// currentShare is the share of its agent's processors that an opportunistic run uses,
// also while what it told is of a time before it began or its pace changed.
func (r *run) currentShare() float64 {
	return r.unthrottledShare() * float64(max(r.cpuPercent, 0)) / fullPercent
}

// meanShareSince is what a run used on average since a time, by what it uses now, and
// how far that may be off.
func (r *run) meanShareSince(from, now time.Duration, share float64) (mean, off float64) {
	changed := max(r.startedAt, r.throttledAt)
	if changed <= from || now <= from {
		return share, 0
	}
	earlier := 0.0
	if r.throttledAt > r.startedAt {
		earlier = r.unthrottledShare() * float64(max(r.previousPercent, 0)) / fullPercent
	}
	part := float64(now-changed) / float64(now-from)
	return earlier + (share-earlier)*part, math.Abs(share-earlier) * changeUncertainty
}

// recordTail learns from one reading of a standing run. A reading is compared
// with the one before only if both were taken with those of its agent.
func (e *Engine) recordTail(r *run, beside, unsure tails.Load) {
	if r.baseline.At != r.agent.tailsRecordedAt {
		r.baseline.Valid = false
	}
	e.tailModel.Observe(&r.baseline, tails.Reading{
		Target: latencyTargetOf(r.task.Stage.Step), At: e.now, Milliseconds: float64(r.usage), Colocated: beside, Uncertain: unsure,
	})
}

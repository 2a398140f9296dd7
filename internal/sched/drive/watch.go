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
	// longOver is how long a standing run may be over its target until all
	// opportunistic ones beside it stop working, however little each adds: a tail
	// takes another second or so until it shows that, and users bear four to five
	// seconds on end.
	longOver = 2000 * time.Millisecond
	// tooLongOver is the same for a run whose own load seems to be the cause. What is
	// learned may be wrong, and where a deployment's tails were looked into, others
	// were the cause of all time over a target.
	tooLongOver = 2800 * time.Millisecond
	// watchGap lies between two looks at an agent's tails at least. They are figures of
	// the last half second, and an agent that lists ends is heard several times in it.
	watchGap = 100 * time.Millisecond
	// nearShare and clearShare of a target are where the time over it begins and
	// ends: tails are told as rough figures of the last half second, and one that
	// hovers at its target is told below it now and then.
	nearShare  = 0.97
	clearShare = 0.93
	// ownDoubt is how far a run's own utilization may be off, beside what is
	// uncertain of the weights; over the target by more, others aren't the cause.
	// It is about the deviation of one reading.
	ownDoubt = 0.03
	// changeUnsure is how much of a change of a run's use may belong to another time
	// than it is taken for: an order takes effect a tenth of a second after it, of
	// the three tenths between two readings.
	changeUnsure = 0.3
)

func (r *agent) share(cpuMillis float64) float64 {
	return cpuMillis / max(float64(r.record.CpuMillis), 1)
}

// fullShare is what an opportunistic run would use at full pace. What it was
// told to use is that of a time before it began, or before its pace changed,
// until usageWindow after that.
func (r *run) fullShare() float64 {
	declared := float64(r.task.Stage.Step.CpuMillis)
	use := declared * usualUse
	if r.usage > 0 && r.pace > 0 && r.usageAt-max(r.startedAt, r.pacedAt) >= usageWindow {
		use = min(float64(r.usage)*fullPace/float64(r.pace), declared)
	}
	return r.agent.share(use)
}

// watchTails learns from what an agent told of its standing runs, and slows or
// lets go the opportunistic ones there.
func (e *Engine) watchTails(at *agent) {
	if !at.standing {
		at.halted = false
		e.letAllGo(at)
		return
	}
	if e.now-at.watchedAt < watchGap {
		return
	}
	at.watchedAt = e.now
	e.learnTails(at)
	at.noteBeside()
	standing := e.longestOver(at)
	at.halted = standing != nil && e.on(HaltOpportunistic)
	if at.halted {
		e.haltBeside(standing)
		return
	}
	if e.now-at.paceChanged < slowPause {
		return
	}
	if worst := e.worstOff(at); worst != nil {
		e.slowBeside(worst)
		return
	}
	e.ease(at)
}

// tellsTail tells whether a standing run's tail was told just now.
func (e *Engine) tellsTail(r *run) bool {
	return r.task.Stage.Step.TailTargetMs > 0 && r.phase == phaseRunning && r.usageAt == e.now && r.percent >= 100 && r.usage > 0
}

// longestOver returns a standing run that has been over its target for long, if
// that may be through what works beside it, or for too long; else nil.
func (e *Engine) longestOver(at *agent) *run {
	var longest *run
	for _, r := range at.ordered {
		if !e.tellsTail(r) {
			continue
		}
		target := float64(r.task.Stage.Step.TailTargetMs)
		near := float64(r.usage) > target*nearShare
		switch {
		case float64(r.usage) < target*clearShare:
			r.overSince = 0
		case near && r.overSince == 0:
			r.overSince = e.now
		case near && e.now-r.overSince >= longOver && (e.now-r.overSince >= tooLongOver || e.mayBeOthers(r)):
			longest = r
		}
	}
	return longest
}

// mayBeOthers tells whether a standing run could be below its target without what
// works beside it, by what is known and how surely it is known.
func (e *Engine) mayBeOthers(r *run) bool {
	step := r.task.Stage.Step
	target := targetOf(step)
	doubt := ownDoubt + e.pressure.Uncertainty(step.Image, r.agent.beside)
	return e.pressure.Level(&r.own) < e.pressure.Utilization(target, target.Milliseconds)+doubt
}

// haltBeside stops all opportunistic work beside a standing run for as long as it
// is over its target. Runs that add little each aren't slowed one by one, and
// together they may keep a tail over its target for as long as they come; what
// is learned may be wrong as well. One sees it by a tail that stays over its
// target while runs beside it work. Those that add much are moved away, the others
// wait where they are, and no others come.
func (e *Engine) haltBeside(standing *run) {
	offenders := e.offenders(standing)
	if len(offenders) == 0 {
		return
	}
	haltsBeside.Inc()
	e.options.Logger.Info("all opportunistic work beside a standing run halted", "agent", standing.agent.record.Id,
		"job", standing.task.Stage.Job.ID, "step", standing.task.Stage.Index, "index", standing.task.Index, "tail_ms", standing.usage,
		"target_ms", standing.task.Stage.Step.TailTargetMs, "over", e.now-standing.overSince, "runs", len(offenders))
	for _, r := range offenders {
		if r.task.Stage.Step.Checkpointable && e.addsTo(standing, r) >= leastAdds {
			e.moveAway(r, standing)
		}
		e.setPace(r, 0, standing)
	}
	standing.agent.paceChanged = e.now
}

// worstOff returns the standing run that opportunistic ones take farthest over
// the part of its target from which on they are slowed, or nil.
func (e *Engine) worstOff(at *agent) *run {
	var worst *run
	worstOver := 0.0
	for _, r := range at.ordered {
		if !e.tellsTail(r) {
			continue
		}
		over := min(e.excess(r, overShare), e.pressure.Interference(r.task.Stage.Step.Image, at.beside)-leastAdds)
		if over > worstOver {
			worst, worstOver = r, over
		}
	}
	return worst
}

// excess is by how much the utilization of a standing run is expected to be over
// that at a share of its target, when a change of pace made now shows.
func (e *Engine) excess(r *run, share float64) float64 {
	target := targetOf(r.task.Stage.Step)
	busy := e.pressure.Predict(&r.own, e.now+paceAhead) + e.pressure.Interference(target.Image, r.agent.beside)
	return busy - e.pressure.Utilization(target, target.Milliseconds*share)
}

func targetOf(step *wire.Step) tails.Target {
	return tails.Target{Image: step.Image, Milliseconds: float64(step.TailTargetMs)}
}

// noteBeside notes what the opportunistic runs on an agent use now, by image.
func (r *agent) noteBeside() {
	if r.beside == nil {
		r.beside = tails.Load{}
	}
	clear(r.beside)
	for _, known := range r.ordered {
		if step := known.task.Stage.Step; step.Opportunistic && known.phase == phaseRunning {
			r.beside[step.Image] += known.shareNow()
		}
	}
}

// learnTails learns from the readings of an agent's standing runs.
func (e *Engine) learnTails(at *agent) {
	if e.now-at.besideAt < tails.MinReadingInterval {
		return
	}
	latest, beside, unsure := at.besideSince(e.now)
	for _, r := range at.ordered {
		if e.tellsTail(r) {
			e.learnTail(r, beside, unsure)
		}
	}
	at.latest, at.besideAt = latest, e.now
}

// besideSince is what each opportunistic run uses now, what the images of all used
// on average since the latest reading, and how far that may be off.
func (r *agent) besideSince(now time.Duration) (latest map[*run]float64, beside, unsure tails.Load) {
	latest, beside, unsure = map[*run]float64{}, tails.Load{}, tails.Load{}
	for _, known := range r.ordered {
		step := known.task.Stage.Step
		if !step.Opportunistic || known.phase != phaseRunning {
			continue
		}
		latest[known] = known.shareNow()
		mean, off := known.shareSince(r.besideAt, now, latest[known])
		beside[step.Image] += mean
		unsure[step.Image] += off
	}
	for _, known := range slices.SortedFunc(maps.Keys(r.latest), compareRuns) {
		if _, there := latest[known]; there {
			continue
		}
		share := r.latest[known]
		// What has ended since worked for some part of the time.
		image := known.task.Stage.Step.Image
		beside[image] += share / 2
		unsure[image] += share / 2
	}
	return latest, beside, unsure
}

// shareNow is the share of its agent's processors that an opportunistic run uses,
// also while what it told is of a time before it began or its pace changed.
func (r *run) shareNow() float64 {
	return r.fullShare() * float64(max(r.pace, 0)) / fullPace
}

// shareSince is what a run used on average since a time, by what it uses now, and
// how far that may be off.
func (r *run) shareSince(from, now time.Duration, share float64) (mean, off float64) {
	changed := max(r.startedAt, r.pacedAt)
	if changed <= from || now <= from {
		return share, 0
	}
	earlier := 0.0
	if r.pacedAt > r.startedAt {
		earlier = r.fullShare() * float64(max(r.earlierPace, 0)) / fullPace
	}
	part := float64(now-changed) / float64(now-from)
	return earlier + (share-earlier)*part, math.Abs(share-earlier) * changeUnsure
}

// learnTail learns from one reading of a standing run. A reading is compared
// with the one before only if both were taken with those of its agent.
func (e *Engine) learnTail(r *run, beside, unsure tails.Load) {
	if r.own.At != r.agent.besideAt {
		r.own.Valid = false
	}
	e.pressure.Observe(&r.own, tails.Reading{
		Target: targetOf(r.task.Stage.Step), At: e.now, Milliseconds: float64(r.usage), Colocated: beside, Uncertain: unsure,
	})
}

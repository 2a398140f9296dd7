// This file defines how opportunistic runs are kept from disturbing standing
// ones: slowed, moved away, or let go again.

package drive

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/sched/tails"
)

const (
	// overShare of a latency target is where opportunistic work beside is
	// slowed: below the target, since tails are told half a second late and
	// the pace takes effect a tenth of a second after its order.
	overShare = 0.85
	// goalShare of the target is what slowing aims at, and up to which new
	// work may be placed beside.
	goalShare = 0.85
	// easeShare of the target is what is expected at most where a slowed run
	// is let go again.
	easeShare = 0.8
	// slowPause lies between two changes of pace on an agent: the time until
	// one shows in the tails.
	slowPause = 700 * time.Millisecond
	// moveBelow is the pace under which a run that saves its progress is
	// better stopped and resumed elsewhere.
	moveBelow = 25
	// paceGrain keeps paces to few values.
	paceGrain = 10
	// usualUse is the part of its declared processors that an opportunistic
	// run uses; taken where nothing was told yet.
	usualUse = 0.8
	// usualQuiet is the part of its target that a standing task's tail is
	// taken for before its first reading.
	usualQuiet = 0.4
	// usageWindow is the time over which usage and tails are told.
	usageWindow = 500 * time.Millisecond
	// leastAdds is what one run adds to the logarithm of a tail at least if it is
	// to be slowed for it or kept away. A standing task's own load takes its tail
	// past any limit now and then; what adds nothing would be stopped for that in
	// vain. Without this worth was 0.470 and 0.711 at 66 and 48 agents, with 0.03
	// 0.648 and 0.783, with 0.06 0.682 and 0.778 (mean of six days, one run each).
	leastAdds = 0.06
	// longOver is how long a standing run may be over its target until all
	// opportunistic ones beside it stop working, however little each adds: a tail
	// takes another second or so until it shows that, and users bear four to five
	// seconds on end.
	longOver = 2000 * time.Millisecond
	// tooLongOver is the same for a run whose own load seems to be the cause. What is
	// learned may be wrong, and where a deployment's tails were looked into, others
	// were the cause of all time over a target.
	tooLongOver = 2800 * time.Millisecond
	// nearShare and clearShare of a target are where the time over it begins and
	// ends: tails are told as rough figures of the last half second, and one that
	// hovers at its target is told below it now and then.
	nearShare  = 0.97
	clearShare = 0.93
	// ownDoubt is how far the logarithm of a run's own tail may be off, beside what
	// is uncertain of the weights; over the target by more, others aren't the cause.
	// It is the median by which a reading misses what is expected of it.
	ownDoubt = 0.05
	// paceAhead is how far ahead a tail is looked at when paces are set: until a
	// change of pace shows in what is told.
	paceAhead = 400 * time.Millisecond
	// placeAhead is the same for new work. It runs longer, but a trend seldom
	// holds as long: 0.5 s gave a worth of 0.648 and 0.783, 1 s 0.639 and 0.786.
	placeAhead = 500 * time.Millisecond
)

// loadBeside is what the opportunistic runs on an agent were told to use.
func loadBeside(at *agent) tails.Load {
	beside := tails.Load{}
	for t, r := range at.runs {
		if t.Stage.Step.Opportunistic && r.phase == phaseRunning {
			beside[t.Stage.Step.Image] += at.share(float64(r.usage))
		}
	}
	return beside
}

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
	e.learnTails(at)
	standing := e.longestOver(at)
	at.halted = standing != nil
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
	for t, r := range at.runs {
		if !e.tellsTail(r) {
			continue
		}
		target := float64(t.Stage.Step.TailTargetMs)
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
	doubt := ownDoubt + e.pressure.Doubt(step.Image, r.agent.beside)
	return r.quiet.Level < tails.Log(float64(step.TailTargetMs))+doubt
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
	for t, r := range at.runs {
		if !e.tellsTail(r) {
			continue
		}
		over := r.tailSoon() - tails.Log(float64(t.Stage.Step.TailTargetMs)*overShare)
		over = min(over, e.pressure.Added(t.Stage.Step.Image, at.beside)-leastAdds)
		if over > worstOver {
			worst, worstOver = r, over
		}
	}
	return worst
}

// tailSoon is the logarithm of a standing run's tail as expected when a change of
// pace made now shows, by the trend of its own load.
func (r *run) tailSoon() float64 {
	return tails.Log(float64(r.usage)) + r.quiet.Trend*paceAhead.Seconds()
}

// learnTails learns from the readings of an agent's standing runs.
func (e *Engine) learnTails(at *agent) {
	if e.now-at.besideAt < tails.MinReadingGap {
		return
	}
	beside := loadBeside(at)
	change := beside.After(at.beside)
	for t, r := range at.runs {
		if t.Stage.Step.TailTargetMs > 0 && e.tellsTail(r) {
			e.learnTail(r, beside, change)
		}
	}
	at.beside, at.besideAt = beside, e.now
}

// learnTail learns from one reading of a standing run. A reading is compared
// with the one before only if both were taken with those of its agent.
func (e *Engine) learnTail(r *run, beside, change tails.Load) {
	image := r.task.Stage.Step.Image
	tail := tails.Log(float64(r.usage))
	if r.quiet.At != r.agent.besideAt {
		r.quiet.Known = false
	}
	if r.quiet.Follows(e.now) && len(change) > 0 {
		e.pressure.Learn(image, e.now, change, tail-r.quiet.Expect(e.now)-e.pressure.Added(image, beside))
	}
	r.quiet.Note(e.now, tail, e.pressure.Added(image, beside), e.pressure.Added(image, r.agent.beside))
}

// slowBeside slows those opportunistic runs that add most to a standing run's
// tail, until it is expected to keep its target again.
func (e *Engine) slowBeside(standing *run) {
	at := standing.agent
	target := float64(standing.task.Stage.Step.TailTargetMs)
	excess := standing.tailSoon() - tails.Log(target*goalShare)
	for _, r := range e.offenders(standing) {
		adds := e.addsTo(standing, r)
		if excess <= 0 || adds < leastAdds {
			return
		}
		part := min(excess/adds, 1)
		pace := int(float64(r.wantedPace)*(1-part)) / paceGrain * paceGrain
		excess -= adds * part
		at.paceChanged = e.now
		if pace < moveBelow && r.task.Stage.Step.Checkpointable {
			e.moveAway(r, standing)
		}
		e.setPace(r, pace, standing)
	}
}

// moveAway stops an opportunistic run so that it resumes on another agent.
func (e *Engine) moveAway(r, standing *run) {
	r.stopReason = "it disturbs a standing run"
	runsMoved.Inc()
	r.task.AvoidAgent = r.agent.record.Id
	e.options.Logger.Info("run moved away", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "disturbed", standing.task.Stage.Job.ID, "tail_ms", standing.usage)
}

// addsTo is what a run adds to the logarithm of a standing run's tail now.
func (e *Engine) addsTo(standing, r *run) float64 {
	weight := e.pressure.Weight(standing.task.Stage.Step.Image, r.task.Stage.Step.Image)
	return weight * r.agent.share(float64(r.usage))
}

// offenders are the opportunistic runs beside a standing one, those that add
// most first.
func (e *Engine) offenders(standing *run) []*run {
	var list []*run
	for t, r := range standing.agent.runs {
		if t.Stage.Step.Opportunistic && r.phase == phaseRunning && r.wantedPace > 0 && r.stopReason == "" {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := e.addsTo(standing, list[i]), e.addsTo(standing, list[k])
		if a != b {
			return a > b
		}
		return list[i].task.Stage.Job.ID < list[k].task.Stage.Job.ID
	})
	return list
}

// ease lets a slowed run go again where no standing run is expected to suffer.
func (e *Engine) ease(at *agent) {
	for t, r := range at.runs {
		if !t.Stage.Step.Opportunistic || r.wantedPace >= fullPace || r.phase != phaseRunning || r.stopReason != "" {
			continue
		}
		if e.harmless(at, t.Stage.Step.Image, r.fullShare()*float64(fullPace-max(r.pace, 0))/fullPace) {
			at.paceChanged = e.now
			e.setPace(r, fullPace, nil)
			return
		}
	}
}

// harmless tells whether all standing runs on an agent are expected to keep
// their targets well with more load of an image beside them.
func (e *Engine) harmless(at *agent, image string, share float64) bool {
	for t, r := range at.runs {
		target := float64(t.Stage.Step.TailTargetMs)
		if target == 0 || r.phase != phaseRunning {
			continue
		}
		adds := e.pressure.Weight(t.Stage.Step.Image, image) * share
		if adds >= leastAdds && r.tailSoon()+adds > tails.Log(target*easeShare) {
			return false
		}
	}
	return true
}

// letAllGo ends all slowing where there is no standing run any more.
func (e *Engine) letAllGo(at *agent) {
	for t, r := range at.runs {
		if t.Stage.Step.Opportunistic {
			e.setPace(r, fullPace, nil)
		}
	}
}

func (e *Engine) setPace(r *run, percent int, standing *run) {
	if percent == r.wantedPace {
		return
	}
	tail := 0
	if standing != nil {
		tail = standing.usage
	}
	e.options.Logger.Debug("pace changed", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "from", r.wantedPace, "to", percent, "tail_ms", tail)
	r.wantedPace = percent
}

func (e *Engine) tendPace(r *run) {
	if r.pacing || r.pace == r.wantedPace || e.now < r.nextPace || !r.task.Stage.Step.Opportunistic {
		return
	}
	r.pacing = true
	e.send(r.agent, Order{Kind: Pace, Run: r.id(), Percent: r.wantedPace})
}

func (e *Engine) paceAnswered(at *agent, a Answer) {
	r := e.runOf(at, a.Order.Run)
	if r == nil {
		return
	}
	r.pacing = false
	if a.Verdict == Accepted {
		r.pace, r.pacedAt = a.Order.Percent, e.now
		r.progressAt = e.now
		return
	}
	r.nextPace = e.now + paceRetry
	e.options.Logger.Info("pace not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
}

// This file defines how opportunistic runs are kept from disturbing standing
// ones: slowed, moved away, or let go again.

package drive

import (
	"sort"
	"time"
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
)

// loadBeside is what the opportunistic runs on an agent were told to use.
func loadBeside(at *agent) load {
	beside := load{}
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

// fullShare is what an opportunistic run would use at full pace.
func (r *run) fullShare() float64 {
	use := float64(r.task.Stage.Step.CpuMillis) * usualUse
	if r.usage > 0 && r.pace > 0 {
		use = float64(r.usage) * fullPace / float64(r.pace)
	}
	return r.agent.share(use)
}

// watchTails learns from what an agent told of its standing runs, and slows or
// lets go the opportunistic ones there.
func (e *Engine) watchTails(at *agent) {
	if !at.standing {
		e.letAllGo(at)
		return
	}
	beside := loadBeside(at)
	var worst *run
	worstOver := 0.0
	for t, r := range at.runs {
		target := float64(t.Stage.Step.TailTargetMs)
		if target == 0 || r.phase != phaseRunning || r.usageAt != e.now || r.percent < 100 || r.usage == 0 {
			continue
		}
		e.learnTail(r, beside)
		if over := logOf(float64(r.usage)) - logOf(target*overShare); over > worstOver || worst == nil && over > 0 {
			worst, worstOver = r, over
		}
	}
	if e.now-at.paceChanged < slowPause {
		return
	}
	if worst != nil {
		e.slowBeside(worst)
		return
	}
	e.ease(at)
}

// learnTail learns from one reading of a standing run.
func (e *Engine) learnTail(r *run, beside load) {
	image := r.task.Stage.Step.Image
	tail := logOf(float64(r.usage))
	own := tail - e.pressure.added(image, beside)
	if !r.quietKnown {
		r.quiet, r.quietKnown = logOf(float64(r.task.Stage.Step.TailTargetMs)*usualQuiet), true
	}
	if len(beside) > 0 {
		e.pressure.learn(image, beside, tail, r.quiet)
	}
	r.quiet += (own - r.quiet) * quietStep
}

// slowBeside slows those opportunistic runs that add most to a standing run's
// tail, until it is expected to keep its target again.
func (e *Engine) slowBeside(standing *run) {
	at := standing.agent
	target := float64(standing.task.Stage.Step.TailTargetMs)
	excess := logOf(float64(standing.usage)) - logOf(target*goalShare)
	for _, r := range e.offenders(standing) {
		if excess <= 0 {
			return
		}
		adds := e.addsTo(standing, r)
		part := min(excess/max(adds, 0.01), 1)
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
	weight := e.pressure.weight(standing.task.Stage.Step.Image, r.task.Stage.Step.Image)
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
		expected := logOf(float64(r.usage)) + e.pressure.weight(t.Stage.Step.Image, image)*share
		if expected > logOf(target*easeShare) {
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
		r.pace = a.Order.Percent
		r.progressAt = e.now
		return
	}
	r.nextPace = e.now + paceRetry
	e.options.Logger.Info("pace not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
}

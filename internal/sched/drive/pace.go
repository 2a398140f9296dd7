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
	// usualUse is the part of its declared processors that a task which isn't
	// standing uses; taken where nothing was told yet.
	usualUse = 0.8
	// usualBusy is what a standing task's utilization is taken for before its
	// first reading.
	usualBusy = 0.5
	// usageWindow is the time over which usage and tails are told.
	usageWindow = 500 * time.Millisecond
	// leastAdds is what one run adds to a utilization at least if it is to be
	// slowed for it or kept away. A standing task's own load takes its tail past
	// any limit now and then; what adds nothing would be stopped for that in vain.
	leastAdds = 0.01
	// paceAhead is how far ahead a tail is looked at when paces are set: until a
	// change of pace shows in what is told.
	paceAhead = 400 * time.Millisecond
	// placeAhead is how far ahead the peak of the standing tasks' own loads is
	// looked for when new work is placed beside them: about its run time.
	placeAhead = 2500 * time.Millisecond
)

// slowBeside slows those opportunistic runs that add most to a standing run's
// tail, until it is expected to keep its target again.
func (e *Engine) slowBeside(standing *run) {
	at := standing.agent
	excess := e.excess(standing, goalShare)
	for _, r := range e.offenders(standing) {
		adds := e.addsTo(standing, r)
		if excess <= 0 || adds < leastAdds {
			return
		}
		part := min(excess/adds, 1)
		pace := int(float64(r.wantedPace)*(1-part)) / paceGrain * paceGrain
		excess -= adds * part
		at.paceChanged = e.now
		if pace < moveBelow && r.task.Stage.Step.Checkpointable && e.on(Migrate) {
			e.moveAway(r, standing)
		}
		e.setPace(r, pace, standing)
	}
}

// moveAway stops an opportunistic run so that it resumes on another agent.
func (e *Engine) moveAway(r, standing *run) {
	r.stopReason = "it disturbs a standing run"
	r.agent.touch()
	runsMoved.Inc()
	r.task.AvoidAgent = r.agent.record.Id
	e.options.Logger.Info("run moved away", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "disturbed", standing.task.Stage.Job.ID, "tail_ms", standing.usage)
}

// addsTo is what a run adds to the utilization of a standing run now.
func (e *Engine) addsTo(standing, r *run) float64 {
	weight := e.pressure.Weight(standing.task.Stage.Step.Image, r.task.Stage.Step.Image)
	return weight * r.shareNow()
}

// offenders are the opportunistic runs beside a standing one, those that add
// most first.
func (e *Engine) offenders(standing *run) []*run {
	list := slowable(standing.agent)
	sort.SliceStable(list, func(i, k int) bool { return e.addsTo(standing, list[i]) > e.addsTo(standing, list[k]) })
	return list
}

// slowable are the opportunistic runs on an agent that work and aren't being
// stopped, by job, step and task.
func slowable(at *agent) []*run {
	var list []*run
	for _, r := range at.ordered {
		if r.task.Stage.Step.Opportunistic && r.phase == phaseRunning && r.wantedPace > 0 && r.stopReason == "" {
			list = append(list, r)
		}
	}
	return list
}

// ease lets a slowed run go again where no standing run is expected to suffer.
func (e *Engine) ease(at *agent) {
	for _, r := range at.ordered {
		t := r.task
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
	if e.crowding(at)+share > roomyUse {
		return false
	}
	for _, r := range at.ordered {
		t := r.task
		if t.Stage.Step.TailTargetMs == 0 || r.phase != phaseRunning {
			continue
		}
		adds := e.pressure.Weight(t.Stage.Step.Image, image) * share
		if adds >= leastAdds && e.excess(r, easeShare)+adds > 0 {
			return false
		}
	}
	return true
}

// letAllGo ends all slowing where there is no standing run any more.
func (e *Engine) letAllGo(at *agent) {
	for _, r := range at.ordered {
		if r.task.Stage.Step.Opportunistic {
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
	e.send(r.agent, Order{Kind: Throttle, Run: r.id(), CPUPercent: r.wantedPace})
}

func (e *Engine) paceAnswered(at *agent, a Answer) {
	r := e.runOf(at, a.Order.Run)
	if r == nil {
		return
	}
	r.pacing = false
	if a.Verdict == Accepted {
		r.earlierPace, r.pace, r.pacedAt = r.pace, a.Order.CPUPercent, e.now
		r.progressAt = e.now
		return
	}
	r.nextPace = e.now + paceRetry
	e.options.Logger.Info("pace not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
}

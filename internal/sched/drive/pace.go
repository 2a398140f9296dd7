// This file defines how opportunistic runs are slowed where they disturb
// standing ones.

package drive

import "time"

const (
	// tightShare of a latency target is where new opportunistic work goes
	// elsewhere if it can.
	tightShare = 0.6
	// overShare of the target is where opportunistic work beside is slowed:
	// below the target, since tails are told half a second late and the pace
	// takes effect a tenth of a second after its order.
	overShare = 0.85
	// easeShare of the target is where it may go faster again.
	easeShare = 0.5
	// slowPause lies between two steps down: the time until a step shows in
	// the tails. easePause lies between steps up.
	slowPause = 700 * time.Millisecond
	easePause = 1500 * time.Millisecond
)

// paceSteps are the shares at which an opportunistic run may work.
var paceSteps = []int{0, 20, 50, 100}

// watchTails decides the pace of the opportunistic runs on a runner from what
// its standing runs told.
func (e *Engine) watchTails(at *runner) {
	worst := -1.0
	for t, r := range at.runs {
		target := t.Stage.Step.TailTargetMs
		if target > 0 && r.phase == phaseRunning && r.usageAt == e.now {
			worst = max(worst, float64(r.usage)/float64(target))
		}
	}
	if worst < 0 {
		worst = 0 // nobody to disturb
	}
	for t, r := range at.runs {
		if !t.Stage.Step.Opportunistic || r.phase != phaseRunning {
			continue
		}
		switch {
		case worst > overShare && e.now-r.paceChanged >= slowPause:
			e.setPace(r, stepDown(r.wantedPace), worst)
		case worst < easeShare && e.now-r.paceChanged >= easePause:
			e.setPace(r, stepUp(r.wantedPace), worst)
		}
	}
}

func (e *Engine) setPace(r *run, percent int, worst float64) {
	if percent == r.wantedPace {
		return
	}
	e.options.Logger.Debug("pace changed", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"runner", r.runner.record.Id, "from", r.wantedPace, "to", percent, "worst_tail_share", worst)
	r.wantedPace, r.paceChanged = percent, e.now
}

func stepDown(percent int) int {
	for i := len(paceSteps) - 1; i >= 0; i-- {
		if paceSteps[i] < percent {
			return paceSteps[i]
		}
	}
	return 0
}

func stepUp(percent int) int {
	for _, step := range paceSteps {
		if step > percent {
			return step
		}
	}
	return fullPace
}

func (e *Engine) tendPace(r *run) {
	if r.pacing || r.pace == r.wantedPace {
		return
	}
	r.pacing = true
	e.send(r.runner, Order{Kind: Pace, Run: r.id(), Percent: r.wantedPace})
}

func (e *Engine) paceAnswered(at *runner, a Answer) {
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
	e.options.Logger.Info("pace not taken", "job", a.Order.Run.Job, "run", r.number, "runner", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
}

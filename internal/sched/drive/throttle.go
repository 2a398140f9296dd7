// This file defines how opportunistic runs are kept from disturbing standing
// ones: slowed, moved away, or let go again.

package drive

import (
	"sort"
	"time"
)

const (
	// throttleAboveShare of a latency target is where opportunistic work beside is
	// slowed: below the target, since tails are told half a second late and
	// the pace takes effect a tenth of a second after its order.
	throttleAboveShare = 0.85
	// throttleGoalShare of the target is what slowing aims at, and up to which new
	// work may be placed beside.
	throttleGoalShare = 0.85
	// relaxBelowShare of the target is what is expected at most where a slowed run
	// is let go again.
	relaxBelowShare = 0.8
	// minThrottleInterval lies between two changes of pace on an agent: the time until
	// one shows in the tails.
	minThrottleInterval = 700 * time.Millisecond
	// migrateBelowPercent is the pace under which a run that saves its progress is
	// better stopped and resumed elsewhere.
	migrateBelowPercent = 25
	// percentStep keeps paces to few values.
	percentStep = 10
	// defaultUseShare is the part of its declared processors that a task which isn't
	// standing uses; taken where nothing was told yet.
	defaultUseShare = 0.8
	// defaultUtilization is what a standing task's utilization is taken for before its
	// first reading.
	defaultUtilization = 0.5
	// usageWindow is the time over which usage and tails are told.
	usageWindow = 500 * time.Millisecond
	// minInterference is what one run adds to a utilization at least if it is to be
	// slowed for it or kept away. A standing task's own load takes its tail past
	// any limit now and then; what adds nothing would be stopped for that in vain.
	minInterference = 0.01
	// throttleLookahead is how far ahead a tail is looked at when paces are set: until a
	// change of pace shows in what is told.
	throttleLookahead = 400 * time.Millisecond
	// placementLookahead is how far ahead the peak of the standing tasks' own loads is
	// looked for when new work is placed beside them: about its run time.
	placementLookahead = 2500 * time.Millisecond
)

// throttleColocated slows those opportunistic runs that add most to a standing run's
// tail, until it is expected to keep its target again.
func (e *Engine) throttleColocated(standing *run) {
	at := standing.agent
	excess := e.excessUtilization(standing, throttleGoalShare)
	for _, r := range e.interferingRuns(standing) {
		adds := e.interferenceOn(standing, r)
		if excess <= 0 || adds < minInterference {
			return
		}
		part := min(excess/adds, 1)
		pace := int(float64(r.targetPercent)*(1-part)) / percentStep * percentStep
		excess -= adds * part
		at.throttleChangedAt = e.now
		if pace < migrateBelowPercent && r.task.Stage.Step.Checkpointable && e.enabled(Migrate) {
			e.evictInterfering(r, standing)
		}
		e.setThrottle(r, pace, standing)
	}
}

// evictInterfering stops an opportunistic run so that it resumes on another agent.
func (e *Engine) evictInterfering(r, standing *run) {
	r.stopReason = "it disturbs a standing run"
	r.agent.markChanged()
	runsEvicted.Inc()
	r.task.AvoidAgent = r.agent.record.Id
	e.options.Logger.Info("run moved away", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "disturbed", standing.task.Stage.Job.ID, "tail_ms", standing.usage)
}

// interferenceOn is what a run adds to the utilization of a standing run now.
func (e *Engine) interferenceOn(standing, r *run) float64 {
	weight := e.tailModel.Weight(standing.task.Stage.Step.Image, r.task.Stage.Step.Image)
	return weight * r.currentShare()
}

// offenders are the opportunistic runs beside a standing one, those that add
// most first.
func (e *Engine) interferingRuns(standing *run) []*run {
	list := throttleableRuns(standing.agent)
	sort.SliceStable(list, func(i, k int) bool { return e.interferenceOn(standing, list[i]) > e.interferenceOn(standing, list[k]) })
	return list
}

// slowable are the opportunistic runs on an agent that work and aren't being
// stopped, by job, step and task.
func throttleableRuns(at *agent) []*run {
	var list []*run
	for _, r := range at.sortedRuns {
		if r.task.Stage.Step.Opportunistic && r.phase == phaseRunning && r.targetPercent > 0 && r.stopReason == "" {
			list = append(list, r)
		}
	}
	return list
}

// ease lets a slowed run go again where no standing run is expected to suffer.
func (e *Engine) relaxThrottles(at *agent) {
	for _, r := range at.sortedRuns {
		t := r.task
		if !t.Stage.Step.Opportunistic || r.targetPercent >= fullPercent || r.phase != phaseRunning || r.stopReason != "" {
			continue
		}
		if e.withinTargets(at, t.Stage.Step.Image, r.unthrottledShare()*float64(fullPercent-max(r.cpuPercent, 0))/fullPercent) {
			at.throttleChangedAt = e.now
			e.setThrottle(r, fullPercent, nil)
			return
		}
	}
}

// harmless tells whether all standing runs on an agent are expected to keep
// their targets well with more load of an image beside them.
func (e *Engine) withinTargets(at *agent, image string, share float64) bool {
	if e.expectedUtilization(at)+share > maxUtilization {
		return false
	}
	for _, r := range at.sortedRuns {
		t := r.task
		if t.Stage.Step.TailTargetMs == 0 || r.phase != phaseRunning {
			continue
		}
		adds := e.tailModel.Weight(t.Stage.Step.Image, image) * share
		if adds >= minInterference && e.excessUtilization(r, relaxBelowShare)+adds > 0 {
			return false
		}
	}
	return true
}

// clearThrottles ends all slowing where there is no standing run any more.
func (e *Engine) clearThrottles(at *agent) {
	for _, r := range at.sortedRuns {
		if r.task.Stage.Step.Opportunistic {
			e.setThrottle(r, fullPercent, nil)
		}
	}
}

func (e *Engine) setThrottle(r *run, percent int, standing *run) {
	if percent == r.targetPercent {
		return
	}
	tail := 0
	if standing != nil {
		tail = standing.usage
	}
	e.options.Logger.Debug("pace changed", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "from", r.targetPercent, "to", percent, "tail_ms", tail)
	r.targetPercent = percent
}

func (e *Engine) reconcileThrottle(r *run) {
	if r.throttlePending || r.cpuPercent == r.targetPercent || e.now < r.nextThrottle || !r.task.Stage.Step.Opportunistic {
		return
	}
	r.throttlePending = true
	e.send(r.agent, Order{Kind: Throttle, Run: r.id(), CPUPercent: r.targetPercent})
}

func (e *Engine) handleThrottleAnswer(at *agent, a Answer) {
	r := e.findRun(at, a.Order.Run)
	if r == nil {
		return
	}
	r.throttlePending = false
	if a.Verdict == Accepted {
		r.previousPercent, r.cpuPercent, r.throttledAt = r.cpuPercent, a.Order.CPUPercent, e.now
		r.progressAt = e.now
		return
	}
	r.nextThrottle = e.now + throttleRetryInterval
	e.options.Logger.Info("pace not taken", "job", a.Order.Run.Job, "run", r.number, "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
}

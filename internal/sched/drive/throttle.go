// This file defines how opportunistic runs that interfere with standing runs are
// throttled, evicted and released.

package drive

import (
	"sort"
	"time"
)

const (
	// throttleAboveShare of a latency target is where throttling begins. It is below the
	// target because tail latencies are reported half a second late and a throttle takes
	// effect 100 ms after its order.
	throttleAboveShare = 0.85
	// throttleGoalShare of a latency target is what throttling aims at, and the limit for
	// placing new colocated tasks.
	throttleGoalShare = 0.85
	// relaxBelowShare of a latency target is the highest predicted tail latency at which a
	// throttled run is released.
	relaxBelowShare = 0.8
	// minThrottleInterval is the pause between two throttle changes on an agent, until
	// the effect of the first is visible in the tail latencies.
	minThrottleInterval = 700 * time.Millisecond
	// evictBelowPercent is the CPU percentage below which a run is evicted, if it can
	// continue elsewhere, instead of throttled.
	evictBelowPercent = 25
	// percentStep is the granularity of CPU percentages.
	percentStep = 10
	// defaultUseShare is the assumed CPU usage of a task that isn't standing, as a share
	// of its request, until it is measured.
	defaultUseShare = 0.8
	// defaultUtilization is the assumed utilization of a standing task until it is
	// measured.
	defaultUtilization = 0.5
	// usageWindow is the period over which agents measure usage and tail latency.
	usageWindow = 500 * time.Millisecond
	// minInterference is the least increase in utilization for which a run is throttled
	// or kept away. A standing task can miss its target through its own load; throttling
	// runs that contribute nothing would not help.
	minInterference = 0.01
	// throttleLookahead is how far ahead tail latencies are predicted for throttling:
	// until the effect of a throttle is reported.
	throttleLookahead = 400 * time.Millisecond
	// placementLookahead is how far ahead the peak load of standing tasks is predicted
	// for placing colocated tasks: about the run time of such a task.
	placementLookahead = 2500 * time.Millisecond
)

// throttleColocated throttles the opportunistic runs that interfere most with a standing
// run, until it is predicted to meet its target again.
func (e *Engine) throttleColocated(standing *run) {
	a := standing.agent
	excess := e.excessUtilization(standing, throttleGoalShare)
	for _, r := range e.interferingRuns(standing) {
		added := e.interferenceOn(standing, r)
		if excess <= 0 || added < minInterference {
			return
		}
		fraction := min(excess/added, 1)
		percent := int(float64(r.targetPercent)*(1-fraction)) / percentStep * percentStep
		excess -= added * fraction
		a.throttleChangedAt = e.now
		if percent < evictBelowPercent && e.mayEvict(r) {
			e.evictInterfering(r, standing)
		}
		e.setThrottle(r, percent, standing)
	}
}

// interferenceOn returns how much a run currently adds to the utilization of a standing
// run.
func (e *Engine) interferenceOn(standing, r *run) float64 {
	weight := e.tailModel.Weight(standing.task.Stage.Step.Image, r.task.Stage.Step.Image)
	return weight * r.currentShare()
}

// interferingRuns returns the opportunistic runs that are colocated with a standing one,
// by decreasing interference.
func (e *Engine) interferingRuns(standing *run) []*run {
	list := throttleableRuns(standing.agent)
	sort.SliceStable(list, func(i, k int) bool { return e.interferenceOn(standing, list[i]) > e.interferenceOn(standing, list[k]) })
	return list
}

// throttleableRuns returns the opportunistic runs on an agent that use the CPU and aren't
// being stopped, in the order of compareRuns.
func throttleableRuns(a *agent) []*run {
	var list []*run
	for _, r := range a.sortedRuns {
		if r.task.Stage.Step.Opportunistic && r.phase == phaseRunning && r.targetPercent > 0 && r.stopReason == "" {
			list = append(list, r)
		}
	}
	return list
}

// relaxThrottles releases the first throttled run with which all standing runs are
// predicted to stay within their targets. If there is none, it evicts one that can continue
// elsewhere.
func (e *Engine) relaxThrottles(a *agent) {
	throttled := throttledRuns(a)
	for _, r := range throttled {
		if percent := e.releasePercent(r); percent > r.targetPercent {
			a.throttleChangedAt = e.now
			e.setThrottle(r, percent, nil)
			return
		}
	}
	e.evictThrottled(a, throttled)
}

// throttledRuns returns the opportunistic runs on an agent that are throttled and aren't being
// stopped.
func throttledRuns(a *agent) []*run {
	var list []*run
	for _, r := range a.sortedRuns {
		if r.task.Stage.Step.Opportunistic && r.phase == phaseRunning && r.targetPercent < fullPercent && r.stopReason == "" {
			list = append(list, r)
		}
	}
	return list
}

// releasePercent returns the CPU percentage at which all standing runs beside a throttled run
// are predicted to stay within their targets: all of it, or for a run that is halted, what it
// may have. The run would make no progress until the standing runs are gone otherwise.
func (e *Engine) releasePercent(r *run) int {
	share, spare := r.unthrottledShare(), e.spareShare(r.agent, r.task.Stage.Step.Image)
	percent := float64(fullPercent)
	if share > 0 {
		percent = float64(max(r.cpuPercent, 0)) + fullPercent*spare/share
	}
	switch {
	case percent >= fullPercent:
		return fullPercent
	case r.targetPercent == 0:
		return int(max(percent, 0)) / percentStep * percentStep
	default:
		return r.targetPercent
	}
}

// spareShare returns the CPU share that an additional load of an image may use on an agent so that
// all standing runs are predicted to stay within relaxBelowShare of their targets.
func (e *Engine) spareShare(a *agent, image string) float64 {
	spare := maxUtilization - e.expectedUtilization(a)
	for _, r := range a.sortedRuns {
		step := r.task.Stage.Step
		if step.TailTargetMs == 0 || r.phase != phaseRunning {
			continue
		}
		if weight := e.tailModel.Weight(step.Image, image); weight > 0 {
			spare = min(spare, max(-e.excessUtilization(r, relaxBelowShare), minInterference)/weight)
		}
	}
	return spare
}

// clearThrottles releases all throttled runs on an agent without latency targets.
func (e *Engine) clearThrottles(a *agent) {
	for _, r := range a.sortedRuns {
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
	e.options.Logger.Debug("throttle changed", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
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

func (e *Engine) handleThrottleAnswer(a *agent, ans Answer) {
	r := e.findRun(a, ans.Order.Run)
	if r == nil {
		return
	}
	r.throttlePending = false
	if ans.Verdict == Accepted {
		r.previousPercent, r.cpuPercent, r.throttledAt = r.cpuPercent, ans.Order.CPUPercent, e.now
		r.progressAt = e.now
		return
	}
	r.nextThrottle = e.now + throttleRetryInterval
	e.options.Logger.Info("throttle refused or unanswered", "job", ans.Order.Run.Job, "run", r.number, "agent", a.record.Id, "verdict", ans.Verdict.String(), "detail", ans.Detail)
}

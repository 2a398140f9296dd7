// This file defines when opportunistic runs are evicted, and where they may continue.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// evictionReturnDelay is how long after its eviction from an agent a task isn't placed
	// there again. From then on other agents are only preferred: the agent may be the only
	// one left.
	evictionReturnDelay = 2 * time.Second
	// evictionInterval is the least time between two evictions of a task from the same agent,
	// without one from another agent in between. A run that interferes before is throttled.
	evictionInterval = 30 * time.Second
	// throttledStartWait is how long a task waits for an agent on which it interferes with
	// nothing, until it is started throttled.
	throttledStartWait = 2 * time.Second
	// maxThrottledStartUse is the CPU usage of a pool, as a share of its capacity, up to which
	// tasks are started throttled. With less free CPU others end soon, and leave an agent.
	maxThrottledStartUse = 0.5
	// maxAlternatives limits the agents that are examined for one on which a run can continue.
	maxAlternatives = 200
	// alternativeRetryInterval is the pause after a search that found none, for all tasks of the
	// same kind. Many agents may have runs to evict, and each search examines many agents.
	alternativeRetryInterval = 250 * time.Millisecond
	// maxFailedSearches limits the searches that are remembered.
	maxFailedSearches = 1000
)

type (
	// alternativeKind identifies tasks that the same agents can take, but for their size. The
	// stage is set only if its tasks keep apart from one another.
	alternativeKind struct {
		class taskClass
		label string
		stage *graph.Stage
	}

	// failedSearch is a search that found no agent for tasks of a size. It isn't repeated for
	// such tasks, or larger ones, until a time.
	failedSearch struct {
		size  taskSize
		until time.Duration
	}
)

// evict stops a run so that it continues on another agent.
func (e *Engine) evict(r *run, reason string) {
	r.stopReason = reason
	e.markChanged(r.agent)
	runsEvicted.Inc()
	r.task.AvoidAgent, r.task.EvictedAt = r.agent.record.Id, e.now
}

// evictInterfering evicts a run that interferes with a standing run.
func (e *Engine) evictInterfering(r, standing *run) {
	e.evict(r, "interferes with a standing run")
	e.options.Logger.Info("interfering run evicted", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "disturbed", standing.task.Stage.Job.ID, "tail_ms", standing.usage)
}

// mayEvict reports whether a run keeps its work if it is evicted, and can continue on another
// agent now. A run that can't is throttled instead, so that it makes some progress.
func (e *Engine) mayEvict(r *run) bool {
	t := r.task
	recently := t.AvoidAgent == r.agent.record.Id && e.now-t.EvictedAt < evictionInterval
	return t.Stage.Step.Checkpointable && !t.Stage.Step.Gang && !recently && e.enabled(Migrate) && e.hasAlternative(r)
}

// hasAlternative reports whether another agent can take an opportunistic run now.
func (e *Engine) hasAlternative(r *run) bool {
	s := r.task.Stage
	kind := alternativeKind{class: e.taskClassOf(s), label: s.Step.RequiredLabel}
	if s.Step.SpreadLimit > 0 {
		kind.stage = s
	}
	if f := e.failedSearches[kind]; e.now < f.until && f.size.fitsWhere(s.Step) {
		return false
	}
	agents := e.agents.byPool[kind.class.pool]
	for i := range min(len(agents), maxAlternatives) {
		a := agents[(e.searchOffset+i)%len(agents)]
		agentsVisited.Inc()
		if a == r.agent || !e.schedulable(a) {
			continue
		}
		if free := e.freeResourcesOf(a); free.fits(s) && e.acceptablePercent(s, free) == fullPercent {
			e.searchOffset += i
			return true
		}
	}
	if len(e.failedSearches) >= maxFailedSearches {
		clear(e.failedSearches)
	}
	e.failedSearches[kind] = failedSearch{taskSizeOf(s.Step), e.now + alternativeRetryInterval}
	return false
}

// evictThrottled evicts the first of the throttled runs on an agent that makes little progress and
// can continue elsewhere.
func (e *Engine) evictThrottled(a *agent, throttled []*run) {
	for _, r := range throttled {
		if r.targetPercent < evictBelowPercent && e.mayEvict(r) {
			a.throttleChangedAt = e.now
			e.evict(r, "has room elsewhere")
			e.setThrottle(r, 0, nil)
			return
		}
	}
}

// barredByEviction reports whether an opportunistic task was evicted from an agent so recently
// that it isn't placed there.
func barredByEviction(t *graph.Task, agent string, now time.Duration) bool {
	return t.AvoidAgent == agent && t.EvictedAt != 0 && now-t.EvictedAt < evictionReturnDelay
}

// acceptablePercent returns the CPU percentage up to which a task of a stage may run on an
// agent so that all standing tasks there are expected to stay below their limits.
func (e *Engine) acceptablePercent(s *graph.Stage, free *freeResources) int {
	e.predictTails(free)
	share := free.agent.expectedShare(s.Step)
	percent := float64(fullPercent)
	for _, t := range free.latencyTasks {
		increase := e.tailModel.Weight(t.image, s.Step.Image) * share
		if increase >= minInterference {
			percent = min(percent, fullPercent*(t.utilizationLimit-t.expectedUtilization)/increase)
		}
	}
	return int(math.Max(percent, 0)) / percentStep * percentStep
}

// allowsThrottledStart reports whether tasks of a stage may be started throttled: they have
// waited for an agent on which they interfere with nothing, and not for lack of CPU.
func (p *pass) allowsThrottledStart(s *graph.Stage) bool {
	summary := p.summaries[p.engine.poolOf(s.Job)]
	return summary != nil && summary.reclaimableMillis >= (1-maxThrottledStartUse)*summary.capacityMillis && p.waited(s) >= throttledStartWait
}

// This file gives tests access to the internals of the engine.

package drive

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sycamoredeck.example/internal/sched/health"
)

// FlushEnds proposes the pending run ends without a full tick.
func (e *Engine) FlushEnds() { e.flushEnds() }

// CheckCaches compares cached values with recomputed ones and returns the first difference.
func (e *Engine) CheckCaches() error {
	if e.term == 0 {
		return nil
	}
	loads := map[loadKey]float64{}
	for t := range e.runs {
		loads[loadKeyOf(t)] += float64(t.Stage.Step.CpuMillis)
	}
	if !maps.Equal(loads, e.runningCPU) {
		return fmt.Errorf("running CPU is cached as %v, want %v", e.runningCPU, loads)
	}
	if err := e.checkStarts(); err != nil {
		return err
	}
	for id, a := range e.agents.byID {
		if err := e.checkAgentCaches(a); err != nil {
			return fmt.Errorf("agent %s: %w", id, err)
		}
	}
	return nil
}

// checkStarts checks that each waiting run is listed once, by priority.
func (e *Engine) checkStarts() error {
	listed := map[*run]bool{}
	for i, r := range e.starts.waiting {
		if listed[r] || !r.startWaiting || i > 0 && e.starts.waiting[i-1].startPriority > r.startPriority {
			return fmt.Errorf("run %s is listed wrongly among %d that wait to start", r.id(), len(e.starts.waiting))
		}
		listed[r] = true
	}
	return nil
}

// CheckIndexes compares the indexes of the agents with ones built from scratch.
func (e *Engine) CheckIndexes() error {
	var want directory
	d := &e.agents
	for _, a := range d.byID {
		want.add(a)
		if a.troubled() && !slices.Contains(d.troubled, a) {
			return fmt.Errorf("agent %s isn't listed as troubled", a.record.Id)
		}
	}
	equal := func(x, y map[string]agentList) bool {
		return maps.EqualFunc(x, y, func(l, m agentList) bool { return slices.Equal(l, m) })
	}
	if !equal(d.byPool, want.byPool) || !equal(d.byAddress, want.byAddress) || !equal(d.byName, want.byName) {
		return fmt.Errorf("the indexes of %d agents are out of date", len(d.byID))
	}
	return nil
}

func (e *Engine) checkAgentCaches(a *agent) error {
	id := a.record.Id
	if registered := e.graph.Agent(id); registered != nil && !e.changedAgents[id] {
		for t := range registered.Tasks {
			if r := e.runs[t]; r == nil || r.agent != a || r.number != t.Run {
				return fmt.Errorf("the run of task %s isn't tracked", t.ID())
			}
		}
		if len(registered.Tasks) != len(a.runs) {
			return fmt.Errorf("%d runs are tracked, want %d", len(a.runs), len(registered.Tasks))
		}
	}
	waiting := 0
	for _, r := range a.runs {
		if r.startWaiting {
			waiting++
		}
	}
	if waiting != a.startsWaiting {
		return fmt.Errorf("%d starts wait, want %d", a.startsWaiting, waiting)
	}
	if a.reconcileAt > e.now && !a.dropping && a.synced {
		for _, r := range a.runs {
			if r.hasPendingOrder() && a.reconcileAt > e.now+reconcileInterval {
				return fmt.Errorf("run %s has a pending order, but its agent isn't reconciled until %v", r.id(), a.reconcileAt)
			}
		}
	}
	if a.freeStale {
		return nil
	}
	cached := a.free
	fresh := *a
	fresh.free = freeResources{}
	e.recomputeFree(&fresh)
	want := fresh.free
	if cached.cpuMillis != want.cpuMillis || cached.memoryMB != want.memoryMB || cached.accelerators != want.accelerators || cached.ordinaryMillis != want.ordinaryMillis || cached.standing != want.standing ||
		cached.suspects < want.suspects || cached.unconfirmed < want.unconfirmed || want.finalAttempt && !cached.finalAttempt {
		return fmt.Errorf("free resources are cached as %+v, want %+v", cached, want)
	}
	if !maps.Equal(cached.tasksByStage, want.tasksByStage) || !maps.Equal(cached.standingByImage, want.standingByImage) {
		return fmt.Errorf("tasks by stage and image are cached as %v and %v, want %v and %v", cached.tasksByStage, cached.standingByImage, want.tasksByStage, want.standingByImage)
	}
	return nil
}

// QuarantinedAgents returns the ids of the agents in quarantine or on trial.
func (e *Engine) QuarantinedAgents() []string { return e.health.tracker.IsolatedAgents() }

// Health returns the state of an agent.
func (e *Engine) Health(agent string) health.State { return e.health.tracker.State(e.now, agent) }

// TrialSince returns when the trial of an agent began, or will begin.
func (e *Engine) TrialSince(agent string) time.Duration {
	since, _ := e.health.tracker.IsolatedUntil(agent)
	return since
}

// ProbeTime is how long a run on an agent on trial keeps further ones away.
const ProbeTime = probeTime

// AgentsVisited returns how many agents all engines have examined.
func AgentsVisited() uint64 { return agentsVisited.Get() }

// FirstPolls returns how many agents have answered this leader, and how many others are being
// polled for the first time.
func (e *Engine) FirstPolls() (answered, polling int) {
	for _, a := range e.agents.byID {
		switch {
		case a.synced:
			answered++
		case a.polling && a.failedPolls == 0:
			polling++
		}
	}
	return answered, polling
}

// Enable switches an optional feature on.
func (e *Engine) Enable(f Feature) { e.options.Enabled = map[Feature]bool{f: true} }

// LimitAgentMemory limits the memory of all agents.
func (e *Engine) LimitAgentMemory(bytes int64) { e.options.AgentMemory = bytes }

// LimitJobMemory limits the memory of all jobs.
func (e *Engine) LimitJobMemory(bytes int64) { e.options.JobMemory = bytes }

// StartsWaiting returns how many starts wait to be sent.
func (e *Engine) StartsWaiting() int { return len(e.starts.waiting) }

// This file gives tests access to the internals of the engine.

package drive

import (
	"fmt"
	"maps"
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
	for id, at := range e.agents {
		if err := e.checkAgentCaches(at); err != nil {
			return fmt.Errorf("agent %s: %w", id, err)
		}
	}
	return nil
}

func (e *Engine) checkAgentCaches(at *agent) error {
	id := at.record.Id
	if registered := e.graph.Agent(id); registered != nil && !e.changedAgents[id] {
		for t := range registered.Tasks {
			if r := e.runs[t]; r == nil || r.agent != at || r.number != t.Run {
				return fmt.Errorf("the run of task %s isn't tracked", t.ID())
			}
		}
		if len(registered.Tasks) != len(at.runs) {
			return fmt.Errorf("%d runs are tracked, want %d", len(at.runs), len(registered.Tasks))
		}
	}
	if at.reconcileAt > e.now && !at.dropping && at.synced {
		for _, r := range at.runs {
			if r.hasPendingOrder() && at.reconcileAt > e.now+reconcileInterval {
				return fmt.Errorf("run %s has a pending order, but its agent isn't reconciled until %v", r.id(), at.reconcileAt)
			}
		}
	}
	if at.freeStale {
		return nil
	}
	cached := at.free
	fresh := *at
	fresh.free = freeResources{}
	e.recomputeFree(&fresh)
	recomputed := fresh.free
	if cached.cpuMillis != recomputed.cpuMillis || cached.memoryMB != recomputed.memoryMB || cached.accelerators != recomputed.accelerators || cached.ordinaryMillis != recomputed.ordinaryMillis || cached.standing != recomputed.standing ||
		cached.suspects < recomputed.suspects || cached.unconfirmed < recomputed.unconfirmed || recomputed.finalAttempt && !cached.finalAttempt {
		return fmt.Errorf("free resources are cached as %+v, want %+v", cached, recomputed)
	}
	if !maps.Equal(cached.tasksByStage, recomputed.tasksByStage) || !maps.Equal(cached.standingByImage, recomputed.standingByImage) {
		return fmt.Errorf("tasks by stage and image are cached as %v and %v, want %v and %v", cached.tasksByStage, cached.standingByImage, recomputed.tasksByStage, recomputed.standingByImage)
	}
	return nil
}

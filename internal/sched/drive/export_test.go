// This file lets the tests of the engine look at what it keeps.

package drive

import (
	"fmt"
	"maps"
)

// CommitEnds has the ends committed that wait for the next turn, and does no more of it.
func (e *Engine) CommitEnds() { e.flushEnds() }

// CheckKept compares what is kept from turn to turn with what it would be worked out
// to be anew; an error names the first difference.
func (e *Engine) CheckKept() error {
	if e.term == 0 {
		return nil
	}
	loads := map[loadKey]float64{}
	for t := range e.runs {
		loads[loadKeyOf(t)] += float64(t.Stage.Step.CpuMillis)
	}
	if !maps.Equal(loads, e.runningCPU) {
		return fmt.Errorf("running work is kept as %v; it is %v", e.runningCPU, loads)
	}
	for id, at := range e.agents {
		if err := e.checkAgent(at); err != nil {
			return fmt.Errorf("agent %s: %w", id, err)
		}
	}
	return nil
}

func (e *Engine) checkAgent(at *agent) error {
	id := at.record.Id
	if registered := e.graph.Agent(id); registered != nil && !e.changedAgents[id] {
		for t := range registered.Tasks {
			if r := e.runs[t]; r == nil || r.agent != at || r.number != t.Run {
				return fmt.Errorf("the run of task %s isn't followed", t.ID())
			}
		}
		if len(registered.Tasks) != len(at.runs) {
			return fmt.Errorf("%d runs are followed of %d", len(at.runs), len(registered.Tasks))
		}
	}
	if at.reconcileAt > e.now && !at.dropping && at.synced {
		for _, r := range at.runs {
			if r.hasPendingOrder() && at.reconcileAt > e.now+reconcileInterval {
				return fmt.Errorf("run %s waits, and isn't looked after until %v", r.id(), at.reconcileAt)
			}
		}
	}
	if at.freeStale {
		return nil
	}
	kept := at.free
	fresh := *at
	fresh.free = freeResources{}
	e.recomputeFree(&fresh)
	m := fresh.free
	if kept.cpuMillis != m.cpuMillis || kept.memoryMB != m.memoryMB || kept.accelerators != m.accelerators || kept.ordinaryMillis != m.ordinaryMillis || kept.standing != m.standing ||
		kept.suspects < m.suspects || kept.unconfirmed < m.unconfirmed || m.finalAttempt && !kept.finalAttempt {
		return fmt.Errorf("its room is kept as %+v; it is %+v", kept, m)
	}
	if !maps.Equal(kept.tasksByStage, m.tasksByStage) || !maps.Equal(kept.standingByImage, m.standingByImage) {
		return fmt.Errorf("what is there is kept as %v and %v; it is %v and %v", kept.tasksByStage, kept.standingByImage, m.tasksByStage, m.standingByImage)
	}
	return nil
}

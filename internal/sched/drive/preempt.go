// This file defines the preemption of opportunistic runs for the memory of urgent tasks.

package drive

import (
	"cmp"
	"slices"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

// memoryReason is the stop reason of runs that are preempted for memory.
const memoryReason = "memory for a more urgent task"

// preemptForMemory stops opportunistic runs on an agent that has the CPU for a task of the stage but
// not the memory, if no agent has both. It chooses the agent on which the least work is lost, holds
// it for the stage, and reports whether it stopped any. The stopped tasks may resume there once the
// hold is released.
func (p *pass) preemptForMemory(r *rankedStage) bool {
	p.holdSearches++
	e, step := p.engine, r.stage.Step
	var best *freeResources
	var victims []*run
	var lost time.Duration
	for _, f := range p.freeByPool[e.poolOf(r.stage.Job)] {
		if f.fits(r.stage) && p.mayUse(r.stage, f) {
			return false // limited by something else
		}
		if e.holds[f.agent.record.Id] != nil || f.cpuMillis < float64(step.CpuMillis) || !f.ignoring(step).fits(r.stage) {
			continue
		}
		list := e.memoryVictims(f, r.priority, float64(step.MemoryMb)-f.memoryMB)
		if sum := e.lostWork(list); len(list) > 0 && (best == nil || sum < lost) {
			best, victims, lost = f, list, sum
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		v.stopReason = memoryReason
		runsPreempted.Inc()
		e.options.Logger.Info("run preempted for memory", "job", v.task.Stage.Job.ID, "step", v.task.Stage.Index, "index", v.task.Index, "run", v.number,
			"agent", best.agent.record.Id, "memory_mb", v.task.Stage.Step.MemoryMb, "lost_ms", e.lostWork([]*run{v}).Milliseconds(), "for", r.stage.Job.ID)
	}
	e.markChanged(best.agent)
	e.hold(r, best, &hold{until: e.now + e.options.StopGrace, preempted: true})
	return true
}

// memoryVictims returns the fewest checkpointable opportunistic runs of less urgent queues, by
// least lost work, that free enough memory; nil if they don't, or if others are stopping already.
func (e *Engine) memoryVictims(f *freeResources, priority uint32, neededMB float64) []*run {
	var list []*run
	for _, r := range f.agent.sortedRuns {
		if r.stopReason == memoryReason {
			return nil
		}
		if e.preemptible(r, priority) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(x, y *run) int { return cmp.Compare(e.lostWork([]*run{x}), e.lostWork([]*run{y})) })
	freed, n := 0.0, 0
	for ; n < len(list) && freed < neededMB; n++ {
		freed += memoryOf(list[n])
	}
	if freed < neededMB {
		return nil
	}
	list = list[:n]
	for i := len(list) - 1; i >= 0; i-- {
		if m := memoryOf(list[i]); freed-m >= neededMB {
			freed -= m
			list = slices.Delete(list, i, i+1)
		}
	}
	return list
}

func memoryOf(r *run) float64 { return float64(r.task.Stage.Step.MemoryMb) }

// preemptible reports whether a run may be stopped for a task of a queue with the given priority.
func (e *Engine) preemptible(r *run, priority uint32) bool {
	step := r.task.Stage.Step
	return step.Opportunistic && step.Checkpointable && !step.Gang && step.MemoryMb > 0 && r.phase == phaseRunning && e.reasonToStop(r) == "" &&
		!r.endPending && e.priorityOf(r.task.Stage) > priority
}

func (e *Engine) priorityOf(s *graph.Stage) uint32 { return e.graph.Queue(s.Job.Queue).GetPriority() }

// lostWork returns the run time since the latest known checkpoints of runs.
func (e *Engine) lostWork(runs []*run) time.Duration {
	var sum time.Duration
	for _, r := range runs {
		sum += e.now - max(r.startedAt, r.checkpointAt)
	}
	return sum
}

// This file defines the free resources of agents.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/health"
	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// freeMaxAge is how long cached free resources are valid without an event. The usage of
// standing tasks changes little in that time.
const freeMaxAge = 250 * time.Millisecond

type (
	// freeResources is what an agent has left for new tasks during a pass.
	freeResources struct {
		agent        *agent
		cpuMillis    float64 // unreserved, in millicores
		memoryMB     float64
		accelerators float64
		// reclaimable is the CPU that opportunistic tasks may use because other runs
		// leave it unused, in millicores.
		reclaimable     float64
		capacityMillis  float64
		standing        int            // number of standing tasks
		standingByImage map[string]int // the same by image
		latencyTasks    []latencyTask
		// tailsPredicted indicates that latencyTasks is filled in, which is done only
		// when a task that may interfere with others could be placed here.
		tailsPredicted bool
		tasksByStage   map[*graph.Stage]int
		// ordinaryMillis is the CPU of ordinary tasks, which is freed when they end.
		ordinaryMillis float64
		// suspects counts runs suspected of crashing their agent, unconfirmed those that
		// the agent hasn't listed yet; finalAttempt indicates a suspect on its final
		// attempt.
		suspects, unconfirmed int
		finalAttempt          bool
		// reservedFor is the stage that the free resources are reserved for, or nil.
		reservedFor *graph.Stage
		// health is the state of the agent; always sound without AgentHealth. probes
		// counts the runs that were placed during its trial.
		health health.State
		probes int
		// placed counts the tasks that were placed here in this pass.
		placed int
	}

	// latencyTask is a standing task with a latency target on an agent.
	latencyTask struct {
		image string
		// expectedUtilization assumes that all colocated tasks run unthrottled;
		// utilizationLimit is what it should stay below.
		expectedUtilization, utilizationLimit float64
	}
)

// freeResourcesByPool returns the free resources of all schedulable agents, by pool and
// sorted by agent id.
func (e *Engine) freeResourcesByPool() map[string][]*freeResources {
	for p := range e.freeByPool {
		if len(e.agents.byPool[p]) == 0 {
			delete(e.freeByPool, p)
		}
	}
	for p, as := range e.agents.byPool {
		list := e.freeByPool[p][:0]
		for _, a := range as {
			if e.schedulable(a) {
				list = append(list, e.freeResourcesOf(a))
			}
		}
		e.freeByPool[p] = list
	}
	return e.freeByPool
}

// freeResourcesOf returns the free resources of an agent. They are recomputed if
// something has changed there, or if the cached ones have reached freeMaxAge.
func (e *Engine) freeResourcesOf(a *agent) *freeResources {
	if a.freeStale || e.now-a.freeAt >= freeMaxAge {
		e.recomputeFree(a)
		a.freeStale, a.freeAt = false, e.now
	}
	a.free.reservedFor = nil
	e.updateHealth(&a.free)
	return &a.free
}

// recomputeFree computes the free resources of an agent. Every run that may exist counts,
// whatever its phase.
func (e *Engine) recomputeFree(a *agent) {
	record := a.record
	free := &a.free
	if free.tasksByStage == nil {
		free.tasksByStage, free.standingByImage = map[*graph.Stage]int{}, map[string]int{}
	}
	clear(free.tasksByStage)
	clear(free.standingByImage)
	*free = freeResources{
		agent: a, cpuMillis: float64(record.CpuMillis), memoryMB: float64(record.MemoryMb), accelerators: float64(record.Accelerators),
		reclaimable: float64(record.CpuMillis) * maxUtilization, capacityMillis: float64(record.CpuMillis),
		tasksByStage: free.tasksByStage, standingByImage: free.standingByImage, latencyTasks: free.latencyTasks[:0],
	}
	for _, r := range a.sortedRuns {
		free.reserve(r.task.Stage)
		free.reclaimable -= e.claimedCPU(r)
		free.recordCrashRisk(r.task, r.confirmedFor())
	}
}

// predictTails fills in the expected utilization of the standing tasks on an agent,
// assuming that all colocated tasks run unthrottled.
func (e *Engine) predictTails(free *freeResources) {
	if free.tailsPredicted {
		return
	}
	free.tailsPredicted = true
	colocated := tails.Load{}
	for _, r := range free.agent.sortedRuns {
		if step := r.task.Stage.Step; step.Opportunistic && r.stopReason == "" {
			colocated[step.Image] += r.unthrottledShare()
		}
	}
	for _, r := range free.agent.sortedRuns {
		if r.task.Stage.Step.TailTargetMs == 0 {
			continue
		}
		target := latencyTargetOf(r.task.Stage.Step)
		baseline := defaultUtilization
		if r.baseline.Valid {
			baseline = e.peakBaselineOf(r)
		}
		free.latencyTasks = append(free.latencyTasks, e.newLatencyTask(target, baseline+e.tailModel.Interference(target.Image, colocated)))
	}
}

// newLatencyTask returns a standing task with the given expected utilization.
func (e *Engine) newLatencyTask(target tails.Target, utilization float64) latencyTask {
	return latencyTask{image: target.Image, expectedUtilization: utilization, utilizationLimit: e.tailModel.Utilization(target, target.Milliseconds*throttleGoalShare)}
}

// interference returns how much a task would add to the utilization of the standing tasks
// on an agent.
func (p *pass) interference(s *graph.Stage, free *freeResources) float64 {
	p.engine.predictTails(free)
	share := free.agent.expectedShare(s.Step)
	added := 0.0
	for _, t := range free.latencyTasks {
		added += p.engine.tailModel.Weight(t.image, s.Step.Image) * share
	}
	return added
}

// assume reserves the resources of a task for the rest of this pass. The next pass
// recomputes them from the placements that were committed.
func (f *freeResources) assume(t *graph.Task) {
	f.agent.freeStale = true
	f.reserve(t.Stage)
	f.recordCrashRisk(t, 0)
	f.probes++
	f.placed++
	f.reclaimable -= defaultCPU(t.Stage.Step)
}

// overcommitted reports whether the runs on the agent request more than its capacity,
// which may have shrunk since they were placed. An agent that doesn't enforce its
// capacity must not be sent further starts then.
func (f *freeResources) overcommitted() bool {
	return f.cpuMillis < 0 || f.memoryMB < 0 || f.accelerators < 0
}

// reserve subtracts the requested resources of one task of a stage.
func (f *freeResources) reserve(s *graph.Stage) {
	step := s.Step
	cpu := float64(step.CpuMillis)
	switch {
	case step.Opportunistic:
	case step.Standing:
		f.cpuMillis -= cpu
		f.standing++
		f.standingByImage[step.Image]++
	default:
		f.cpuMillis -= cpu
		f.ordinaryMillis += cpu
	}
	f.memoryMB -= float64(step.MemoryMb)
	f.accelerators -= float64(step.Accelerators)
	f.tasksByStage[s]++
}

// fits reports whether a task of the stage may be placed here.
func (f *freeResources) fits(s *graph.Stage) bool { return f.limitOf(s) == noLimit }

// limitOf returns the first limit that keeps tasks of the stage from being placed here.
// What can't change while the agent runs goes first, so that explanations don't name a
// full agent that could never run the task as one without capacity.
func (f *freeResources) limitOf(s *graph.Stage) limit {
	step := s.Step
	switch {
	case !f.hasRequiredLabel(step):
		return labelLimit
	case f.finalAttempt:
		return finalAttemptLimit
	case f.reservedFor != nil && f.reservedFor != s:
		return reservationLimit
	case !step.Opportunistic && f.cpuMillis < float64(step.CpuMillis):
		return cpuLimit
	case step.Opportunistic && f.reclaimable < defaultCPU(step):
		return cpuLimit
	case step.Opportunistic && f.agent.opportunisticHalted:
		return interferenceLimit
	default:
		return f.limitBesideCPU(s)
	}
}

// limitBesideCPU returns the first limit other than CPU, among the resources that a task
// requests and its spread.
func (f *freeResources) limitBesideCPU(s *graph.Stage) limit {
	step := s.Step
	switch {
	case f.health != health.Sound && !f.healthAllows(s):
		return quarantineLimit
	case f.agent.startsWaiting+f.placed >= maxAgentStartsWaiting:
		return startsLimit
	case f.memoryMB < float64(step.MemoryMb):
		return memoryLimit
	case f.accelerators < float64(step.Accelerators):
		return capacityLimit
	case step.SpreadLimit > 0 && f.tasksByStage[s] >= int(step.SpreadLimit):
		return spreadLimit
	default:
		return noLimit
	}
}

// fitsExceptCPU reports whether a task of the stage may be placed here, given enough CPU.
func (f *freeResources) fitsExceptCPU(s *graph.Stage) bool {
	return f.hasRequiredLabel(s.Step) && f.limitBesideCPU(s) == noLimit
}

func (f *freeResources) hasRequiredLabel(step *wire.Step) bool {
	return step.RequiredLabel == "" || hasLabel(f.agent.record, step.RequiredLabel)
}

func hasLabel(r *wire.Agent, label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

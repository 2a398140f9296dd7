// This file defines the free resources of agents.

package drive

import (
	"time"

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
		standing        int
		standingByImage map[string]int // number of standing tasks by image
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
	if e.agentsByPool == nil {
		e.groupAgentsByPool()
	}
	for pool, agents := range e.agentsByPool {
		list := e.freeByPool[pool][:0]
		for _, at := range agents {
			if e.schedulable(at) {
				list = append(list, e.freeResourcesOf(at))
			}
		}
		e.freeByPool[pool] = list
	}
	return e.freeByPool
}

func (e *Engine) groupAgentsByPool() {
	e.agentsByPool, e.freeByPool = map[string][]*agent{}, map[string][]*freeResources{}
	for _, at := range e.agentsByID() {
		e.agentsByPool[at.record.Pool] = append(e.agentsByPool[at.record.Pool], at)
	}
}

// freeResourcesOf returns the free resources of an agent. They are recomputed if
// something has changed there, or if the cached ones have reached freeMaxAge.
func (e *Engine) freeResourcesOf(at *agent) *freeResources {
	if at.freeStale || e.now-at.freeAt >= freeMaxAge {
		e.recomputeFree(at)
		at.freeStale, at.freeAt = false, e.now
	}
	at.free.reservedFor = nil
	return &at.free
}

// recomputeFree computes the free resources of an agent. Every run that may exist counts,
// whatever its phase.
func (e *Engine) recomputeFree(at *agent) {
	c := at.record
	m := &at.free
	if m.tasksByStage == nil {
		m.tasksByStage, m.standingByImage = map[*graph.Stage]int{}, map[string]int{}
	}
	clear(m.tasksByStage)
	clear(m.standingByImage)
	*m = freeResources{
		agent: at, cpuMillis: float64(c.CpuMillis), memoryMB: float64(c.MemoryMb), accelerators: float64(c.Accelerators),
		reclaimable: float64(c.CpuMillis) * maxUtilization, capacityMillis: float64(c.CpuMillis),
		tasksByStage: m.tasksByStage, standingByImage: m.standingByImage, latencyTasks: m.latencyTasks[:0],
	}
	for _, known := range at.sortedRuns {
		m.reserve(known.task.Stage)
		m.reclaimable -= e.claimedCPU(known)
		m.recordCrashRisk(known.task, known.confirmedFor())
	}
}

// predictTails fills in the expected utilization of the standing tasks on an agent,
// assuming that all colocated tasks run unthrottled.
func (e *Engine) predictTails(m *freeResources) {
	if m.tailsPredicted {
		return
	}
	m.tailsPredicted = true
	beside := tails.Load{}
	for _, r := range m.agent.sortedRuns {
		if step := r.task.Stage.Step; step.Opportunistic && r.stopReason == "" {
			beside[step.Image] += r.unthrottledShare()
		}
	}
	for _, r := range m.agent.sortedRuns {
		if r.task.Stage.Step.TailTargetMs == 0 {
			continue
		}
		target := latencyTargetOf(r.task.Stage.Step)
		own := defaultUtilization
		if r.baseline.Valid {
			own = e.peakBaselineOf(r)
		}
		m.latencyTasks = append(m.latencyTasks, e.newLatencyTask(target, own+e.tailModel.Interference(target.Image, beside)))
	}
}

// newLatencyTask returns a standing task with an expected utilization of busy.
func (e *Engine) newLatencyTask(target tails.Target, busy float64) latencyTask {
	return latencyTask{image: target.Image, expectedUtilization: busy, utilizationLimit: e.tailModel.Utilization(target, target.Milliseconds*throttleGoalShare)}
}

// interference returns how much a task would add to the utilization of the standing tasks
// on an agent, and whether all of them are expected to stay below their limits.
func (p *pass) interference(s *graph.Stage, m *freeResources) (adds float64, bearable bool) {
	p.engine.predictTails(m)
	share := m.agent.cpuShare(float64(s.Step.CpuMillis) * defaultUseShare)
	bearable = true
	for _, v := range m.latencyTasks {
		more := p.engine.tailModel.Weight(v.image, s.Step.Image) * share
		adds += more
		bearable = bearable && (v.expectedUtilization+more <= v.utilizationLimit || more < minInterference)
	}
	return adds, bearable
}

// assume reserves the resources of a task for this pass, until its placement is
// committed.
func (m *freeResources) assume(t *graph.Task) {
	m.agent.freeStale = true
	m.reserve(t.Stage)
	m.recordCrashRisk(t, 0)
	m.reclaimable -= defaultCPU(t.Stage.Step)
}

// overcommitted reports whether the runs on the agent request more than its capacity,
// which may have shrunk since they were placed. An agent that doesn't enforce its
// capacity must not be sent further starts then.
func (m *freeResources) overcommitted() bool {
	return m.cpuMillis < 0 || m.memoryMB < 0 || m.accelerators < 0
}

// reserve subtracts the requested resources of one task of a stage.
func (m *freeResources) reserve(s *graph.Stage) {
	step := s.Step
	cpu := float64(step.CpuMillis)
	switch {
	case step.Opportunistic:
	case step.Standing:
		m.cpuMillis -= cpu
		m.standing++
		m.standingByImage[step.Image]++
	default:
		m.cpuMillis -= cpu
		m.ordinaryMillis += cpu
	}
	m.memoryMB -= float64(step.MemoryMb)
	m.accelerators -= float64(step.Accelerators)
	m.tasksByStage[s]++
}

// fits reports whether a task of the stage may be placed here.
func (m *freeResources) fits(s *graph.Stage) bool {
	step := s.Step
	switch {
	case m.finalAttempt || m.reservedFor != nil && m.reservedFor != s:
		return false
	case !step.Opportunistic && m.cpuMillis < float64(step.CpuMillis):
		return false
	case step.Opportunistic && (m.reclaimable < defaultCPU(step) || m.agent.opportunisticHalted):
		return false
	default:
		return m.fitsExceptCPU(s)
	}
}

// fitsExceptCPU reports whether a task of the stage may be placed here, given enough CPU.
func (m *freeResources) fitsExceptCPU(s *graph.Stage) bool {
	step := s.Step
	switch {
	case m.memoryMB < float64(step.MemoryMb) || m.accelerators < float64(step.Accelerators):
		return false
	case step.SpreadLimit > 0 && m.tasksByStage[s] >= int(step.SpreadLimit):
		return false
	case step.RequiredLabel != "" && !hasLabel(m.agent.record, step.RequiredLabel):
		return false
	default:
		return true
	}
}

func hasLabel(r *wire.Agent, label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

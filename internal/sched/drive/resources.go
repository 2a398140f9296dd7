// This file defines what room agents have for tasks.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// freeMaxAge is for how long a room is kept while nothing changes there. What standing
// tasks use by themselves moves little in that time.
const freeMaxAge = 250 * time.Millisecond

type (
	// room is what an agent has left while a pass places tasks.
	freeResources struct {
		agent        *agent
		cpuMillis    float64 // thousandths of a processor not promised to anyone
		memoryMB     float64 // MB
		accelerators float64
		// idle is what opportunistic tasks may use: thousandths of a processor
		// that others leave unused.
		reclaimable     float64
		capacityMillis  float64
		standing        int
		standingByImage map[string]int // standing tasks by image
		latencyTasks    []latencyTask
		// tailsPredicted tells that served is worked out; it is only where a task
		// that might disturb others could go.
		tailsPredicted bool
		tasksByStage   map[*graph.Stage]int
		// ordinary is the cpu of ordinary tasks there, which end before long.
		ordinaryMillis float64
		// suspects are the tasks there that may end the agent, fresh the runs that it
		// hasn't listed yet; finalAttempt tells that a suspect is on its last try.
		suspects, unconfirmed int
		finalAttempt          bool
		// reservedFor is the stage that this room is kept clear for, or nil.
		reservedFor *graph.Stage
	}

	// served is a standing task with a latency target on an agent.
	latencyTask struct {
		image string
		// expected is its utilization with all that is placed beside it at full
		// pace, limit what that should stay below.
		expectedUtilization, utilizationLimit float64
	}
)

// rooms are what each usable agent has left, by pool in the order of their ids.
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

// freeResourcesOf is what an agent has left. It is worked out anew only where something
// changed there, and now and then where loads swing.
func (e *Engine) freeResourcesOf(at *agent) *freeResources {
	if at.freeStale || e.now-at.freeAt >= freeMaxAge {
		e.recomputeFree(at)
		at.freeStale, at.freeAt = false, e.now
	}
	at.free.reservedFor = nil
	return &at.free
}

// recomputeFree works out what an agent has left. A run that may exist holds its room,
// whatever is known of it.
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

// predictTails works out what tails the standing tasks on an agent will have
// with all that is placed beside them at full pace.
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

// serves is a standing task as a pass sees it.
func (e *Engine) newLatencyTask(target tails.Target, busy float64) latencyTask {
	return latencyTask{image: target.Image, expectedUtilization: busy, utilizationLimit: e.tailModel.Utilization(target, target.Milliseconds*throttleGoalShare)}
}

// disturbs is how much a task would add to the utilizations of the standing tasks on
// an agent, and whether all of them are expected to stay below their limits.
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

// take gives a task its place, for this pass: what became of it is known once it is
// committed.
func (m *freeResources) assume(t *graph.Task) {
	m.agent.freeStale = true
	m.reserve(t.Stage)
	m.recordCrashRisk(t, 0)
	m.reclaimable -= defaultCPU(t.Stage.Step)
}

// overdrawn tells whether an agent has less than what its runs have declared. Its room
// may shrink after a run was placed there; a start that is sent, or sent again, then
// would bring an agent that doesn't guard its room over it.
func (m *freeResources) overcommitted() bool {
	return m.cpuMillis < 0 || m.memoryMB < 0 || m.accelerators < 0
}

// hold takes what a task of a stage has declared for itself alone.
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

// fits tells whether a task of the stage may be placed.
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

// suits tells whether a task of the stage may be placed once there are enough
// processors.
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

// This file defines what room agents have for tasks.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// roomAge is for how long a room is kept while nothing changes there. What standing
// tasks use by themselves moves little in that time.
const roomAge = 250 * time.Millisecond

type (
	// room is what an agent has left while a pass places tasks.
	room struct {
		agent  *agent
		cpu    float64 // thousandths of a processor not promised to anyone
		memory float64 // MB
		accel  float64
		// idle is what opportunistic tasks may use: thousandths of a processor
		// that others leave unused.
		idle     float64
		capacity float64
		standing int
		images   map[string]int // standing tasks by image
		served   []served
		// tailsKnown tells that served is worked out; it is only where a task
		// that might disturb others could go.
		tailsKnown bool
		stages     map[*graph.Stage]int
		// ordinary is the cpu of ordinary tasks there, which end before long.
		ordinary float64
		// suspects are the tasks there that may end the agent, fresh the runs that it
		// hasn't listed yet; lastTry tells that a suspect is on its last try.
		suspects, fresh int
		lastTry         bool
		// heldFor is the stage that this room is kept clear for, or nil.
		heldFor *graph.Stage
	}

	// served is a standing task with a latency target on an agent.
	served struct {
		image string
		// expected is its utilization with all that is placed beside it at full
		// pace, limit what that should stay below.
		expected, limit float64
	}
)

// rooms are what each usable agent has left, by pool in the order of their ids.
func (e *Engine) rooms() map[string][]*room {
	if e.pools == nil {
		e.sortAgents()
	}
	for pool, agents := range e.pools {
		list := e.lists[pool][:0]
		for _, at := range agents {
			if e.usable(at) {
				list = append(list, e.roomOf(at))
			}
		}
		e.lists[pool] = list
	}
	return e.lists
}

func (e *Engine) sortAgents() {
	e.pools, e.lists = map[string][]*agent{}, map[string][]*room{}
	for _, at := range e.byID() {
		e.pools[at.record.Pool] = append(e.pools[at.record.Pool], at)
	}
}

// roomOf is what an agent has left. It is worked out anew only where something
// changed there, and now and then where loads swing.
func (e *Engine) roomOf(at *agent) *room {
	if at.roomStale || e.now-at.roomAt >= roomAge {
		e.renewRoom(at)
		at.roomStale, at.roomAt = false, e.now
	}
	at.room.heldFor = nil
	return &at.room
}

// renewRoom works out what an agent has left. A run that may exist holds its room,
// whatever is known of it.
func (e *Engine) renewRoom(at *agent) {
	c := at.record
	m := &at.room
	if m.stages == nil {
		m.stages, m.images = map[*graph.Stage]int{}, map[string]int{}
	}
	clear(m.stages)
	clear(m.images)
	*m = room{
		agent: at, cpu: float64(c.CpuMillis), memory: float64(c.MemoryMb), accel: float64(c.Accelerators),
		idle: float64(c.CpuMillis) * roomyUse, capacity: float64(c.CpuMillis),
		stages: m.stages, images: m.images, served: m.served[:0],
	}
	for _, known := range at.ordered {
		m.hold(known.task.Stage)
		m.idle -= e.claim(known)
		m.doubt(known.task, known.seenFor())
	}
}

// expectTails works out what tails the standing tasks on an agent will have
// with all that is placed beside them at full pace.
func (e *Engine) expectTails(m *room) {
	if m.tailsKnown {
		return
	}
	m.tailsKnown = true
	beside := tails.Load{}
	for _, r := range m.agent.ordered {
		if step := r.task.Stage.Step; step.Opportunistic && r.stopReason == "" {
			beside[step.Image] += r.fullShare()
		}
	}
	for _, r := range m.agent.ordered {
		if r.task.Stage.Step.TailTargetMs == 0 {
			continue
		}
		target := targetOf(r.task.Stage.Step)
		own := usualBusy
		if r.own.Valid {
			own = e.highest(r)
		}
		m.served = append(m.served, e.serves(target, own+e.pressure.Interference(target.Image, beside)))
	}
}

// serves is a standing task as a pass sees it.
func (e *Engine) serves(target tails.Target, busy float64) served {
	return served{image: target.Image, expected: busy, limit: e.pressure.Utilization(target, target.Milliseconds*goalShare)}
}

// disturbs is how much a task would add to the utilizations of the standing tasks on
// an agent, and whether all of them are expected to stay below their limits.
func (p *pass) disturbs(s *graph.Stage, m *room) (adds float64, bearable bool) {
	p.engine.expectTails(m)
	share := m.agent.share(float64(s.Step.CpuMillis) * usualUse)
	bearable = true
	for _, v := range m.served {
		more := p.engine.pressure.Weight(v.image, s.Step.Image) * share
		adds += more
		bearable = bearable && (v.expected+more <= v.limit || more < leastAdds)
	}
	return adds, bearable
}

// take gives a task its place, for this pass: what became of it is known once it is
// committed.
func (m *room) take(t *graph.Task) {
	m.agent.roomStale = true
	m.hold(t.Stage)
	m.doubt(t, 0)
	m.idle -= expectedUse(t.Stage.Step)
}

// overdrawn tells whether an agent has less than what its runs have declared. Its room
// may shrink after a run was placed there; a start that is sent, or sent again, then
// would bring an agent that doesn't guard its room over it.
func (m *room) overdrawn() bool { return m.cpu < 0 || m.memory < 0 || m.accel < 0 }

// hold takes what a task of a stage has declared for itself alone.
func (m *room) hold(s *graph.Stage) {
	step := s.Step
	cpu := float64(step.CpuMillis)
	switch {
	case step.Opportunistic:
	case step.Standing:
		m.cpu -= cpu
		m.standing++
		m.images[step.Image]++
	default:
		m.cpu -= cpu
		m.ordinary += cpu
	}
	m.memory -= float64(step.MemoryMb)
	m.accel -= float64(step.Accelerators)
	m.stages[s]++
}

// fits tells whether a task of the stage may be placed.
func (m *room) fits(s *graph.Stage) bool {
	step := s.Step
	switch {
	case m.lastTry || m.heldFor != nil && m.heldFor != s:
		return false
	case !step.Opportunistic && m.cpu < float64(step.CpuMillis):
		return false
	case step.Opportunistic && (m.idle < expectedUse(step) || m.agent.halted):
		return false
	default:
		return m.suits(s)
	}
}

// suits tells whether a task of the stage may be placed once there are enough
// processors.
func (m *room) suits(s *graph.Stage) bool {
	step := s.Step
	switch {
	case m.memory < float64(step.MemoryMb) || m.accel < float64(step.Accelerators):
		return false
	case step.SpreadLimit > 0 && m.stages[s] >= int(step.SpreadLimit):
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

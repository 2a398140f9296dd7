// This file defines what room agents have for tasks.

package drive

import (
	"sort"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

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

// rooms works out what each usable agent has left. A run that may exist
// holds its room, whatever is known of it.
func (e *Engine) rooms() map[string][]*room {
	rooms := map[string][]*room{}
	for _, r := range e.agents {
		if !e.usable(r) {
			continue
		}
		c := r.record
		m := &room{
			agent: r, cpu: float64(c.CpuMillis), memory: float64(c.MemoryMb), accel: float64(c.Accelerators),
			idle: float64(c.CpuMillis) * roomyUse, capacity: float64(c.CpuMillis), stages: map[*graph.Stage]int{}, images: map[string]int{},
		}
		for t, known := range r.runs {
			m.hold(t.Stage)
			m.idle -= e.claim(known)
		}
		rooms[c.Pool] = append(rooms[c.Pool], m)
	}
	for _, list := range rooms {
		sort.Slice(list, func(i, k int) bool { return list[i].agent.record.Id < list[k].agent.record.Id })
	}
	return rooms
}

// expectTails works out what tails the standing tasks on an agent will have
// with all that is placed beside them at full pace.
func (e *Engine) expectTails(m *room) {
	if m.tailsKnown {
		return
	}
	m.tailsKnown = true
	beside := tails.Load{}
	for t, r := range m.agent.runs {
		if t.Stage.Step.Opportunistic && r.stopReason == "" {
			beside[t.Stage.Step.Image] += r.fullShare()
		}
	}
	for t, r := range m.agent.runs {
		if t.Stage.Step.TailTargetMs == 0 {
			continue
		}
		target := targetOf(t.Stage.Step)
		own := usualBusy
		if r.own.Known {
			own = e.highest(r)
		}
		m.served = append(m.served, e.serves(target, own+e.pressure.Added(target.Image, beside)))
	}
}

// serves is a standing task as a pass sees it.
func (e *Engine) serves(target tails.Target, busy float64) served {
	return served{image: target.Image, expected: busy, limit: e.pressure.Busy(target, target.Milliseconds*goalShare)}
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

// take gives a task of a stage its place.
func (m *room) take(s *graph.Stage) {
	m.hold(s)
	m.idle -= expectedUse(s.Step)
}

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
	case m.heldFor != nil && m.heldFor != s:
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

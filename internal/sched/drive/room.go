// This file defines what room agents have for tasks.

package drive

import (
	"sort"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// standingUse is the part of its declared processors that a standing task uses
// on average; what it leaves is given to opportunistic tasks.
const standingUse = 0.5

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
		// expected is the logarithm of its tail with all that is placed beside
		// it at full pace, limit that of what it should stay below.
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
			idle: float64(c.CpuMillis), capacity: float64(c.CpuMillis), stages: map[*graph.Stage]int{}, images: map[string]int{},
		}
		for t := range r.runs {
			m.take(t.Stage)
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
		target := float64(t.Stage.Step.TailTargetMs)
		if target == 0 {
			continue
		}
		quiet := tails.Log(target * usualQuiet)
		if r.quiet.Known {
			quiet = r.quiet.Expect(e.now + placeAhead)
		}
		image := t.Stage.Step.Image
		m.served = append(m.served, served{image: image, expected: quiet + e.pressure.Added(image, beside), limit: tails.Log(target * goalShare)})
	}
}

// disturbs is how much a task would add to the tails of the standing tasks on
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

func (m *room) take(s *graph.Stage) {
	step := s.Step
	cpu := float64(step.CpuMillis)
	switch {
	case step.Opportunistic:
		m.idle -= cpu
	case step.Standing:
		m.cpu -= cpu
		m.idle -= cpu * standingUse
		m.standing++
		m.images[step.Image]++
	default:
		m.cpu -= cpu
		m.idle -= cpu
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
	case step.Opportunistic && (m.idle < float64(step.CpuMillis) || m.agent.halted):
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

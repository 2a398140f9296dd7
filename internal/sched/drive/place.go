// This file defines which task goes where.

package drive

import (
	"errors"
	"math"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// maxPlacements bounds one proposal, so that one burst doesn't hold up the
	// log for long; 300 placements are about 15 KB.
	maxPlacements = 300
	// alikeGain is what an agent full of standing tasks of the same image is
	// worth to another of them, in run times; more than an empty agent is. It
	// raised the worth of opportunistic work from 0.38 to 0.69 of what was owed
	// in a day of 14 jobs a second on 66 agents, n=1 without processor time.
	alikeGain = 3.0
	// disturbCost is what it costs, in run times, to take the standing tasks on an
	// agent from idle to fully utilized.
	disturbCost = 8.0
)

type (
	// pass is one round of placing.
	pass struct {
		engine *Engine
		rooms  map[string][]*room // by pool
		wall   time.Time
		placed []*wire.RunPlacement
		// full remembers for which tasks no room was found in this pass.
		full map[fullKey]need
	}

	// fullKey tells which tasks are alike but for their size.
	fullKey struct {
		pool, image             string
		opportunistic, standing bool
	}

	// need is the size of a task.
	need struct{ cpu, memory, accel uint64 }
)

// place proposes runs for the tasks that are ready. One proposal is under way
// at a time: the next is planned on what became of it.
func (e *Engine) place() {
	if e.placing || e.now < e.nextPass || (!e.dirty && e.now < e.nextTimed) {
		return
	}
	e.dirty, e.nextTimed = false, e.now+timedInterval
	began := e.options.Boot()
	defer func() { e.nextPass = e.now + max(passShare*(e.options.Boot()-began), passInterval) }()
	stages := e.graph.ReadyStages()
	e.noteNeed(stages)
	e.noteReady(stages)
	if len(stages) == 0 {
		return
	}
	p := &pass{engine: e, rooms: e.rooms(), wall: e.options.Wall()}
	for _, r := range e.ordered(stages, p.wall) {
		if len(p.placed) >= maxPlacements {
			e.dirty = true
			break
		}
		before := len(p.placed)
		p.placeStage(r.stage)
		if len(p.placed) > before {
			e.logPlaced(r, p.placed[before:])
		}
	}
	if len(p.placed) == 0 {
		return
	}
	e.placing = true
	placements := p.placed
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placements}}},
		func(res state.Result, err error) { e.placementsCommitted(placements, res, err) })
}

// noteReady keeps since when stages have tasks to place.
func (e *Engine) noteReady(stages []*graph.Stage) {
	for _, s := range stages {
		if _, known := e.readySince[s]; !known {
			e.readySince[s] = e.now
		}
	}
	for s := range e.readySince {
		if s.Job.Ended() {
			delete(e.readySince, s)
			delete(e.advice, s)
		}
	}
}

// placementsCommitted orders the starts. Only now may they leave: a later
// leader has to know of every run that may exist.
func (e *Engine) placementsCommitted(placements []*wire.RunPlacement, res state.Result, err error) {
	e.placing = false
	if err != nil {
		return
	}
	for i, p := range placements {
		if res.Placed[i] != nil {
			if !errors.Is(res.Placed[i], graph.ErrNotReady) {
				e.options.Logger.Info("placement refused", "job", p.Id.Job, "agent", p.Agent, "error", res.Placed[i])
			}
			continue
		}
		t, at := e.graph.Find(p.Id), e.agents[p.Agent]
		if t == nil || at == nil || t.Agent != p.Agent || t.Run != p.Id.Run {
			continue
		}
		e.followTask(at, t)
		r := e.runs[t]
		if e.wantsStop(r) != "" {
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "not wanted any more before it was ordered")
			continue
		}
		e.start(r)
	}
}

func (p *pass) placeStage(s *graph.Stage) {
	rooms := p.rooms[p.engine.poolOf(s.Job)]
	if p.engine.policyOf(s) != nil {
		all := rooms
		rooms = p.advised(s, all)
		defer func() {
			if p.leftOf(s) {
				p.askAdvice(s, all)
			}
		}()
	}
	if s.Step.Gang {
		p.placeGang(s, rooms)
		return
	}
	advised := p.engine.policyOf(s) != nil
	if !advised && p.knownFull(s) {
		return
	}
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if s.Standing() && t.Run == 0 && p.engine.on(Reserve) && !p.spares(s, rooms) {
			return
		}
		m := p.choose(t, rooms)
		if m == nil && s.Standing() && t.Run > 0 {
			if p.engine.on(KeepClear) {
				p.keepClear(t, rooms)
			}
			continue
		}
		if m == nil {
			if s.Step.SpreadLimit == 0 && s.Step.RequiredLabel == "" && !advised {
				p.noteFull(s)
				return // the others are like it
			}
			continue
		}
		delete(p.engine.clearing, t)
		p.take(t, m, t.Run+1)
	}
}

// leftOf tells whether this pass left tasks of a stage unplaced.
func (p *pass) leftOf(s *graph.Stage) bool {
	placed := 0
	for _, r := range p.placed {
		if r.Id.Job == s.Job.ID && r.Id.Occurrence == s.Occurrence && r.Id.Step == s.Index {
			placed++
		}
	}
	return placed < s.Unplaced
}

func (p *pass) fullKey(s *graph.Stage) fullKey {
	return fullKey{p.engine.poolOf(s.Job), s.Step.Image, s.Step.Opportunistic, s.Standing()}
}

// knownFull tells whether a smaller task of the same kind found no room in this
// pass already. Under overload most stages end here, instead of looking at
// every agent in vain.
func (p *pass) knownFull(s *graph.Stage) bool {
	n, ok := p.full[p.fullKey(s)]
	return ok && s.Step.CpuMillis >= n.cpu && s.Step.MemoryMb >= n.memory && s.Step.Accelerators >= n.accel
}

func (p *pass) noteFull(s *graph.Stage) {
	if p.full == nil {
		p.full = map[fullKey]need{}
	}
	p.full[p.fullKey(s)] = need{s.Step.CpuMillis, s.Step.MemoryMb, s.Step.Accelerators}
}

// poolOf is where a job's tasks run: what its queue says now, or said when it
// was taken if the queue is gone.
func (e *Engine) poolOf(j *graph.Job) string {
	if q := e.graph.Queue(j.Queue); q != nil {
		return q.Pool
	}
	return j.Pool
}

func (p *pass) take(t *graph.Task, m *room, number uint32) {
	m.take(t.Stage)
	p.noteBeside(t.Stage, m)
	id := t.ID()
	id.Run = number
	p.placed = append(p.placed, &wire.RunPlacement{Id: id, Agent: m.agent.record.Id})
}

// noteBeside adds a newly placed task to what is expected of the tails there.
func (p *pass) noteBeside(s *graph.Stage, m *room) {
	step := s.Step
	if step.TailTargetMs == 0 && !step.Opportunistic {
		return
	}
	p.engine.expectTails(m)
	if step.TailTargetMs > 0 {
		m.served = append(m.served, p.engine.serves(targetOf(step), usualBusy))
	}
	if !step.Opportunistic {
		return
	}
	share := m.agent.share(float64(step.CpuMillis) * usualUse)
	for i := range m.served {
		m.served[i].expected += p.engine.pressure.Weight(m.served[i].image, step.Image) * share
	}
}

// choose returns the agent that a task is best placed on, or nil.
func (p *pass) choose(t *graph.Task, rooms []*room) *room {
	var best *room
	bestCost := math.Inf(1)
	for _, m := range rooms {
		if !m.fits(t.Stage) {
			continue
		}
		if cost := p.cost(t, m); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// cost rates an agent for a task; lower is better. Its unit is the task's run
// time on a sound agent near its data.
func (p *pass) cost(t *graph.Task, m *room) float64 {
	step := t.Stage.Step
	cost := p.engine.learned.slowness(m.agent.record.Id)
	if step.DataRack != "" && step.DataRack != m.agent.record.Rack {
		cost *= p.engine.options.OtherRackFactor
	}
	if t.LastFailedOn == m.agent.record.Id {
		cost += 2
	}
	if step.Opportunistic {
		adds, bearable := p.disturbs(t.Stage, m)
		if !bearable || t.AvoidAgent == m.agent.record.Id {
			return math.Inf(1)
		}
		return cost + adds*disturbCost - m.idle/max(m.capacity, 1)
	}
	if step.Standing {
		// Like images are disturbed by the same ones. Where they are together,
		// there are agents left for each kind of opportunistic work.
		alike := float64(m.images[step.Image]) / float64(m.standing+1)
		if !p.engine.on(AlikeTogether) {
			alike = 0
		}
		return cost - alikeGain*alike - m.cpu/max(m.capacity, 1)
	}
	return cost - 0.5*m.cpu/max(m.capacity, 1)
}

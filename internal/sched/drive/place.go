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
	// worth to another of them, in run times; more than an empty agent is.
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
		spare  map[string]*spare  // by pool
		wall   time.Time
		placed []*wire.RunPlacement
		// full remembers for which kinds of tasks no room was found in this pass, and
		// the smallest of them; zero where there may be room.
		full []need
	}

	// taskKind tells which tasks are alike but for their size.
	taskKind struct {
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
	began := e.options.BootClock()
	defer func() { e.nextPass = e.now + max(passShare*(e.options.BootClock()-began), passInterval) }()
	wall := e.options.WallClock()
	e.renewLine(wall)
	if e.line.empty() {
		return
	}
	p := e.newPass(wall)
	e.line.each(func(r *ranked) bool {
		before := len(p.placed)
		p.placeStage(r)
		if len(p.placed) > before {
			e.logPlaced(r, p.placed[before:])
		}
		return len(p.placed) < maxPlacements
	})
	e.dirty = e.dirty || len(p.placed) >= maxPlacements
	if len(p.placed) == 0 {
		return
	}
	e.placing = true
	placements := p.placed
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placements}}},
		func(res state.Result, err error) { e.placementsCommitted(placements, res, err) })
}

func (e *Engine) newPass(wall time.Time) *pass {
	p := &pass{engine: e, rooms: e.rooms(), spare: map[string]*spare{}, wall: wall, full: make([]need, len(e.line.kinds))}
	for pool, rooms := range p.rooms {
		p.spare[pool] = sumUp(rooms)
	}
	return p
}

// placementsCommitted orders the starts. Only now may they leave: a later
// leader has to know of every run that may exist.
func (e *Engine) placementsCommitted(placements []*wire.RunPlacement, res state.Result, err error) {
	e.placing = false
	if err != nil {
		return
	}
	for i, p := range placements {
		if res.PlacementErrors[i] != nil {
			if !errors.Is(res.PlacementErrors[i], graph.ErrNotReady) {
				e.options.Logger.Info("placement refused", "job", p.Id.Job, "agent", p.Agent, "error", res.PlacementErrors[i])
			}
			continue
		}
		t, at := e.graph.FindTask(p.Id), e.agents[p.Agent]
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

func (p *pass) placeStage(r *ranked) {
	s := r.stage
	if p.knownFull(r) {
		return
	}
	rooms := p.rooms[p.engine.poolOf(s.Job)]
	advised := p.engine.policyOf(s) != nil
	if advised {
		all := rooms
		rooms = p.advised(s, all)
		defer func() {
			if p.leftOf(s) {
				p.askAdvice(s, all)
			}
		}()
	}
	switch {
	case s.Step.Gang:
		p.placeGang(s, rooms)
	case advised:
		p.placeTasks(s, rooms)
	case !p.placeTasks(s, rooms) && s.Step.SpreadLimit == 0 && s.Step.RequiredLabel == "":
		p.full[r.kind] = needOf(s.Step)
	}
}

// placeTasks places the tasks of a stage one by one; false when one of them, and
// so every other like it, found no room.
func (p *pass) placeTasks(s *graph.Stage, rooms []*room) bool {
	f := p.newSearch(s, rooms)
	tries := p.spare[p.engine.poolOf(s.Job)]
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if s.Standing() && t.Run == 0 && p.engine.on(ReserveForOrdinary) && !p.spares(s) {
			return true
		}
		m := f.best(t)
		if t.OnFinalAttempt() && !tries.takesLastTry() && (m == nil || !m.empty()) {
			continue
		}
		switch {
		case m != nil:
			delete(p.engine.clearing, t)
			if t.OnFinalAttempt() && !m.empty() {
				tries.giveLastTry()
			}
			p.take(t, m, t.Run+1)
			f.taken(m)
		case t.OnFinalAttempt():
			if p.engine.on(ReserveForStanding) {
				p.keepClear(t, rooms)
				tries.giveLastTry()
			}
		case s.Standing() && t.Run > 0:
			if p.engine.on(ReserveForStanding) {
				p.keepClear(t, rooms)
			}
		case f.none():
			return false
		}
	}
	return true
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

func (e *Engine) kindOf(s *graph.Stage) taskKind {
	return taskKind{e.poolOf(s.Job), s.Step.Image, s.Step.Opportunistic, s.Standing()}
}

func needOf(step *wire.Step) need { return need{step.CpuMillis, step.MemoryMb, step.Accelerators} }

// knownFull tells whether a smaller task of the same kind found no room in this
// pass already. Under overload most stages end here, instead of looking at
// every agent in vain.
func (p *pass) knownFull(r *ranked) bool {
	n, step := p.full[r.kind], r.stage.Step
	return n != need{} && step.CpuMillis >= n.cpu && step.MemoryMb >= n.memory && step.Accelerators >= n.accel &&
		!step.Gang && !r.advised
}

// poolOf is where a job's tasks run: what its queue says now, or said when it
// was taken if the queue is gone.
func (e *Engine) poolOf(j *graph.Job) string { return e.poolNamed(j.Queue, j.Pool) }

func (e *Engine) poolNamed(queue, accepted string) string {
	if q := e.graph.Queue(queue); q != nil {
		return q.Pool
	}
	return accepted
}

func (p *pass) take(t *graph.Task, m *room, number uint32) {
	m.take(t)
	if known := p.spare[p.engine.poolOf(t.Stage.Job)]; known != nil {
		known.take(t.Stage)
	}
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

// cost rates an agent for the tasks of a stage; lower is better. Its unit is the
// task's run time on a sound agent near its data.
func (p *pass) cost(s *graph.Stage, m *room) float64 {
	step := s.Step
	cost := p.engine.learned.slowness(m.agent.record.Id)
	if step.DataRack != "" && step.DataRack != m.agent.record.Rack {
		cost *= p.engine.options.OtherRackFactor
	}
	if step.Opportunistic {
		adds, bearable := p.disturbs(s, m)
		if !bearable {
			return math.Inf(1)
		}
		return cost + adds*disturbCost - m.idle/max(m.capacity, 1)
	}
	if step.Standing {
		// Like images are disturbed by the same ones. Where they are together,
		// there are agents left for each kind of opportunistic work.
		alike := float64(m.images[step.Image]) / float64(m.standing+1)
		if !p.engine.on(GroupSimilar) {
			alike = 0
		}
		return cost - alikeGain*alike - m.cpu/max(m.capacity, 1)
	}
	return cost - 0.5*m.cpu/max(m.capacity, 1)
}

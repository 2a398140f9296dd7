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
	// similarityGain is what an agent full of standing tasks of the same image is
	// worth to another of them, in run times; more than an empty agent is.
	similarityGain = 3.0
	// interferenceCost is what it costs, in run times, to take the standing tasks on an
	// agent from idle to fully utilized.
	interferenceCost = 8.0
)

type (
	// pass is one round of placing.
	pass struct {
		engine     *Engine
		freeByPool map[string][]*freeResources // by pool
		summaries  map[string]*poolSummary     // by pool
		wallTime   time.Time
		placed     []*wire.RunPlacement
		// full remembers for which kinds of tasks no room was found in this pass, and
		// the smallest of them; zero where there may be room.
		unplaceable []taskSize
	}

	// taskClass tells which tasks are alike but for their size.
	taskClass struct {
		pool, image             string
		opportunistic, standing bool
	}

	// need is the size of a task.
	taskSize struct{ cpuMillis, memoryMB, accelerators uint64 }
)

// place proposes runs for the tasks that are ready. One proposal is under way
// at a time: the next is planned on what became of it.
func (e *Engine) place() {
	if e.placementPending || e.now < e.nextPass || (!e.placementDirty && e.now < e.nextTimedCheck) {
		return
	}
	e.placementDirty, e.nextTimedCheck = false, e.now+timedCheckInterval
	began := e.options.BootClock()
	defer func() { e.nextPass = e.now + max(passGapFactor*(e.options.BootClock()-began), minPassInterval) }()
	wall := e.options.WallClock()
	e.updateQueue(wall)
	if e.queue.empty() {
		return
	}
	p := e.newPass(wall)
	e.queue.each(func(r *rankedStage) bool {
		before := len(p.placed)
		p.placeStage(r)
		if len(p.placed) > before {
			e.logPlaced(r, p.placed[before:])
		}
		return len(p.placed) < maxPlacements
	})
	e.placementDirty = e.placementDirty || len(p.placed) >= maxPlacements
	if len(p.placed) == 0 {
		return
	}
	e.placementPending = true
	placements := p.placed
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placements}}},
		func(res state.Result, err error) { e.handlePlacements(placements, res, err) })
}

func (e *Engine) newPass(wall time.Time) *pass {
	p := &pass{engine: e, freeByPool: e.freeResourcesByPool(), summaries: map[string]*poolSummary{}, wallTime: wall, unplaceable: make([]taskSize, len(e.queue.classes))}
	for pool, rooms := range p.freeByPool {
		p.summaries[pool] = summarize(rooms)
	}
	return p
}

// handlePlacements orders the starts. Only now may they leave: a later
// leader has to know of every run that may exist.
func (e *Engine) handlePlacements(placements []*wire.RunPlacement, res state.Result, err error) {
	e.placementPending = false
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
		e.syncTask(at, t)
		r := e.runs[t]
		if e.reasonToStop(r) != "" {
			e.resolve(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "not wanted any more before it was ordered")
			continue
		}
		e.start(r)
	}
}

func (p *pass) placeStage(r *rankedStage) {
	s := r.stage
	if p.knownUnplaceable(r) {
		return
	}
	rooms := p.freeByPool[p.engine.poolOf(s.Job)]
	advised := p.engine.advicePolicyOf(s) != nil
	if advised {
		all := rooms
		rooms = p.withTickets(s, all)
		defer func() {
			if p.hasUnplaced(s) {
				p.requestAdvice(s, all)
			}
		}()
	}
	switch {
	case s.Step.Gang:
		p.placeGang(s, rooms)
	case advised:
		p.placeTasks(s, rooms)
	case !p.placeTasks(s, rooms) && s.Step.SpreadLimit == 0 && s.Step.RequiredLabel == "":
		p.unplaceable[r.class] = taskSizeOf(s.Step)
	}
}

// placeTasks places the tasks of a stage one by one; false when one of them, and
// so every other like it, found no room.
func (p *pass) placeTasks(s *graph.Stage, rooms []*freeResources) bool {
	f := p.newSearch(s, rooms)
	tries := p.summaries[p.engine.poolOf(s.Job)]
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if s.Standing() && t.Run == 0 && p.engine.enabled(ReserveForOrdinary) && !p.leavesReserve(s) {
			return true
		}
		m := f.best(t)
		if t.OnFinalAttempt() && !tries.allowsFinalAttempt() && (m == nil || !m.empty()) {
			continue
		}
		switch {
		case m != nil:
			delete(p.engine.reservations, t)
			if t.OnFinalAttempt() && !m.empty() {
				tries.countFinalAttempt()
			}
			p.assume(t, m, t.Run+1)
			f.updateRating(m)
		case t.OnFinalAttempt():
			if p.engine.enabled(ReserveForStanding) {
				p.reserveForStanding(t, rooms)
				tries.countFinalAttempt()
			}
		case s.Standing() && t.Run > 0:
			if p.engine.enabled(ReserveForStanding) {
				p.reserveForStanding(t, rooms)
			}
		case f.exhausted():
			return false
		}
	}
	return true
}

// hasUnplaced tells whether this pass left tasks of a stage unplaced.
func (p *pass) hasUnplaced(s *graph.Stage) bool {
	placed := 0
	for _, r := range p.placed {
		if r.Id.Job == s.Job.ID && r.Id.Occurrence == s.Occurrence && r.Id.Step == s.Index {
			placed++
		}
	}
	return placed < s.Unplaced
}

func (e *Engine) taskClassOf(s *graph.Stage) taskClass {
	return taskClass{e.poolOf(s.Job), s.Step.Image, s.Step.Opportunistic, s.Standing()}
}

func taskSizeOf(step *wire.Step) taskSize {
	return taskSize{step.CpuMillis, step.MemoryMb, step.Accelerators}
}

// knownUnplaceable tells whether a smaller task of the same kind found no room in this
// pass already. Under overload most stages end here, instead of looking at
// every agent in vain.
func (p *pass) knownUnplaceable(r *rankedStage) bool {
	n, step := p.unplaceable[r.class], r.stage.Step
	return n != taskSize{} && step.CpuMillis >= n.cpuMillis && step.MemoryMb >= n.memoryMB && step.Accelerators >= n.accelerators &&
		!step.Gang && !r.advised
}

// poolOf is where a job's tasks run: what its queue says now, or said when it
// was taken if the queue is gone.
func (e *Engine) poolOf(j *graph.Job) string { return e.currentPool(j.Queue, j.Pool) }

func (e *Engine) currentPool(queue, accepted string) string {
	if q := e.graph.Queue(queue); q != nil {
		return q.Pool
	}
	return accepted
}

func (p *pass) assume(t *graph.Task, m *freeResources, number uint32) {
	m.assume(t)
	if known := p.summaries[p.engine.poolOf(t.Stage.Job)]; known != nil {
		known.assume(t.Stage)
	}
	p.recordColocated(t.Stage, m)
	id := t.ID()
	id.Run = number
	p.placed = append(p.placed, &wire.RunPlacement{Id: id, Agent: m.agent.record.Id})
}

// recordColocated adds a newly placed task to what is expected of the tails there.
func (p *pass) recordColocated(s *graph.Stage, m *freeResources) {
	step := s.Step
	if step.TailTargetMs == 0 && !step.Opportunistic {
		return
	}
	p.engine.predictTails(m)
	if step.TailTargetMs > 0 {
		m.latencyTasks = append(m.latencyTasks, p.engine.newLatencyTask(latencyTargetOf(step), defaultUtilization))
	}
	if !step.Opportunistic {
		return
	}
	share := m.agent.cpuShare(float64(step.CpuMillis) * defaultUseShare)
	for i := range m.latencyTasks {
		m.latencyTasks[i].expectedUtilization += p.engine.tailModel.Weight(m.latencyTasks[i].image, step.Image) * share
	}
}

// cost rates an agent for the tasks of a stage; lower is better. Its unit is the
// task's run time on a sound agent near its data.
func (p *pass) cost(s *graph.Stage, m *freeResources) float64 {
	step := s.Step
	cost := p.engine.estimates.expectedSlowdown(m.agent.record.Id)
	if step.DataRack != "" && step.DataRack != m.agent.record.Rack {
		cost *= p.engine.options.OtherRackFactor
	}
	if step.Opportunistic {
		adds, bearable := p.interference(s, m)
		if !bearable {
			return math.Inf(1)
		}
		return cost + adds*interferenceCost - m.reclaimable/max(m.capacityMillis, 1)
	}
	if step.Standing {
		// Like images are disturbed by the same ones. Where they are together,
		// there are agents left for each kind of opportunistic work.
		alike := float64(m.standingByImage[step.Image]) / float64(m.standing+1)
		if !p.engine.enabled(GroupSimilar) {
			alike = 0
		}
		return cost - similarityGain*alike - m.cpuMillis/max(m.capacityMillis, 1)
	}
	return cost - 0.5*m.cpuMillis/max(m.capacityMillis, 1)
}

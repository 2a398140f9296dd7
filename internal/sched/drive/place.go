// This file defines how tasks are assigned to agents.

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
	// maxPlacements limits one proposal so that a burst doesn't block the log; 300
	// placements are about 15 KB.
	maxPlacements = 300
	// similarityGain is the gain, in run times, of placing a standing task on an agent
	// that is full of standing tasks with the same image. It outweighs an empty agent.
	similarityGain = 3.0
	// interferenceCost is the cost, in run times, of raising the utilization of the
	// standing tasks on an agent from 0 to 1.
	interferenceCost = 8.0
	// throttledStartCost is the cost, in run times, of an agent on which a task has to be
	// throttled. It outweighs all others but that of an eviction from there.
	throttledStartCost = 10.0
)

type (
	// pass is one scheduling pass.
	pass struct {
		engine     *Engine
		freeByPool map[string][]*freeResources
		summaries  map[string]*poolSummary // by pool
		// startRooms caches the room for further starts, by priority, as of the beginning.
		startRooms map[uint32]int
		// tight are the pools in which placement considers fragmentation.
		tight    map[string]*tightPool
		wallTime time.Time
		placed   []*wire.RunPlacement
		// throttled are the CPU percentages of the placed runs that start throttled.
		throttled map[*wire.RunPlacement]int
		// unplaceable holds, by task class, the size of the latest task that fit on no
		// agent in this pass; zero if there is none.
		unplaceable []taskSize
	}

	// taskClass identifies tasks that differ only in size.
	taskClass struct {
		pool, image             string
		opportunistic, standing bool
	}

	// taskSize is the requested resources of a task.
	taskSize struct{ cpuMillis, memoryMB, accelerators uint64 }
)

// place runs a scheduling pass over the ready tasks and proposes the placements. Only one
// proposal is in flight at a time, as the next pass depends on its result.
func (e *Engine) place() {
	if e.placementPending || e.now < e.nextPass || (!e.placementDirty && e.now < e.nextTimedCheck) {
		return
	}
	e.placementDirty, e.nextTimedCheck = false, e.now+timedCheckInterval
	startedAt := e.options.BootClock()
	defer func() { e.nextPass = e.now + max(passGapFactor*(e.options.BootClock()-startedAt), minPassInterval) }()
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
			e.progress[r.stage].recordProposal(e.now)
			e.logPlaced(r, p.placed[before:])
		}
		return len(p.placed) < maxPlacements
	})
	p.reportLateStages()
	e.placementDirty = e.placementDirty || len(p.placed) >= maxPlacements
	if len(p.placed) == 0 {
		return
	}
	e.placementPending = true
	placements := p.placed
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placements}}},
		func(res state.Result, err error) { e.handlePlacements(placements, p.throttled, res, err) })
}

func (e *Engine) newPass(wall time.Time) *pass {
	p := &pass{engine: e, freeByPool: e.freeResourcesByPool(), summaries: map[string]*poolSummary{}, startRooms: map[uint32]int{}, wallTime: wall, unplaceable: make([]taskSize, len(e.queue.classes))}
	for k, fs := range p.freeByPool {
		p.summaries[k] = summarize(fs)
	}
	p.tight = e.tightPools(p.summaries)
	return p
}

// handlePlacements starts the runs whose placement was committed. They must not be
// started earlier: a later leader has to know of every run that may exist.
func (e *Engine) handlePlacements(placements []*wire.RunPlacement, throttled map[*wire.RunPlacement]int, res state.Result, err error) {
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
		t, a := e.graph.FindTask(p.Id), e.agents.byID[p.Agent]
		if t == nil || a == nil || t.Agent != p.Agent || t.Run != p.Id.Run {
			continue
		}
		e.progress[t.Stage].recordCommit(e.now)
		e.syncTask(a, t)
		r := e.runs[t]
		if percent, ok := throttled[p]; ok {
			r.targetPercent = percent
		}
		e.queueStart(r)
	}
	e.sendStarts()
}

func (p *pass) placeStage(r *rankedStage) {
	s := r.stage
	if p.startRoom(s) <= 0 {
		return
	}
	if p.knownUnplaceable(r) {
		return
	}
	candidates := p.freeByPool[p.engine.poolOf(s.Job)]
	advised := p.engine.advicePolicyOf(s) != nil
	if advised {
		all := candidates
		candidates = p.withTickets(s, all)
		defer func() {
			if p.hasUnplaced(s) {
				p.requestAdvice(s, all)
			}
		}()
	}
	switch {
	case s.Step.Gang:
		p.placeGang(s, candidates)
	case advised:
		p.placeTasks(s, candidates)
	case !p.placeTasks(s, candidates) && s.Step.SpreadLimit == 0 && s.Step.RequiredLabel == "":
		p.unplaceable[r.class] = taskSizeOf(s.Step)
	}
}

// placeTasks places the tasks of a stage one by one. It returns false if a task, and
// therefore any other like it, fits on no agent.
func (p *pass) placeTasks(s *graph.Stage, candidates []*freeResources) bool {
	sr := p.newSearch(s, candidates)
	summary := p.summaries[p.engine.poolOf(s.Job)]
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if p.startRoom(s) <= 0 {
			return true
		}
		if s.Standing() && t.Run == 0 && p.engine.enabled(ReserveForOrdinary) && !p.leavesReserve(s) {
			return true
		}
		if p.knownHeldBack(t) {
			return true
		}
		free := sr.best(t)
		if free != nil && s.Standing() && t.Run == 0 && !p.leavesHoles(s, free) {
			p.recordHeldBack(s, free)
			return true
		}
		if t.OnFinalAttempt() && !summary.allowsFinalAttempt() && (free == nil || !free.empty()) {
			continue
		}
		switch {
		case free != nil:
			delete(p.engine.reservations, t)
			if t.OnFinalAttempt() && !free.empty() {
				summary.countFinalAttempt()
			}
			p.assume(t, free, t.Run+1)
			sr.updateRating(free)
		case t.OnFinalAttempt():
			if p.engine.enabled(ReserveForStanding) {
				p.reserveForStanding(t, candidates)
				summary.countFinalAttempt()
			}
		case s.Standing() && t.Run > 0:
			if p.engine.enabled(ReserveForStanding) {
				p.reserveForStanding(t, candidates)
			}
		case sr.exhausted():
			return false
		}
	}
	return true
}

// hasUnplaced reports whether this pass left tasks of a stage unplaced.
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

// knownUnplaceable reports whether a task of the same class and at most the same size is
// known to fit on no agent in this pass. Under overload this saves a search for most stages.
func (p *pass) knownUnplaceable(r *rankedStage) bool {
	size, step := p.unplaceable[r.class], r.stage.Step
	return size != taskSize{} && size.fitsWhere(step) && !step.Gang && !r.advised
}

// fitsWhere reports whether a task of this size fits wherever one of the step does.
func (s taskSize) fitsWhere(step *wire.Step) bool {
	return step.CpuMillis >= s.cpuMillis && step.MemoryMb >= s.memoryMB && step.Accelerators >= s.accelerators
}

// poolOf returns the pool of a job: that of its queue, or the one recorded at submission
// if the terms of the queue were lost before they were kept.
func (e *Engine) poolOf(j *graph.Job) string { return e.currentPool(j.Queue, j.Pool) }

func (e *Engine) currentPool(queue, fallback string) string {
	if q := e.graph.Queue(queue); q != nil {
		return q.Pool
	}
	return fallback
}

func (p *pass) assume(t *graph.Task, free *freeResources, number uint32) {
	percent := fullPercent
	if t.Stage.Step.Opportunistic {
		percent = p.engine.acceptablePercent(t.Stage, free)
	}
	p.recordTaken(t.Stage, free)
	free.assume(t)
	if summary := p.summaries[p.engine.poolOf(t.Stage.Job)]; summary != nil {
		summary.assume(t.Stage)
	}
	p.recordColocated(t.Stage, free)
	id := t.ID()
	id.Run = number
	placement := &wire.RunPlacement{Id: id, Agent: free.agent.record.Id}
	p.placed = append(p.placed, placement)
	if percent < fullPercent {
		if p.throttled == nil {
			p.throttled = map[*wire.RunPlacement]int{}
		}
		p.throttled[placement] = percent
	}
}

// recordColocated updates the expected utilization of the standing tasks on an agent for
// a newly placed task.
func (p *pass) recordColocated(s *graph.Stage, free *freeResources) {
	step := s.Step
	if step.TailTargetMs == 0 && !step.Opportunistic {
		return
	}
	p.engine.predictTails(free)
	if step.TailTargetMs > 0 {
		free.latencyTasks = append(free.latencyTasks, p.engine.newLatencyTask(latencyTargetOf(step), defaultUtilization))
	}
	if !step.Opportunistic {
		return
	}
	share := free.agent.expectedShare(step)
	for i := range free.latencyTasks {
		free.latencyTasks[i].expectedUtilization += p.engine.tailModel.Weight(free.latencyTasks[i].image, step.Image) * share
	}
}

// cost rates an agent for the tasks of a stage; lower is better. The unit is the task's
// run time on a healthy agent in the rack of its data.
func (p *pass) cost(s *graph.Stage, free *freeResources) float64 {
	step := s.Step
	cost := p.engine.expectedSlowdown(free.agent)
	if step.DataRack != "" && step.DataRack != free.agent.record.Rack {
		cost *= p.engine.options.OtherRackFactor
	}
	if step.Opportunistic {
		switch percent := p.engine.acceptablePercent(s, free); {
		case percent == fullPercent:
		case percent > 0 && p.allowsThrottledStart(s):
			cost += throttledStartCost
		default:
			return math.Inf(1)
		}
		return cost + p.interference(s, free)*interferenceCost - free.reclaimable/max(free.capacityMillis, 1)
	}
	if step.Standing {
		// Standing tasks with the same image suffer from the same colocated images.
		// Grouping them leaves agents for every kind of opportunistic work.
		similar := float64(free.standingByImage[step.Image]) / float64(free.standing+1)
		if !p.engine.enabled(GroupSimilar) {
			similar = 0
		}
		cost -= similarityGain * similar
		if t := p.tightPoolOf(s); t != nil {
			return cost + t.cost(p, s, free)
		}
		return cost - free.cpuMillis/max(free.capacityMillis, 1)
	}
	if p.engine.enabled(ContentionAware) {
		cost += contentionCost * free.contention(defaultCPU(step))
	}
	if t := p.tightPoolOf(s); t != nil {
		return cost + t.cost(p, s, free)
	}
	return cost - 0.5*free.cpuMillis/max(free.capacityMillis, 1)
}

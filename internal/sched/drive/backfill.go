// This file defines the agents that are held for stages which find no room: until ordinary runs end
// there, or until opportunistic runs that occupy the memory have stopped.

package drive

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// holdSlack is the slack from which a stage holds an agent. Ordinary runs take 0.6 s and
	// more, so an agent that is held later rarely has room in time.
	holdSlack = 300 * time.Millisecond
	// maxHeldShare is the share of a pool's agents that may be held. CPU on them lies idle
	// until the room is large enough.
	maxHeldShare = 0.1
	// holdSearchInterval is the pause between two searches for one stage, so that stages for
	// which there is no room don't use up the searches.
	holdSearchInterval = 50 * time.Millisecond
	// maxHoldSearches limits the searches of one pass for an agent to hold or to free memory on. Each
	// examines the runs of all agents.
	maxHoldSearches = 3
)

// hold reserves an agent for a stage. Others may use the agent if they end before until (EASY
// backfilling), or if their queue is more urgent.
type hold struct {
	stage    *graph.Stage
	priority uint32
	until    time.Duration
	// preempted indicates that runs were stopped there to free memory.
	preempted bool
}

// heldBackTask is a task that fits on no agent but held ones.
type heldBackTask struct {
	size     taskSize
	duration time.Duration
	priority uint32
}

// updateHolds drops the holds that are no longer needed or possible, and predicts anew when the
// others will have room.
func (p *pass) updateHolds() {
	e := p.engine
	for _, id := range slices.Sorted(maps.Keys(e.holds)) {
		h, a := e.holds[id], e.agents.byID[id]
		reason := ""
		switch {
		case !h.stage.Ready() || h.stage.Job.Ended():
			reason = "nothing to place"
		case a == nil || !e.schedulable(a):
			reason = "agent unavailable"
		case p.tightPoolOf(h.stage) == nil:
			reason = "pool not tight"
		case h.preempted && e.now > h.until+e.options.StopGrace:
			reason = "runs not stopped in time"
		case !h.preempted:
			var ok bool
			if h.until, ok = e.roomAt(&a.free, h.stage.Step); !ok {
				reason = "no room expected"
			}
		}
		if reason != "" {
			delete(e.holds, id)
			e.options.Logger.Info("held agent released", "agent", id, "job", h.stage.Job.ID, "step", h.stage.Index, "reason", reason)
			continue
		}
		if p.holders == nil {
			p.holders = map[*graph.Stage]bool{}
		}
		p.holders[h.stage] = true
	}
}

// recordHeldBack records that tasks of a stage fit on no agent but held ones.
func (p *pass) recordHeldBack(r *rankedStage) {
	duration, known := p.engine.expectedDuration(r.stage)
	if r.first || !known {
		return
	}
	if p.heldBack == nil {
		p.heldBack = map[int]heldBackTask{}
	}
	p.heldBack[r.class] = heldBackTask{taskSizeOf(r.stage.Step), duration, r.priority}
}

// knownHeldBack reports whether a task of the same class that is at most as large, as long and as
// urgent is known to fit on no agent but held ones in this pass. Like knownUnplaceable it saves most
// searches under overload.
func (p *pass) knownHeldBack(r *rankedStage) bool {
	known, ok := p.heldBack[r.class]
	if !ok || r.first || r.advised || r.stage.Step.Gang || p.holders[r.stage] || r.priority < known.priority || !known.size.fitsWhere(r.stage.Step) {
		return false
	}
	duration, ends := p.engine.expectedDuration(r.stage)
	return !ends || duration >= known.duration
}

// mayUse reports whether a stage may use an agent with regard to its hold.
func (p *pass) mayUse(s *graph.Stage, free *freeResources) bool {
	if len(p.engine.holds) == 0 {
		return true
	}
	h := p.engine.holds[free.agent.record.Id]
	switch {
	case h == nil || h.stage == s || s.Standing() && s.HasRun() || s.OnFinalAttempt():
		return true
	case p.engine.priorityOf(s) < h.priority:
		return true
	default:
		duration, known := p.engine.expectedDuration(s)
		return known && p.engine.now+duration <= h.until
	}
}

// expectedDuration returns the expected run time of the tasks of a stage, false if it is unknown.
func (e *Engine) expectedDuration(s *graph.Stage) (time.Duration, bool) {
	return time.Duration(float64(declaredDuration(s)) * e.durationFactor(s)), s.Step.EstimateMs > 0 && !s.Standing()
}

// expectedEnd returns when a run is expected to end. An overdue run is expected to take as long
// again as it is overdue.
func (e *Engine) expectedEnd(r *run) (time.Duration, bool) {
	if e.reasonToStop(r) != "" {
		return e.now + e.options.StopGrace, true
	}
	duration, known := e.expectedDuration(r.task.Stage)
	end := max(r.startedAt, r.trackedAt) + duration
	if end < e.now {
		end = e.now + (e.now - end)
	}
	return end, known
}

// roomAt returns when an agent is expected to have room for a task, as its ordinary runs end; false
// if they don't leave enough.
func (e *Engine) roomAt(f *freeResources, step *wire.Step) (time.Duration, bool) {
	type runEnd struct {
		at   time.Duration
		step *wire.Step
	}
	var ends []runEnd
	for _, r := range f.agent.sortedRuns {
		if at, known := e.expectedEnd(r); known && !r.task.Stage.Step.Opportunistic {
			ends = append(ends, runEnd{at, r.task.Stage.Step})
		}
	}
	slices.SortStableFunc(ends, func(x, y runEnd) int { return cmp.Compare(x.at, y.at) })
	cpu, memory, accelerators, at := f.cpuMillis, f.memoryMB, f.accelerators, e.now
	for {
		if cpu >= float64(step.CpuMillis) && memory >= float64(step.MemoryMb) && accelerators >= float64(step.Accelerators) {
			return at, true
		}
		if len(ends) == 0 {
			return 0, false
		}
		next := ends[0]
		ends = ends[1:]
		cpu, memory, accelerators = cpu+float64(next.step.CpuMillis), memory+float64(next.step.MemoryMb), accelerators+float64(next.step.Accelerators)
		at = max(at, next.at)
	}
}

// findRoom makes room for a stage that was just considered and still has tasks to place: it frees
// memory, or holds an agent if the stage is about to miss its objective.
func (p *pass) findRoom(r *rankedStage) {
	s := r.stage
	if r.prospect == tooLate {
		p.engine.releaseHolds(s)
		return
	}
	if s.Step.Opportunistic || s.Standing() || s.Step.Gang || r.advised || r.first || p.tightPoolOf(s) == nil || p.holdSearches >= maxHoldSearches || !p.hasUnplaced(s) {
		return
	}
	progress := p.engine.progress[s]
	if progress == nil || p.engine.now < progress.nextRoomSearch {
		return
	}
	held, preempted, waiting := p.countHolds(s)
	if limit := maxHeldShare * float64(len(p.freeByPool[p.engine.poolOf(s.Job)])); float64(held) >= max(limit, 1) {
		return
	}
	progress.nextRoomSearch = p.engine.now + holdSearchInterval
	if preempted < s.Unplaced && p.preemptForMemory(r) {
		return
	}
	// A task of at most the mean size fits wherever the next run ends.
	wide := float64(s.Step.CpuMillis) > p.tightPoolOf(s).demand.Mean()
	if wide && !waiting && (r.prospect != inTime || r.slack <= holdSlack) {
		p.holdAgent(r)
	}
}

// countHolds returns how many agents of a stage's pool are held, on how many of them runs were
// preempted for the stage, and whether the stage holds another one.
func (p *pass) countHolds(s *graph.Stage) (held, preempted int, waiting bool) {
	pool := p.engine.poolOf(s.Job)
	for _, h := range p.engine.holds {
		switch {
		case p.engine.poolOf(h.stage.Job) != pool:
			continue
		case h.stage == s && h.preempted:
			preempted++
		case h.stage == s:
			waiting = true
		}
		held++
	}
	return held, preempted, waiting
}

func (e *Engine) releaseHolds(s *graph.Stage) {
	for id, h := range e.holds {
		if h.stage == s {
			delete(e.holds, id)
		}
	}
}

// holdAgent holds the agent that is expected to have room for a task of the stage first.
func (p *pass) holdAgent(r *rankedStage) {
	p.holdSearches++
	var best *freeResources
	var bestAt time.Duration
	step := r.stage.Step
	for _, f := range p.freeByPool[p.engine.poolOf(r.stage.Job)] {
		if p.engine.holds[f.agent.record.Id] != nil || f.withoutStanding() < float64(step.CpuMillis) || !f.ignoring(step).fits(r.stage) {
			continue
		}
		if at, ok := p.engine.roomAt(f, step); ok && (best == nil || at < bestAt) {
			best, bestAt = f, at
		}
	}
	if best == nil {
		return
	}
	p.engine.hold(r, best, &hold{until: bestAt})
	agentsHeld.Inc()
}

// ignoring returns free resources with enough CPU and memory for a step, to check everything else.
func (f *freeResources) ignoring(step *wire.Step) *freeResources {
	clone := *f
	clone.cpuMillis, clone.memoryMB = float64(step.CpuMillis), float64(step.MemoryMb)
	return &clone
}

// hold records a hold for a stage and logs its cause.
func (e *Engine) hold(r *rankedStage, f *freeResources, h *hold) {
	if e.holds == nil {
		e.holds = map[string]*hold{}
	}
	h.stage, h.priority = r.stage, r.priority
	e.holds[f.agent.record.Id] = h
	e.options.Logger.Info("agent held", "agent", f.agent.record.Id, "job", r.stage.Job.ID, "step", r.stage.Index, "priority", r.priority,
		"prospect", prospectNames[r.prospect], "slack_ms", r.slack.Milliseconds(), "cpu", r.stage.Step.CpuMillis, "memory_mb", r.stage.Step.MemoryMb,
		"free_cpu", f.cpuMillis, "free_memory_mb", f.memoryMB, "room_in_ms", (h.until - e.now).Milliseconds(), "preempted", h.preempted)
}

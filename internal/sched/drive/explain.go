// This file defines how the engine explains why stages wait.

package drive

import (
	"fmt"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// maxLateScans limits the stages that are explained in one scheduling pass. A scan
	// takes as long as a search over all agents of a pool.
	maxLateScans = 2
	// maxLateStages limits the stages found by one rebuild of the queue. Passes until the
	// next rebuild explain at most about as many.
	maxLateStages = 32
	// minLateWait is how long a stage has to wait until it is reported, as one may be late
	// already when it becomes ready. It is the longest time between two rebuilds of the
	// queue.
	minLateWait = maxQueueAge
)

// explanation is the number of agents that each limit excludes, of all registered agents of
// a pool.
type explanation struct {
	agents   int
	excluded [limitCount]int
}

// binding returns the limit that excludes most agents, or noLimit if an agent isn't
// excluded. A pool without agents has no capacity.
func (x *explanation) binding() limit {
	total, most := 0, capacityLimit
	for l := capacityLimit; l < limitCount; l++ {
		total += x.excluded[l]
		if x.excluded[l] > x.excluded[most] {
			most = l
		}
	}
	if total < x.agents {
		return noLimit
	}
	return most
}

// String lists the limits with the numbers of agents, for logs.
func (x *explanation) String() string {
	var text strings.Builder
	for l, n := range x.excluded {
		if n > 0 {
			if text.Len() > 0 {
				text.WriteByte(' ')
			}
			fmt.Fprintf(&text, "%v=%d", limit(l), n)
		}
	}
	return text.String()
}

// Explain returns what limits the placement of each stage of a job that has tasks to place,
// in scheduling order; stages that aren't due are last. It returns false if this engine
// doesn't drive the agents now.
func (e *Engine) Explain(now time.Duration, j *graph.Job) ([]*wire.WaitingStage, bool) {
	if e.term == 0 {
		return nil, false
	}
	e.now = now
	wall := e.options.WallClock()
	e.updateQueue(wall)
	p := e.newPass(wall)
	p.restoreReservations()
	stages := []*wire.WaitingStage{}
	position := uint32(0)
	e.queue.each(func(r *rankedStage) bool {
		position++
		if r.stage.Job == j {
			stages = append(stages, p.waitingStage(e.rank(r.stage, wall), position))
		}
		return true
	})
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			if s.Ready() && s.Due.After(wall) {
				stages = append(stages, p.waitingStage(e.rank(s, wall), 0))
			}
		}
	}
	return stages, true
}

func (p *pass) waitingStage(r rankedStage, position uint32) *wire.WaitingStage {
	s, x := r.stage, p.explain(r.stage)
	w := &wire.WaitingStage{
		Occurrence: s.Occurrence, Step: s.Index, CpuMillis: s.Step.CpuMillis, MemoryMb: s.Step.MemoryMb, Accelerators: s.Step.Accelerators,
		Unplaced: uint32(s.Unplaced), Waiting: durationpb.New(p.waited(s)), Priority: r.priority, Prospect: prospectNames[r.prospect],
		Slack: durationpb.New(p.engine.objectiveSlack(&r)), Position: position, Agents: uint32(x.agents),
	}
	if l := x.binding(); l != noLimit {
		w.Limit = l.String()
	}
	for l, n := range x.excluded {
		if n > 0 {
			w.Excluded = append(w.Excluded, &wire.ExcludedAgents{Limit: limit(l).String(), Agents: uint32(n)})
		}
	}
	return w
}

// waited returns how long a stage has had tasks to place, on this leader.
func (p *pass) waited(s *graph.Stage) time.Duration {
	progress := p.engine.progress[s]
	if progress == nil {
		return 0
	}
	waited := p.engine.now - progress.waitingSince
	if !s.Due.IsZero() {
		waited = min(waited, p.wallTime.Sub(s.Due))
	}
	return max(waited, 0)
}

// objectiveSlack returns the slack of a stage with regard to its job's objective; negative
// if the objective can't be met any more.
func (e *Engine) objectiveSlack(r *rankedStage) time.Duration {
	if r.prospect == inTime {
		return r.slack
	}
	objective := e.objective(r.stage, e.graph.Queue(r.stage.Job.Queue), e.durationFactor(r.stage))
	return r.slack - (lateFactor-1)*objective
}

// restoreReservations reserves the agents that the latest scheduling pass has reserved.
func (p *pass) restoreReservations() {
	reserved := p.engine.reservedStages()
	for _, list := range p.freeByPool {
		for _, f := range list {
			f.reservedFor = reserved[f.agent.record.Id]
		}
	}
}

// reservedStages returns the stage that each reserved agent is reserved for.
func (e *Engine) reservedStages() map[string]*graph.Stage {
	reserved := map[string]*graph.Stage{}
	for t, id := range e.reservations {
		if t.Placeable() && t.Stage.Ready() && (reserved[id] == nil || t.Stage.Before(reserved[id])) {
			reserved[id] = t.Stage
		}
	}
	return reserved
}

// explain returns how many agents each limit excludes for the next task of a stage, by the
// rules of this pass. It changes no decision.
func (p *pass) explain(s *graph.Stage) *explanation {
	e := p.engine
	defer func(offset int) { e.searchOffset = offset }(e.searchOffset)
	pool := e.poolOf(s.Job)
	x := &explanation{agents: len(e.agents.byPool[pool])}
	if s.Due.After(p.wallTime) {
		x.excluded[dueLimit] = x.agents
		return x
	}
	if p.startRoom(s) <= 0 {
		x.excluded[startsLimit] = x.agents
		return x
	}
	// Free resources are of the agents that were schedulable when the pass began.
	considered := map[*agent]bool{}
	candidates := p.freeByPool[pool]
	for _, f := range candidates {
		considered[f.agent] = true
	}
	for _, a := range e.agents.byPool[pool] {
		if !considered[a] {
			l := e.agentLimit(a)
			if l == noLimit {
				l = notReadyLimit
			}
			x.excluded[l]++
		}
	}
	t := p.mostLimitedTask(s)
	stageLimit, missing := p.stageLimit(t), s.Unplaced
	if s.Step.Gang && stageLimit == noLimit {
		// The members that find no agent are limited by what the others leave.
		if trial, copies, complete := p.tryMembers(s, candidates, 0); !complete {
			candidates, missing = copies, missing-len(trial.placed)
		}
	}
	free, request := 0.0, float64(s.Step.CpuMillis)
	if s.Step.Opportunistic {
		request = defaultCPU(s.Step)
	}
	for _, f := range candidates {
		l := p.taskLimit(t, f)
		if l == noLimit {
			l = stageLimit
		}
		x.excluded[l]++
		if l == cpuLimit && s.Step.Opportunistic {
			free += max(f.reclaimable, 0)
		} else if l == cpuLimit {
			free += max(f.cpuMillis, 0)
		}
	}
	x.splitCPULimit(free >= request*float64(missing))
	x.excluded[noLimit] = 0
	return x
}

// splitCPULimit names the lack of CPU on agents by whether they have enough together.
func (x *explanation) splitCPULimit(enoughTogether bool) {
	if enoughTogether {
		x.excluded[fragmentationLimit] += x.excluded[cpuLimit]
	} else {
		x.excluded[capacityLimit] += x.excluded[cpuLimit]
	}
	x.excluded[cpuLimit] = 0
}

// stageLimit returns the limit that keeps a task off all agents, whatever they have free.
func (p *pass) stageLimit(t *graph.Task) limit {
	s := t.Stage
	if s.Step.Gang {
		for _, member := range s.Tasks {
			if member.Agent != "" {
				return gangLimit
			}
		}
	}
	if s.Standing() && t.Run == 0 && p.engine.enabled(ReserveForOrdinary) && !p.leavesReserve(s) {
		return reservationLimit
	}
	return noLimit
}

// mostLimitedTask returns a task to place, preferably one that may not run on every agent
// that others of its stage may run on.
func (p *pass) mostLimitedTask(s *graph.Stage) *graph.Task {
	var first *graph.Task
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if t.OnFinalAttempt() || t.AvoidAgent != "" && s.Step.Opportunistic {
			return t
		}
		if first == nil {
			first = t
		}
	}
	return first
}

// taskLimit returns the first limit that keeps a task off an agent.
func (p *pass) taskLimit(t *graph.Task, f *freeResources) limit {
	s := t.Stage
	if l := f.limitOf(s); l != noLimit {
		return l
	}
	if math.IsInf(p.healthCost(t, f), 1) {
		return quarantineLimit
	}
	if p.engine.advicePolicyOf(s) != nil {
		if _, allowed := p.engine.ticketFor(s, f.agent.record.Id); !allowed {
			return adviceLimit
		}
	}
	cost := p.cost(s, f)
	switch {
	case math.IsInf(cost, 1):
		return interferenceLimit
	case t.OnFinalAttempt() && !f.empty() && !p.summaries[p.engine.poolOf(s.Job)].allowsFinalAttempt():
		return finalAttemptLimit
	case s.Standing() && t.Run == 0 && !p.leavesHoles(s, f):
		return reservationLimit
	case !math.IsInf((&rating{free: f, cost: cost}).costOf(t, p.engine.now), 1):
		return noLimit
	case t.OnFinalAttempt():
		return finalAttemptLimit
	default:
		return evictedLimit
	}
}

// findLateStages lists the stages in the queue that have waited longer than their slack
// allowed and weren't reported yet.
func (e *Engine) findLateStages() {
	e.lateStages = e.lateStages[:0]
	for i := range e.queue.sorted {
		r := &e.queue.sorted[i]
		if r.prospect == inTime {
			continue
		}
		if progress := e.progress[r.stage]; !progress.lateReported && e.now-progress.waitingSince >= minLateWait {
			if e.lateStages = append(e.lateStages, *r); len(e.lateStages) == maxLateStages {
				return
			}
		}
	}
}

// reportLateStages logs and counts, once per stage, the late stages that this pass hasn't
// placed, with what limits them.
func (p *pass) reportLateStages() {
	e := p.engine
	for scans := 0; len(e.lateStages) > 0 && scans < maxLateScans; {
		r := &e.lateStages[0]
		e.lateStages = e.lateStages[1:]
		s, progress := r.stage, e.progress[r.stage]
		if !s.Ready() || !p.hasUnplaced(s) || progress == nil {
			continue
		}
		scans++
		progress.lateReported = true
		x := p.explain(s)
		stagesLate[x.binding()].Inc()
		e.options.Logger.Info("stage waits too long", "job", s.Job.ID, "occurrence", s.Occurrence, "step", s.Index, "priority", r.priority,
			"waited_ms", p.waited(s).Milliseconds(), "slack_ms", e.objectiveSlack(r).Milliseconds(), "unplaced", s.Unplaced,
			"cpu_millis", s.Step.CpuMillis, "memory_mb", s.Step.MemoryMb, "accelerators", s.Step.Accelerators,
			"limit", x.binding().String(), "agents", x.agents, "excluded", x.String())
	}
}

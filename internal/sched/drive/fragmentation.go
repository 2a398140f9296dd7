// This file defines placement by fragmentation, and the reserve by size class, for pools that are
// tight.

package drive

import (
	"sycamoredeck.example/internal/sched/frag"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// tightShare is the share of a pool's CPU that standing and ordinary tasks, running or
	// waiting, request from which the pool is tight. Below it most agents have room for the
	// widest tasks.
	tightShare = 2.0 / 3
	// holeSizeCost is the cost, in run times, of placing a task on a whole free agent
	// instead of a full one. It lets tasks prefer the smallest hole where the measure of
	// fragmentation hardly differs.
	holeSizeCost = 0.5
	// fragmentationCost is the cost, in run times, of making the CPU of a whole agent
	// unusable.
	fragmentationCost = 1.0
	// takenHoleCost is the cost, in run times, of a standing task that takes a hole of the
	// reserve. It outweighs similarityGain.
	takenHoleCost = 10.0
)

// tightPool is what a pass knows about a tight pool.
type tightPool struct {
	demand *frag.Demand
	// meanCapacity is the mean capacity of the pool's agents.
	meanCapacity float64
	// reserve is nil until the pass considers the first new standing task.
	reserve *frag.Reserve
	// heldBack is the smallest request of a new standing task, in millicores, that the
	// reserve has held back in this pass; 0 if none. Larger ones aren't searched for.
	heldBack uint64
}

// tightPools returns the tight pools by name, none if the feature is off.
func (e *Engine) tightPools(summaries map[string]*poolSummary) map[string]*tightPool {
	if !e.enabled(FragmentationAware) {
		return nil
	}
	pools := map[string]*tightPool{}
	for k, s := range summaries {
		if s.agents > 0 && s.capacityMillis-s.freeMillis+e.waitingCPU[k] >= s.capacityMillis*tightShare {
			d := e.sizeDemand[k]
			if d == nil {
				d = &frag.Demand{} // standing tasks come before the first ordinary ones
			}
			pools[k] = &tightPool{demand: d, meanCapacity: s.capacityMillis / float64(s.agents)}
		}
	}
	return pools
}

// updateSizeDemand updates the recent demand of ordinary tasks by size class and pool.
func (e *Engine) updateSizeDemand(stages []*graph.Stage) {
	if !e.enabled(FragmentationAware) {
		return
	}
	if e.sizeDemand == nil {
		e.sizeDemand = map[string]*frag.Demand{}
	}
	e.waitingCPU = map[string]float64{}
	tasks := map[string][]float64{}
	for p := range e.sizeDemand {
		tasks[p] = nil
	}
	add := func(s *graph.Stage, n float64) {
		if s.Step.Opportunistic || s.Standing() || s.Step.CpuMillis == 0 {
			return
		}
		pool, class := e.poolOf(s.Job), frag.ClassOf(float64(s.Step.CpuMillis))
		for len(tasks[pool]) <= class {
			tasks[pool] = append(tasks[pool], 0)
		}
		tasks[pool][class] += n
	}
	for _, s := range stages {
		if !s.Step.Opportunistic {
			e.waitingCPU[e.poolOf(s.Job)] += float64(s.Unplaced) * float64(s.Step.CpuMillis)
		}
		add(s, float64(s.Unplaced))
	}
	for t := range e.runs {
		add(t.Stage, 1)
	}
	for p, n := range tasks {
		if e.sizeDemand[p] == nil {
			e.sizeDemand[p] = &frag.Demand{}
		}
		e.sizeDemand[p].Update(e.now, n)
	}
}

// withoutStanding returns the CPU of an agent that no standing task requests. Ordinary runs end
// soon, so it is what standing tasks leave for later ones.
func (f *freeResources) withoutStanding() float64 { return f.cpuMillis + f.ordinaryMillis }

// cost rates the hole that an agent offers to a task: low where the task leaves little CPU that
// the demand can't use, and where the hole is small.
func (t *tightPool) cost(p *pass, s *graph.Stage, free *freeResources) float64 {
	request, hole := float64(s.Step.CpuMillis), free.cpuMillis
	reserved := 0.0
	if s.Standing() {
		hole = free.withoutStanding()
		if !s.HasRun() && !t.leavesHoles(p, s, free) {
			reserved = takenHoleCost
		}
	}
	return reserved + (fragmentationCost*frag.Cost(t.demand, hole, request)+holeSizeCost*hole)/max(t.meanCapacity, 1)
}

// leavesHoles reports whether a new standing task on an agent leaves enough holes of each size
// class for the recent peak demand of ordinary tasks.
func (t *tightPool) leavesHoles(p *pass, s *graph.Stage, free *freeResources) bool {
	if !p.engine.enabled(ReserveForOrdinary) {
		return true
	}
	if t.reserve == nil {
		pool := p.engine.poolOf(s.Job)
		t.reserve = frag.NewReserve(t.demand, reserveFactor, maxReserveShare)
		for _, f := range p.freeByPool[pool] {
			t.reserve.Add(f.withoutStanding(), f.capacityMillis)
		}
	}
	return t.reserve.Allows(free.withoutStanding(), float64(s.Step.CpuMillis))
}

// tightPoolOf returns the pool of a stage if it is tight, otherwise nil.
func (p *pass) tightPoolOf(s *graph.Stage) *tightPool {
	if len(p.tight) == 0 {
		return nil
	}
	return p.tight[p.engine.poolOf(s.Job)]
}

// leavesHoles reports whether the reserve by size class allows a new standing task on an agent.
func (p *pass) leavesHoles(s *graph.Stage, free *freeResources) bool {
	t := p.tightPoolOf(s)
	return t == nil || t.leavesHoles(p, s, free)
}

// knownHeldBack reports whether a new standing task is known to wait for the reserve by size class.
func (p *pass) knownHeldBack(t *graph.Task) bool {
	if !t.Stage.Standing() || t.Run > 0 {
		return false
	}
	pool := p.tightPoolOf(t.Stage)
	return pool != nil && pool.heldBack > 0 && t.Stage.Step.CpuMillis >= pool.heldBack
}

// recordHeldBack records that a new standing task waits for the reserve by size class.
func (p *pass) recordHeldBack(s *graph.Stage, free *freeResources) {
	standingHeldBack.Inc()
	p.tightPoolOf(s).heldBack = s.Step.CpuMillis
	p.engine.options.Logger.Debug("standing task held back for wide tasks", "job", s.Job.ID, "step", s.Index, "cpu", s.Step.CpuMillis,
		"agent", free.agent.record.Id, "free_cpu", free.withoutStanding())
}

// recordTaken updates the reserve by size class for a standing task that is placed.
func (p *pass) recordTaken(s *graph.Stage, free *freeResources) {
	if t := p.tightPoolOf(s); t != nil && t.reserve != nil && s.Standing() {
		t.reserve.Take(free.withoutStanding(), float64(s.Step.CpuMillis))
	}
}

// This file defines the search for an agent for the tasks of a stage.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// baseSampleSize, plus samplePerTask for each task of the stage, is how many feasible
	// agents are rated; with fewer agents all are. The best of a large sample is close to
	// the best overall, at a fraction of the cost: the relaxed randomization of Verma et
	// al., Large-scale cluster management at Google with Borg (2015).
	baseSampleSize = 100
	samplePerTask  = 2
	// repeatFailureCost is the cost, in run times, of running a task again on the agent
	// where it failed last.
	repeatFailureCost = 2
)

type (
	// search finds agents for the tasks of one stage. The tasks are equivalent, so an
	// agent is rated once for all of them, and again only after a task was assigned to
	// it: the equivalence classes of the same paper.
	search struct {
		pass        *pass
		stage       *graph.Stage
		candidates  []*freeResources
		next        int // index of the next agent to rate
		remaining   int // agents that weren't considered
		sampleLimit int // number of ratings before the best is taken
		ratings     []rating
	}

	// rating is the cost of placing a task on a feasible agent.
	rating struct {
		free  *freeResources
		index int // in search.candidates, to break ties
		cost  float64
	}

	// poolSummary sums up the free resources of all schedulable agents of a pool, in
	// millicores.
	poolSummary struct {
		freeMillis, capacityMillis float64
		// reclaimableMillis is the CPU that no run is expected to use.
		reclaimableMillis float64
		// largestFree and largestReclaimable are the maxima over the agents, for ordinary
		// and for opportunistic tasks.
		largestFree, largestReclaimable float64
		// agents counts the agents, finalAttempts those used for a task on its final
		// attempt.
		agents, finalAttempts int
	}
)

func summarize(candidates []*freeResources) *poolSummary {
	s := &poolSummary{agents: len(candidates)}
	for _, f := range candidates {
		if f.finalAttempt {
			s.finalAttempts++
		}
		s.freeMillis += f.cpuMillis
		s.capacityMillis += f.capacityMillis
		s.reclaimableMillis += max(f.reclaimable, 0)
		s.largestFree = max(s.largestFree, f.cpuMillis)
		s.largestReclaimable = max(s.largestReclaimable, f.reclaimable)
	}
	return s
}

// assume subtracts a task that was placed.
func (s *poolSummary) assume(stage *graph.Stage) {
	if !stage.Step.Opportunistic {
		s.freeMillis -= float64(stage.Step.CpuMillis)
	}
}

// mayFit reports whether any agent may have enough CPU for a task of the stage.
func (s *poolSummary) mayFit(stage *graph.Stage) bool {
	if s == nil {
		return true
	}
	if stage.Step.Opportunistic {
		return s.largestReclaimable >= defaultCPU(stage.Step)
	}
	return s.largestFree >= float64(stage.Step.CpuMillis)
}

func (p *pass) newSearch(s *graph.Stage, candidates []*freeResources) *search {
	sr := &search{pass: p, stage: s, candidates: candidates, remaining: len(candidates), sampleLimit: len(candidates)}
	if !p.summaries[p.engine.poolOf(s.Job)].mayFit(s) {
		sr.remaining = 0
	}
	// A sample would miss the few agents that are much better than others: those in the
	// rack of the data, or those with similar standing tasks.
	rateAll := s.Standing() || s.Step.DataRack != ""
	if sample := baseSampleSize + samplePerTask*s.Unplaced; !rateAll && sample < len(candidates) {
		sr.sampleLimit = sample
		sr.next = p.engine.searchOffset % len(candidates)
	}
	return sr
}

// rateMore rates agents until the sample is complete.
func (sr *search) rateMore() {
	before := sr.remaining
	for sr.remaining > 0 && len(sr.ratings) < sr.sampleLimit {
		free := sr.candidates[sr.next]
		if free.fits(sr.stage) {
			if cost := sr.pass.cost(sr.stage, free); !math.IsInf(cost, 1) {
				sr.ratings = append(sr.ratings, rating{free, sr.next, cost})
			}
		}
		sr.remaining--
		sr.next = (sr.next + 1) % len(sr.candidates)
	}
	sr.pass.engine.searchOffset += before - sr.remaining
}

// best returns the agent with the lowest cost for a task, or nil if none is feasible.
func (sr *search) best(t *graph.Task) *freeResources {
	for {
		var best *rating
		bestCost := math.Inf(1)
		for i := range sr.ratings {
			r := &sr.ratings[i]
			cost := r.costOf(t, sr.pass.engine.now) + sr.pass.healthCost(t, r.free)
			if cost < bestCost || cost == bestCost && best != nil && r.index < best.index {
				best, bestCost = r, cost
			}
		}
		if best != nil {
			return best.free
		}
		if sr.remaining == 0 {
			return nil
		}
		sr.sampleLimit = max(sr.sampleLimit, len(sr.ratings)+baseSampleSize)
		sr.rateMore()
	}
}

// costOf returns the cost of placing one task, given its earlier runs.
func (r *rating) costOf(t *graph.Task, now time.Duration) float64 {
	id := r.free.agent.record.Id
	if barredByEviction(t, id, now) {
		return math.Inf(1)
	}
	cost := r.cost + r.free.crashCost(t)
	if t.AvoidAgent == id {
		cost += movedCost
	}
	if t.LastFailedOn == id {
		cost += repeatFailureCost
	}
	return cost
}

// updateRating rates an agent again after a task was assigned to it.
func (sr *search) updateRating(free *freeResources) {
	for i := range sr.ratings {
		if sr.ratings[i].free != free {
			continue
		}
		cost := math.Inf(1)
		if free.fits(sr.stage) {
			cost = sr.pass.cost(sr.stage, free)
		}
		if !math.IsInf(cost, 1) {
			sr.ratings[i].cost = cost
			return
		}
		last := len(sr.ratings) - 1
		sr.ratings[i] = sr.ratings[last]
		sr.ratings = sr.ratings[:last]
		return
	}
}

// exhausted reports whether no agent fits any task of the stage.
func (sr *search) exhausted() bool { return len(sr.ratings) == 0 && sr.remaining == 0 }

// This file defines the search for an agent for the tasks of a stage.

package drive

import (
	"math"

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
		free        []*freeResources
		next        int // index of the next agent to rate
		remaining   int // agents that weren't considered
		sampleLimit int // number of ratings before the best is taken
		ratings     []rating
	}

	// rating is the cost of placing a task on a feasible agent.
	rating struct {
		free  *freeResources
		index int // in search.free, to break ties
		cost  float64
	}

	// poolSummary sums up the free resources of all schedulable agents of a pool, in
	// millicores.
	poolSummary struct {
		freeMillis, capacityMillis float64
		// largestFree and largestReclaimable are the maxima over the agents, for ordinary
		// and for opportunistic tasks.
		largestFree, largestReclaimable float64
		// agents counts the agents, finalAttempts those used for a task on its final
		// attempt.
		agents, finalAttempts int
	}
)

func summarize(rooms []*freeResources) *poolSummary {
	s := &poolSummary{agents: len(rooms)}
	for _, m := range rooms {
		if m.finalAttempt {
			s.finalAttempts++
		}
		s.freeMillis += m.cpuMillis
		s.capacityMillis += m.capacityMillis
		s.largestFree = max(s.largestFree, m.cpuMillis)
		s.largestReclaimable = max(s.largestReclaimable, m.reclaimable)
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

func (p *pass) newSearch(s *graph.Stage, rooms []*freeResources) *search {
	f := &search{pass: p, stage: s, free: rooms, remaining: len(rooms), sampleLimit: len(rooms)}
	if !p.summaries[p.engine.poolOf(s.Job)].mayFit(s) {
		f.remaining = 0
	}
	// A sample would miss the few agents that are much better than others: those in the
	// rack of the data, or those with similar standing tasks.
	alike := s.Standing() || s.Step.DataRack != ""
	if sample := baseSampleSize + samplePerTask*s.Unplaced; !alike && sample < len(rooms) {
		f.sampleLimit = sample
		f.next = p.engine.searchOffset % len(rooms)
	}
	return f
}

// rateMore rates agents until the sample is complete.
func (f *search) rateMore() {
	begun := f.remaining
	for f.remaining > 0 && len(f.ratings) < f.sampleLimit {
		m := f.free[f.next]
		if m.fits(f.stage) {
			if cost := f.pass.cost(f.stage, m); !math.IsInf(cost, 1) {
				f.ratings = append(f.ratings, rating{m, f.next, cost})
			}
		}
		f.remaining--
		f.next = (f.next + 1) % len(f.free)
	}
	f.pass.engine.searchOffset += begun - f.remaining
}

// best returns the agent with the lowest cost for a task, or nil if none is feasible.
func (f *search) best(t *graph.Task) *freeResources {
	for {
		var best *rating
		bestCost := math.Inf(1)
		for i := range f.ratings {
			r := &f.ratings[i]
			cost := r.costOf(t)
			if cost < bestCost || cost == bestCost && best != nil && r.index < best.index {
				best, bestCost = r, cost
			}
		}
		if best != nil {
			return best.free
		}
		if f.remaining == 0 {
			return nil
		}
		f.sampleLimit = max(f.sampleLimit, len(f.ratings)+baseSampleSize)
		f.rateMore()
	}
}

// costOf returns the cost of placing one task, given its earlier runs.
func (r *rating) costOf(t *graph.Task) float64 {
	id := r.free.agent.record.Id
	if t.AvoidAgent == id && t.Stage.Step.Opportunistic {
		return math.Inf(1)
	}
	cost := r.cost + r.free.crashCost(t)
	if t.LastFailedOn == id {
		cost += repeatFailureCost
	}
	return cost
}

// updateRating rates an agent again after a task was assigned to it.
func (f *search) updateRating(m *freeResources) {
	for i := range f.ratings {
		if f.ratings[i].free != m {
			continue
		}
		cost := math.Inf(1)
		if m.fits(f.stage) {
			cost = f.pass.cost(f.stage, m)
		}
		if !math.IsInf(cost, 1) {
			f.ratings[i].cost = cost
			return
		}
		last := len(f.ratings) - 1
		f.ratings[i] = f.ratings[last]
		f.ratings = f.ratings[:last]
		return
	}
}

// exhausted reports whether no agent fits any task of the stage.
func (f *search) exhausted() bool { return len(f.ratings) == 0 && f.remaining == 0 }

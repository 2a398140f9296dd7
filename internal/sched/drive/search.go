// This file defines how an agent is found for the tasks of a stage.

package drive

import (
	"math"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// baseSampleSize is how many agents with room are rated for a stage, beside
	// samplePerTask for each of its tasks. The best of some hundred is nearly the best
	// of thousands, and each rating looks at all that runs there: the relaxed
	// randomization of Verma et al., Large-scale cluster management at Google with
	// Borg (2015). Up to that many agents all are rated.
	baseSampleSize = 100
	samplePerTask  = 2
	// repeatFailureCost is what it costs, in run times, to run a task again on the
	// agent where it failed last.
	repeatFailureCost = 2
)

type (
	// search finds agents for the tasks of one stage. They are alike, so each agent is
	// rated once for all of them, and anew only when one has taken its place there:
	// the equivalence classes of the same paper.
	search struct {
		pass        *pass
		stage       *graph.Stage
		free        []*freeResources
		next        int // the room that is looked at next
		remaining   int // rooms that weren't looked at
		sampleLimit int // rooms that are rated before the best is taken
		ratings     []rating
	}

	// rating is a room that fits and what it costs to place a task there.
	rating struct {
		free  *freeResources
		index int // its place among the rooms
		cost  float64
	}

	// spare is what all usable agents of a pool have left, in thousandths of a
	// processor.
	poolSummary struct {
		freeMillis, capacityMillis float64
		// largestFree and largestReclaimable are the most that one of them has, for ordinary and for
		// opportunistic tasks.
		largestFree, largestReclaimable float64
		// agents is how many there are, finalAttempts on how many of them a task is on its last
		// try.
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

// take counts a task that found its place.
func (s *poolSummary) assume(stage *graph.Stage) {
	if !stage.Step.Opportunistic {
		s.freeMillis -= float64(stage.Step.CpuMillis)
	}
}

// holds tells whether any agent might have the processors for a task of a stage.
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
	// Where few agents are good for a stage a sample would miss them: those near
	// its data, and those where standing tasks like it are.
	alike := s.Standing() || s.Step.DataRack != ""
	if sample := baseSampleSize + samplePerTask*s.Unplaced; !alike && sample < len(rooms) {
		f.sampleLimit = sample
		f.next = p.engine.searchOffset % len(rooms)
	}
	return f
}

// look rates rooms until the sample is full.
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

// best returns the agent that a task is best placed on, or nil.
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

// costOf is what it costs to place one task there, by what became of it before.
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

// taken rates a room anew that has taken a task.
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

// none tells whether there is no room for any task like those of the stage.
func (f *search) exhausted() bool { return len(f.ratings) == 0 && f.remaining == 0 }

// This file defines how an agent is found for the tasks of a stage.

package drive

import (
	"math"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// sampleSize is how many agents with room are rated for a stage, beside
	// samplePerTask for each of its tasks. The best of some hundred is nearly the best
	// of thousands, and each rating looks at all that runs there: the relaxed
	// randomization of Verma et al., Large-scale cluster management at Google with
	// Borg (2015). Up to that many agents all are rated.
	sampleSize    = 100
	samplePerTask = 2
	// failedThereCost is what it costs, in run times, to run a task again on the
	// agent where it failed last.
	failedThereCost = 2
)

type (
	// search finds agents for the tasks of one stage. They are alike, so each agent is
	// rated once for all of them, and anew only when one has taken its place there:
	// the equivalence classes of the same paper.
	search struct {
		pass    *pass
		stage   *graph.Stage
		rooms   []*room
		next    int // the room that is looked at next
		left    int // rooms that weren't looked at
		sample  int // rooms that are rated before the best is taken
		ratings []rating
	}

	// rating is a room that fits and what it costs to place a task there.
	rating struct {
		room *room
		at   int // its place among the rooms
		cost float64
	}

	// spare is what all usable agents of a pool have left, in thousandths of a
	// processor.
	spare struct {
		free, all float64
		// mostFree and mostIdle are the most that one of them has, for ordinary and for
		// opportunistic tasks.
		mostFree, mostIdle float64
		// agents is how many there are, lastTries on how many of them a task is on its last
		// try.
		agents, lastTries int
	}
)

func sumUp(rooms []*room) *spare {
	s := &spare{agents: len(rooms)}
	for _, m := range rooms {
		if m.lastTry {
			s.lastTries++
		}
		s.free += m.cpu
		s.all += m.capacity
		s.mostFree = max(s.mostFree, m.cpu)
		s.mostIdle = max(s.mostIdle, m.idle)
	}
	return s
}

// take counts a task that found its place.
func (s *spare) take(stage *graph.Stage) {
	if !stage.Step.Opportunistic {
		s.free -= float64(stage.Step.CpuMillis)
	}
}

// holds tells whether any agent might have the processors for a task of a stage.
func (s *spare) holds(stage *graph.Stage) bool {
	if s == nil {
		return true
	}
	if stage.Step.Opportunistic {
		return s.mostIdle >= expectedUse(stage.Step)
	}
	return s.mostFree >= float64(stage.Step.CpuMillis)
}

func (p *pass) newSearch(s *graph.Stage, rooms []*room) *search {
	f := &search{pass: p, stage: s, rooms: rooms, left: len(rooms), sample: len(rooms)}
	if !p.spare[p.engine.poolOf(s.Job)].holds(s) {
		f.left = 0
	}
	// Where few agents are good for a stage a sample would miss them: those near
	// its data, and those where standing tasks like it are.
	alike := s.Standing() || s.Step.DataRack != ""
	if sample := sampleSize + samplePerTask*s.Unplaced; !alike && sample < len(rooms) {
		f.sample = sample
		f.next = p.engine.searched % len(rooms)
	}
	return f
}

// look rates rooms until the sample is full.
func (f *search) look() {
	begun := f.left
	for f.left > 0 && len(f.ratings) < f.sample {
		m := f.rooms[f.next]
		if m.fits(f.stage) {
			if cost := f.pass.cost(f.stage, m); !math.IsInf(cost, 1) {
				f.ratings = append(f.ratings, rating{m, f.next, cost})
			}
		}
		f.left--
		f.next = (f.next + 1) % len(f.rooms)
	}
	f.pass.engine.searched += begun - f.left
}

// best returns the agent that a task is best placed on, or nil.
func (f *search) best(t *graph.Task) *room {
	for {
		var best *rating
		bestCost := math.Inf(1)
		for i := range f.ratings {
			r := &f.ratings[i]
			cost := r.costOf(t)
			if cost < bestCost || cost == bestCost && best != nil && r.at < best.at {
				best, bestCost = r, cost
			}
		}
		if best != nil {
			return best.room
		}
		if f.left == 0 {
			return nil
		}
		f.sample = max(f.sample, len(f.ratings)+sampleSize)
		f.look()
	}
}

// costOf is what it costs to place one task there, by what became of it before.
func (r *rating) costOf(t *graph.Task) float64 {
	id := r.room.agent.record.Id
	if t.AvoidAgent == id && t.Stage.Step.Opportunistic {
		return math.Inf(1)
	}
	cost := r.cost + r.room.risk(t)
	if t.LastFailedOn == id {
		cost += failedThereCost
	}
	return cost
}

// taken rates a room anew that has taken a task.
func (f *search) taken(m *room) {
	for i := range f.ratings {
		if f.ratings[i].room != m {
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
func (f *search) none() bool { return len(f.ratings) == 0 && f.left == 0 }

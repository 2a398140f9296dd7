// This file defines gang scheduling.

package drive

import (
	"maps"
	"slices"
	"sort"

	"sycamoredeck.example/internal/store/graph"
)

// placeGang places all members of a gang or none, as members that run without the others
// would only wait for them. Their runs share one number.
func (p *pass) placeGang(s *graph.Stage, candidates []*freeResources) {
	number := uint32(0)
	for _, t := range s.Tasks {
		if t.Agent != "" {
			return // a member of the previous run hasn't ended
		}
		number = max(number, t.Run)
	}
	if s.Step.SameRack {
		for _, r := range groupByRack(candidates) {
			if p.placeMembers(s, r, number+1) {
				return
			}
		}
	}
	p.placeMembers(s, candidates, number+1)
}

func groupByRack(candidates []*freeResources) [][]*freeResources {
	byRack := map[string][]*freeResources{}
	var names []string
	for _, f := range candidates {
		rack := f.agent.record.Rack
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], f)
	}
	sort.Strings(names)
	list := make([][]*freeResources, 0, len(names))
	for _, n := range names {
		list = append(list, byRack[n])
	}
	return list
}

// placeMembers places all members on the candidates, or none. It first tries on copies of
// the candidates, so that a failed attempt changes nothing.
func (p *pass) placeMembers(s *graph.Stage, candidates []*freeResources, number uint32) bool {
	trial, _, complete := p.tryMembers(s, candidates, number)
	if !complete {
		return false
	}
	for _, pl := range trial.placed {
		for _, f := range candidates {
			if f.agent.record.Id == pl.Agent {
				f.assume(s.Tasks[pl.Id.Index])
				p.summaries[p.engine.poolOf(s.Job)].assume(s)
			}
		}
	}
	p.placed = append(p.placed, trial.placed...)
	return true
}

// tryMembers places members of a gang on copies of the candidates until one finds no agent.
// It returns the pass with the placements, the copies, and whether all members were placed.
func (p *pass) tryMembers(s *graph.Stage, candidates []*freeResources, number uint32) (trial *pass, copies []*freeResources, complete bool) {
	trial = &pass{engine: p.engine, wallTime: p.wallTime}
	copies = make([]*freeResources, len(candidates))
	for i, f := range candidates {
		clone := *f
		clone.tasksByStage = map[*graph.Stage]int{s: f.tasksByStage[s]}
		clone.standingByImage, clone.latencyTasks = maps.Clone(f.standingByImage), slices.Clone(f.latencyTasks)
		copies[i] = &clone
	}
	sr := trial.newSearch(s, copies)
	for _, t := range s.Tasks {
		free := sr.best(t)
		if free == nil {
			return trial, copies, false
		}
		trial.assume(t, free, number)
		sr.updateRating(free)
	}
	return trial, copies, true
}

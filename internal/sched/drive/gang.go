// This file defines gang scheduling.

package drive

import (
	"maps"
	"slices"
	"sort"

	"sycamoredeck.example/internal/store/graph"
)

// placeGang places all members of a gang or none, as a part of them would only wait for
// the others. Their runs share one number.
func (p *pass) placeGang(s *graph.Stage, rooms []*freeResources) {
	number := uint32(0)
	for _, t := range s.Tasks {
		if t.Agent != "" {
			return // a member of the previous run hasn't ended
		}
		number = max(number, t.Run)
	}
	if s.Step.SameRack {
		for _, rack := range groupByRack(rooms) {
			if p.placeMembers(s, rack, number+1) {
				return
			}
		}
	}
	p.placeMembers(s, rooms, number+1)
}

func groupByRack(rooms []*freeResources) [][]*freeResources {
	byRack := map[string][]*freeResources{}
	var names []string
	for _, m := range rooms {
		rack := m.agent.record.Rack
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], m)
	}
	sort.Strings(names)
	list := make([][]*freeResources, 0, len(names))
	for _, name := range names {
		list = append(list, byRack[name])
	}
	return list
}

func (p *pass) placeMembers(s *graph.Stage, rooms []*freeResources, number uint32) bool {
	trial := &pass{engine: p.engine, wallTime: p.wallTime}
	copies := make([]*freeResources, len(rooms))
	for i, m := range rooms {
		c := *m
		c.tasksByStage = map[*graph.Stage]int{s: m.tasksByStage[s]}
		c.standingByImage, c.latencyTasks = maps.Clone(m.standingByImage), slices.Clone(m.latencyTasks)
		copies[i] = &c
	}
	f := trial.newSearch(s, copies)
	for _, t := range s.Tasks {
		m := f.best(t)
		if m == nil {
			return false
		}
		trial.assume(t, m, number)
		f.updateRating(m)
	}
	for _, placement := range trial.placed {
		for _, m := range rooms {
			if m.agent.record.Id == placement.Agent {
				m.assume(s.Tasks[placement.Id.Index])
				p.summaries[p.engine.poolOf(s.Job)].assume(s)
			}
		}
	}
	p.placed = append(p.placed, trial.placed...)
	return true
}

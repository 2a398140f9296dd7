// This file defines how gangs are placed.

package drive

import (
	"maps"
	"slices"
	"sort"

	"sycamoredeck.example/internal/store/graph"
)

// placeGang places all members or none: some alone would wait for the others
// in vain. Their runs bear one number.
func (p *pass) placeGang(s *graph.Stage, rooms []*room) {
	number := uint32(0)
	for _, t := range s.Tasks {
		if t.Agent != "" {
			return // members of the last run are still to end
		}
		number = max(number, t.Run)
	}
	if s.Step.SameRack {
		for _, rack := range racks(rooms) {
			if p.placeMembers(s, rack, number+1) {
				return
			}
		}
	}
	p.placeMembers(s, rooms, number+1)
}

func racks(rooms []*room) [][]*room {
	byRack := map[string][]*room{}
	var names []string
	for _, m := range rooms {
		rack := m.agent.record.Rack
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], m)
	}
	sort.Strings(names)
	list := make([][]*room, 0, len(names))
	for _, name := range names {
		list = append(list, byRack[name])
	}
	return list
}

func (p *pass) placeMembers(s *graph.Stage, rooms []*room, number uint32) bool {
	trial := &pass{engine: p.engine, wall: p.wall}
	copies := make([]*room, len(rooms))
	for i, m := range rooms {
		c := *m
		c.stages = map[*graph.Stage]int{s: m.stages[s]}
		c.images, c.served = maps.Clone(m.images), slices.Clone(m.served)
		copies[i] = &c
	}
	f := trial.newSearch(s, copies)
	for _, t := range s.Tasks {
		m := f.best(t)
		if m == nil {
			return false
		}
		trial.take(t, m, number)
		f.taken(m)
	}
	for _, placement := range trial.placed {
		for _, m := range rooms {
			if m.agent.record.Id == placement.Agent {
				m.take(s.Tasks[placement.Id.Index])
				p.spare[p.engine.poolOf(s.Job)].take(s)
			}
		}
	}
	p.placed = append(p.placed, trial.placed...)
	return true
}

// This file defines the order in which agents and their runs are looked at.

package drive

import (
	"cmp"
	"slices"
	"strings"
)

// compareRuns orders runs by job, step, task and number.
func compareRuns(a, b *run) int {
	switch {
	case a.task.Stage.Before(b.task.Stage):
		return -1
	case b.task.Stage.Before(a.task.Stage):
		return 1
	default:
		return cmp.Or(cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.number, b.number))
	}
}

// addRun notes a run of a task that has none there.
func (r *agent) addRun(known *run) {
	r.runs[known.task] = known
	i, _ := slices.BinarySearchFunc(r.ordered, known, compareRuns)
	r.ordered = slices.Insert(r.ordered, i, known)
}

// removeRun forgets a run. Whoever is going over the runs goes over a list that stays
// as it was.
func (r *agent) removeRun(known *run) {
	delete(r.runs, known.task)
	kept := make([]*run, 0, len(r.ordered))
	for _, other := range r.ordered {
		if other != known {
			kept = append(kept, other)
		}
	}
	r.ordered = kept
}

// byID are all agents in the order of their ids.
func (e *Engine) byID() []*agent {
	if e.sorted == nil {
		e.sorted = make([]*agent, 0, len(e.agents))
		for _, at := range e.agents {
			e.sorted = append(e.sorted, at)
		}
		slices.SortFunc(e.sorted, func(a, b *agent) int { return strings.Compare(a.record.Id, b.record.Id) })
	}
	return e.sorted
}

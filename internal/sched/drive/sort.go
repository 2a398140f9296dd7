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
	i, _ := slices.BinarySearchFunc(r.sortedRuns, known, compareRuns)
	r.sortedRuns = slices.Insert(r.sortedRuns, i, known)
}

// removeRun forgets a run. Whoever is going over the runs goes over a list that stays
// as it was.
func (r *agent) removeRun(known *run) {
	delete(r.runs, known.task)
	kept := make([]*run, 0, len(r.sortedRuns))
	for _, other := range r.sortedRuns {
		if other != known {
			kept = append(kept, other)
		}
	}
	r.sortedRuns = kept
}

// agentsByID are all agents in the order of their ids.
func (e *Engine) agentsByID() []*agent {
	if e.sortedAgents == nil {
		e.sortedAgents = make([]*agent, 0, len(e.agents))
		for _, at := range e.agents {
			e.sortedAgents = append(e.sortedAgents, at)
		}
		slices.SortFunc(e.sortedAgents, func(a, b *agent) int { return strings.Compare(a.record.Id, b.record.Id) })
	}
	return e.sortedAgents
}

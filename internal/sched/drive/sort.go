// This file defines the order in which agents and runs are processed.

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

// addRun adds a run of a task that has no other run on the agent.
func (a *agent) addRun(r *run) {
	a.runs[r.task] = r
	i, _ := slices.BinarySearchFunc(a.sortedRuns, r, compareRuns)
	a.sortedRuns = slices.Insert(a.sortedRuns, i, r)
}

// removeRun removes a run. It copies the list, as a caller may be iterating over it.
func (a *agent) removeRun(r *run) {
	delete(a.runs, r.task)
	kept := make([]*run, 0, len(a.sortedRuns))
	for _, o := range a.sortedRuns {
		if o != r {
			kept = append(kept, o)
		}
	}
	a.sortedRuns = kept
}

// agentsByID returns all agents, sorted by id.
func (e *Engine) agentsByID() []*agent {
	if e.sortedAgents == nil {
		e.sortedAgents = make([]*agent, 0, len(e.agents))
		for _, a := range e.agents {
			e.sortedAgents = append(e.sortedAgents, a)
		}
		slices.SortFunc(e.sortedAgents, func(a, b *agent) int { return strings.Compare(a.record.Id, b.record.Id) })
	}
	return e.sortedAgents
}

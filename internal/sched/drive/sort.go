// This file defines the order of the runs on an agent.

package drive

import (
	"cmp"
	"slices"
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

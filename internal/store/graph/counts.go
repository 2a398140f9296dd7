// This file defines the counts of stages and jobs that follow from the facts of their tasks.

package graph

// taskCounts is what a task adds to the counts of its stage and its job.
type taskCounts struct{ unplaced, done, active int }

func (t *Task) counts() taskCounts {
	var c taskCounts
	if t.Placeable() {
		c.unplaced = 1
	}
	if t.Done {
		c.done = 1
	}
	if t.Agent != "" {
		c.active = 1
	}
	return c
}

// changeTask changes where a task runs, or whether it is done, and with it all that is counted.
// Nothing else changes these fields of a task that is part of the state.
func (g *Graph) changeTask(t *Task, change func(*Task)) {
	before := t.counts()
	change(t)
	t.Stage.add(t.counts(), before)
	g.updateReady(t.Stage)
}

// add replaces what a task added to the counts.
func (s *Stage) add(now, before taskCounts) {
	s.Unplaced += now.unplaced - before.unplaced
	s.doneTasks += now.done - before.done
	s.Job.activeRuns += now.active - before.active
}

// recount derives all counts of the job's stages from their tasks.
func (j *Job) recount() {
	j.openStages, j.activeRuns = 0, 0
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			s.Unplaced, s.doneTasks, s.openDependencies = 0, 0, 0
			for _, t := range s.Tasks {
				s.add(t.counts(), taskCounts{})
			}
			s.completed = s.doneTasks == len(s.Tasks)
		}
		for _, s := range ss {
			if s.completed {
				continue
			}
			j.openStages++
			for _, d := range s.dependents {
				d.openDependencies++
			}
		}
	}
}

// completeStage counts a stage whose tasks are all done, once.
func (g *Graph) completeStage(s *Stage) {
	if s.completed && g.stateVersion > unversioned {
		return
	}
	s.completed = true
	s.Job.openStages--
	for _, d := range s.dependents {
		d.openDependencies--
		g.updateReady(d)
	}
}

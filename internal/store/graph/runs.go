// This file defines how runs are placed and end.

package graph

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// defaultMaxAttempts is used where a job's queue is gone or names no limit.
	defaultMaxAttempts = 3
	// MaxStartCrashes is how many agents may crash as a task starts there before its job
	// fails. Each one takes all that runs there along, so few; but of the runs that go
	// with an agent at most one is the cause, so a task isn't given up for one crash, nor
	// for a second that happened to hit it again. The third start is made apart from all
	// others, so that it tells.
	MaxStartCrashes = 3
	// MaxCrashes is the same for all crashes soon after a task had come to the agent. A
	// task that works for a while first can't be told from those beside it, so more.
	MaxCrashes = 5
)

func (g *Graph) placeRuns(p *wire.PlaceRuns) Result {
	res := Result{PlacementErrors: make([]error, len(p.Placements))}
	for i, placement := range p.Placements {
		res.PlacementErrors[i] = g.placeRun(placement)
	}
	return res
}

// placeRun notes that a run may exist. What is asked is checked here and not
// by the leader that asks, whose view may be older than this state.
func (g *Graph) placeRun(p *wire.RunPlacement) error {
	t, r := g.FindTask(p.Id), g.agents[p.Agent]
	switch {
	case t == nil:
		return ErrUnknownJob
	case r == nil:
		return ErrUnknownAgent
	case r.Record.Leaving:
		return ErrAgentLeaving
	case g.Drained(r.Record.FailureDomain):
		return ErrDrained
	case !t.Placeable() || t.Stage.Job.Ended() || t.Stage.openDependencies > 0:
		return ErrNotReady
	case p.Id.Run <= t.Run:
		return ErrSuperseded
	}
	t.Run, t.Agent = p.Id.Run, p.Agent
	r.Tasks[t] = true
	t.Stage.Job.activeRuns++
	g.notifyAgentChange(t.Agent)
	t.Stage.Unplaced--
	g.updateReady(t.Stage)
	g.markStarted(t.Stage.Job)
	return nil
}

// release notes that the task's latest run surely exists nowhere any more.
func (g *Graph) releaseRun(t *Task) {
	if r := g.agents[t.Agent]; r != nil {
		delete(r.Tasks, t)
	}
	g.notifyAgentChange(t.Agent)
	if t.Agent != "" {
		t.Stage.Job.activeRuns--
	}
	t.Agent = ""
	if !t.Done {
		t.Stage.Unplaced++
	}
	g.updateReady(t.Stage)
	t.Stage.Job.compact()
}

// end notes how a run ended. An end of another run than the present one is a
// repeated report and changes nothing.
func (g *Graph) endRun(at time.Time, e *wire.RunEnd) {
	t := g.FindTask(e.Id)
	if t == nil || t.Run != e.Id.Run || t.Agent != e.Agent || t.Agent == "" {
		return
	}
	defer g.notifyChange()
	if e.Checkpoint != "" {
		g.saveCheckpoint(t, e.Checkpoint)
	}
	switch {
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_DONE && !t.Stage.Standing():
		g.completeTask(at, t)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !t.Stage.Standing():
		g.recordFailure(at, t)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_CRASHED:
		g.recordCrash(at, t, false)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START:
		g.recordCrash(at, t, true)
	default:
		if e.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
			t.LastFailedOn = t.Agent
		}
		g.releaseRun(t)
	}
}

// saveCheckpoint keeps what the next run resumes from. All members of a gang
// resume from the same point.
func (g *Graph) saveCheckpoint(t *Task, checkpoint string) {
	t.Checkpoint = checkpoint
	if !t.Stage.Step.Gang {
		return
	}
	for _, member := range t.Stage.Tasks {
		member.Checkpoint = checkpoint
	}
}

// completeTask completes a task, or a whole gang: its members end together, so the
// end of one stands for all. The others' runs still hold their room until
// their own ends are known.
func (g *Graph) completeTask(at time.Time, t *Task) {
	finished := []*Task{t}
	if t.Stage.Step.Gang {
		finished = t.Stage.Tasks
	}
	for _, f := range finished {
		if f.Done {
			continue
		}
		if f.Agent == "" {
			f.Stage.Unplaced--
		}
		f.Done = true
		f.Stage.doneTasks++
		g.notifyAgentChange(f.Agent)
	}
	g.releaseRun(t)
	if t.Stage.doneTasks == len(t.Stage.Tasks) {
		g.completeStage(at, t.Stage)
	}
}

func (g *Graph) completeStage(at time.Time, s *Stage) {
	g.updateReady(s)
	j := s.Job
	j.openStages--
	for _, next := range s.dependents {
		next.openDependencies--
		g.updateReady(next)
	}
	if j.openStages == 0 {
		g.finishJob(at, j, wire.WorkState_WORK_STATE_COMPLETED)
	}
}

// recordFailure counts an attempt, of the task or of its whole gang.
func (g *Graph) recordFailure(at time.Time, t *Task) {
	t.LastFailedOn = t.Agent
	g.releaseRun(t)
	failures := uint32(0)
	if t.Stage.Step.Gang {
		t.Stage.Tasks[0].Failures++
		failures = t.Stage.Tasks[0].Failures
	} else {
		t.Failures++
		failures = t.Failures
	}
	if failures >= g.maxAttempts(t.Stage.Job) {
		g.finishJob(at, t.Stage.Job, wire.WorkState_WORK_STATE_FAILED)
	}
}

// recordCrash counts a crash under a task, standing or not. An agent that goes down
// reports no end, so without this a task that takes its agents down is started forever.
func (g *Graph) recordCrash(at time.Time, t *Task, atStart bool) {
	g.releaseRun(t)
	if t.Done {
		return
	}
	t.Crashes++
	if atStart {
		t.StartCrashes++
	}
	if t.Crashes >= MaxCrashes || t.StartCrashes >= MaxStartCrashes {
		g.finishJob(at, t.Stage.Job, wire.WorkState_WORK_STATE_FAILED)
	}
}

func (g *Graph) maxAttempts(j *Job) uint32 {
	if limit := g.queues[j.Queue].GetMaxAttempts(); limit > 0 {
		return limit
	}
	return defaultMaxAttempts
}

func sortedTasks(tasks map[*Task]bool) []*Task {
	list := make([]*Task, 0, len(tasks))
	for t := range tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if a.Stage != b.Stage {
			return a.Stage.Before(b.Stage)
		}
		return a.Index < b.Index
	})
	return list
}

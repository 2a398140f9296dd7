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

func (g *Graph) place(p *wire.PlaceRuns) Result {
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
	case !t.Placeable() || t.Stage.Job.Ended() || t.Stage.waitsFor > 0:
		return ErrNotReady
	case p.Id.Run <= t.Run:
		return ErrSuperseded
	}
	t.Run, t.Agent = p.Id.Run, p.Agent
	r.Tasks[t] = true
	t.Stage.Job.placed++
	g.touch(t.Agent)
	t.Stage.Unplaced--
	g.noteReady(t.Stage)
	g.begin(t.Stage.Job)
	return nil
}

// release notes that the task's latest run surely exists nowhere any more.
func (g *Graph) release(t *Task) {
	if r := g.agents[t.Agent]; r != nil {
		delete(r.Tasks, t)
	}
	g.touch(t.Agent)
	if t.Agent != "" {
		t.Stage.Job.placed--
	}
	t.Agent = ""
	if !t.Done {
		t.Stage.Unplaced++
	}
	g.noteReady(t.Stage)
	t.Stage.Job.thin()
}

// end notes how a run ended. An end of another run than the present one is a
// repeated report and changes nothing.
func (g *Graph) end(at time.Time, e *wire.RunEnd) {
	t := g.FindTask(e.Id)
	if t == nil || t.Run != e.Id.Run || t.Agent != e.Agent || t.Agent == "" {
		return
	}
	defer g.changed()
	if e.Checkpoint != "" {
		g.saveCheckpoint(t, e.Checkpoint)
	}
	switch {
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_DONE && !t.Stage.Standing():
		g.endDone(at, t)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !t.Stage.Standing():
		g.endFailed(at, t)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_CRASHED:
		g.endCrashed(at, t, false)
	case e.Outcome == wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START:
		g.endCrashed(at, t, true)
	default:
		if e.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
			t.LastFailedOn = t.Agent
		}
		g.release(t)
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

// endDone completes a task, or a whole gang: its members end together, so the
// end of one stands for all. The others' runs still hold their room until
// their own ends are known.
func (g *Graph) endDone(at time.Time, t *Task) {
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
		f.Stage.done++
		g.touch(f.Agent)
	}
	g.release(t)
	if t.Stage.done == len(t.Stage.Tasks) {
		g.endStage(at, t.Stage)
	}
}

func (g *Graph) endStage(at time.Time, s *Stage) {
	g.noteReady(s)
	j := s.Job
	j.open--
	for _, next := range s.next {
		next.waitsFor--
		g.noteReady(next)
	}
	if j.open == 0 {
		g.finish(at, j, wire.WorkState_WORK_STATE_COMPLETED)
	}
}

// endFailed counts an attempt, of the task or of its whole gang.
func (g *Graph) endFailed(at time.Time, t *Task) {
	t.LastFailedOn = t.Agent
	g.release(t)
	failures := uint32(0)
	if t.Stage.Step.Gang {
		t.Stage.Tasks[0].Failures++
		failures = t.Stage.Tasks[0].Failures
	} else {
		t.Failures++
		failures = t.Failures
	}
	if failures >= g.maxAttempts(t.Stage.Job) {
		g.finish(at, t.Stage.Job, wire.WorkState_WORK_STATE_FAILED)
	}
}

// endCrashed counts a crash under a task, standing or not. An agent that goes down
// reports no end, so without this a task that takes its agents down is started forever.
func (g *Graph) endCrashed(at time.Time, t *Task, atStart bool) {
	g.release(t)
	if t.Done {
		return
	}
	t.Crashes++
	if atStart {
		t.StartCrashes++
	}
	if t.Crashes >= MaxCrashes || t.StartCrashes >= MaxStartCrashes {
		g.finish(at, t.Stage.Job, wire.WorkState_WORK_STATE_FAILED)
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

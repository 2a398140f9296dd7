// This file defines how runs are placed and how they end.

package graph

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// defaultMaxAttempts applies if a job's queue has no limit, or was removed before its terms were kept.
	defaultMaxAttempts = 3
	// MaxStartCrashes limits the agents that crash as a task starts there: at this number
	// the task's job fails. Each crash ends all runs on the agent, so the limit is low. But
	// at most one of those runs is the cause, so one crash, or a second by coincidence,
	// doesn't fail the job. The third start is isolated from all others, so a crash then
	// identifies the cause.
	MaxStartCrashes = 3
	// MaxCrashes is the limit for all crashes soon after a task was placed. It is higher
	// since a task that runs for a while first can't be distinguished from the other runs
	// on the agent.
	MaxCrashes = 5
	// minDetectedCrashes is how many of them must have been detected. The others may be
	// coincidences: agents that were restarted after the run had ended there, or that it
	// never reached.
	minDetectedCrashes = 2
	// maxPresumedCrashes is the limit for a task of whose crashes fewer are detected.
	maxPresumedCrashes = 8
)

func (g *Graph) placeRuns(at time.Time, p *wire.PlaceRuns) Result {
	res := Result{PlacementErrors: make([]error, len(p.Placements))}
	for i, r := range p.Placements {
		res.PlacementErrors[i] = g.placeRun(at, r)
	}
	return res
}

// placeRun records that a run may exist. The placement is validated here, since the view
// of the leader that proposed it may be older than this state.
func (g *Graph) placeRun(at time.Time, p *wire.RunPlacement) error {
	t, agent := g.FindTask(p.Id), g.agents[p.Agent]
	switch {
	case t == nil:
		return ErrUnknownJob
	case agent == nil:
		return ErrUnknownAgent
	case agent.Record.Leaving:
		return ErrAgentLeaving
	case g.Drained(agent.Record.FailureDomain):
		return ErrDrained
	case !t.Placeable() || t.Stage.Job.Ended() || t.Stage.openDependencies > 0:
		return ErrNotReady
	case p.Id.Run <= t.Run:
		return ErrSuperseded
	}
	t.Run, t.PlacedAt = p.Id.Run, at.UnixMilli()
	g.changeTask(t, func(t *Task) { t.Agent = p.Agent })
	agent.Tasks[t] = true
	g.notifyAgentChange(t.Agent)
	if j := t.Stage.Job; !j.Started() {
		g.setState(j, wire.WorkState_WORK_STATE_RUNNING)
	}
	return nil
}

// releaseRun records that the task's latest run has certainly ended.
func (g *Graph) releaseRun(t *Task) {
	if agent := g.agents[t.Agent]; agent != nil {
		delete(agent.Tasks, t)
	}
	g.notifyAgentChange(t.Agent)
	g.changeTask(t, func(t *Task) { t.Agent = "" })
	g.compactLater(t.Stage.Job)
}

// endRun records the outcome of a run. An outcome of a run that isn't the task's latest one
// is a repeated report and is ignored.
func (g *Graph) endRun(at time.Time, e *wire.RunEnd) {
	t := g.FindTask(e.Id)
	if t == nil || t.Run != e.Id.Run || t.Agent != e.Agent || t.Agent == "" {
		return
	}
	if e.Checkpoint != "" {
		g.saveCheckpoint(t, e.Checkpoint)
	}
	exhausted := false
	switch e.Outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		g.completeTask(t)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		exhausted = g.recordFailure(t)
	case wire.RunOutcome_RUN_OUTCOME_CRASHED, wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START:
		exhausted = recordCrash(t, e)
	default:
	}
	g.releaseRun(t)
	switch j := t.Stage.Job; {
	case j.openStages == 0:
		g.finishJob(at, j, wire.WorkState_WORK_STATE_COMPLETED)
	case exhausted:
		g.finishJob(at, j, wire.WorkState_WORK_STATE_FAILED)
	}
	g.notifyChange()
}

// saveCheckpoint sets the checkpoint from which the next run resumes. All members of a gang
// resume from the same checkpoint.
func (g *Graph) saveCheckpoint(t *Task, checkpoint string) {
	t.Checkpoint = checkpoint
	if !t.Stage.Step.Gang {
		return
	}
	for _, m := range t.Stage.Tasks {
		m.Checkpoint = checkpoint
	}
}

// completeTask completes a task, or all tasks of its gang, since the members end together.
// The runs of the other members keep their resources until their own ends are recorded.
func (g *Graph) completeTask(t *Task) {
	if t.Stage.Standing() {
		return
	}
	finished := []*Task{t}
	if t.Stage.Step.Gang {
		finished = t.Stage.Tasks
	}
	for _, f := range finished {
		if f.Done {
			continue
		}
		g.changeTask(f, func(t *Task) { t.Done = true })
		g.notifyAgentChange(f.Agent)
	}
	if t.Stage.doneTasks == len(t.Stage.Tasks) {
		g.completeStage(t.Stage)
	}
}

// recordFailure counts a failed attempt of the task or of its gang, and reports whether it was the
// last one that is allowed. The members of a gang make their attempts together, so a run of it fails
// once, and not at all if another member has ended as done.
func (g *Graph) recordFailure(t *Task) (exhausted bool) {
	t.LastFailedOn = t.Agent
	s := t.Stage
	if s.Standing() {
		return false
	}
	if g.stateVersion > unversioned && (t.Done || s.Step.Gang && s.failedRun == t.Run) {
		return false
	}
	if s.Step.Gang {
		s.failures++
		s.failedRun = t.Run
	} else {
		t.Failures++
	}
	return t.attemptFailures() >= g.maxAttempts(s.Job)
}

// attemptFailures returns the number of failed attempts of the task or of its gang.
func (t *Task) attemptFailures() uint32 { return t.Failures + t.Stage.failures }

// recordCrash counts a crash of a task's agent, for standing tasks as well, and reports whether the
// task's job fails by it. A crashed agent reports no ends, so a task that crashes its agents would
// otherwise be restarted forever.
func recordCrash(t *Task, e *wire.RunEnd) (exhausted bool) {
	if t.Done {
		return false
	}
	t.Crashes++
	if e.Outcome == wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START {
		t.StartCrashes++
	}
	if e.Presumed {
		t.PresumedCrashes++
	}
	return crashLimitReached(t.Crashes, t.StartCrashes, t.PresumedCrashes)
}

// AttemptsLeft returns how many more runs of a task, or of its gang, may fail before its job
// does; false if failures don't count.
func (g *Graph) AttemptsLeft(t *Task) (left uint32, limited bool) {
	if t.Stage.Standing() {
		return 0, false
	}
	limit := g.maxAttempts(t.Stage.Job)
	return limit - min(t.attemptFailures(), limit), true
}

func (g *Graph) maxAttempts(j *Job) uint32 {
	if limit := g.Queue(j.Queue).GetMaxAttempts(); limit > 0 {
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

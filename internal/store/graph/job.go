// This file defines Job, Stage and Task.

package graph

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Job is an accepted job and its stages.
	Job struct {
		ID          string
		Queue, Pool string
		Spec        *wire.WorkSpec
		State       wire.WorkState
		AcceptedAt  time.Time
		EndedAt     time.Time
		Sequence    uint64
		// Occurrences hold the stages of each repetition of the steps.
		Occurrences [][]*Stage
		openStages  int // stages that haven't ended
		activeRuns  int // tasks with a run that may exist
	}

	// Stage is one step of one occurrence of a job.
	Stage struct {
		Job        *Job
		Occurrence uint32
		Index      uint32
		Step       *wire.Step
		// Tasks is nil after the command by which the job has ended and has no run that may
		// exist; summary then has the tasks' outcomes.
		Tasks []*Task
		// Due is the earliest start; zero means immediately.
		Due time.Time
		// CriticalPath is the declared time from the stage's start to the end of the job
		// along the longest chain of steps.
		CriticalPath time.Duration

		openDependencies int // earlier stages it waits for
		dependents       []*Stage
		doneTasks        int
		completed        bool   // it isn't counted as open any more
		failures         uint32 // failed attempts of a gang
		failedRun        uint32 // the latest of them
		summary          *wire.EndedStage
		// Unplaced is the number of tasks that neither run nor have ended.
		Unplaced int
	}

	// Task is a task of a stage and its latest run.
	Task struct {
		Stage    *Stage
		Index    uint32
		Run      uint32 // number of its latest run; 0 before the first
		Failures uint32
		// Crashes is the number of agents that crashed soon after a run of the task was
		// placed there, and StartCrashes the number of those that crashed as it started.
		// The task may be the cause of any of them.
		Crashes, StartCrashes uint32
		// PresumedCrashes is the number of the crashes that were presumed without seeing the
		// connections to the agent closed.
		PresumedCrashes uint32
		// PlacedAt is when the latest run was placed, in milliseconds since 1970; 0 if
		// unknown.
		PlacedAt int64
		Done     bool
		// Checkpoint is the point from which the next run resumes, or empty.
		Checkpoint string
		// Agent is the agent on which the latest run may exist; empty if the run has
		// certainly ended.
		Agent string
		// LastFailedOn is the agent of the latest failed run.
		LastFailedOn string
		// AvoidAgent is the agent that its latest run was evicted or moved from, and EvictedAt
		// when it was evicted, on the boot clock; 0 if it was moved. They are set by the leader
		// and aren't part of the replicated state.
		AvoidAgent string
		EvictedAt  time.Duration
	}
)

// ID returns the id of the task's latest run.
func (t *Task) ID() *wire.RunId {
	s := t.Stage
	return &wire.RunId{Job: s.Job.ID, Occurrence: s.Occurrence, Step: s.Index, Index: t.Index, Run: t.Run}
}

// Placeable reports whether the task has neither run nor end, and can be placed.
func (t *Task) Placeable() bool { return !t.Done && t.Agent == "" }

// Suspect reports whether the task is likely to crash agents, so that it is isolated from
// other suspects: one agent crashed as it started, or two crashed later. A single later
// crash isn't enough, or too many tasks would be isolated.
func (t *Task) Suspect() bool { return t.StartCrashes > 0 || t.Crashes > 1 }

// OnFinalAttempt reports whether one more crash fails the task's job, so that its next start
// is isolated from all other starts. It ignores the later crashes of standing tasks, which
// have to restart quickly and can't wait for an isolated start.
func (t *Task) OnFinalAttempt() bool {
	if t.Crashes == 0 {
		return false
	}
	if t.StartCrashes+1 >= MaxStartCrashes && crashLimitReached(t.Crashes+1, t.StartCrashes+1, t.PresumedCrashes) {
		return true
	}
	return !t.Stage.Standing() && crashLimitReached(t.Crashes+1, t.StartCrashes, t.PresumedCrashes)
}

// crashLimitReached reports whether a task with these counts fails its job.
func crashLimitReached(crashes, atStart, presumed uint32) bool {
	detected := crashes - presumed
	switch {
	case detected >= minDetectedCrashes:
		return atStart >= MaxStartCrashes || crashes >= MaxCrashes
	case detected > 0 && atStart >= MaxStartCrashes:
		return crashes >= MaxCrashes
	default:
		return crashes >= maxPresumedCrashes
	}
}

// Ended reports whether the job has reached its final state.
func (j *Job) Ended() bool {
	return j.State != wire.WorkState_WORK_STATE_QUEUED && j.State != wire.WorkState_WORK_STATE_RUNNING
}

// Started reports whether a task of the job has been placed, or the job has ended without one.
func (j *Job) Started() bool { return j.State != wire.WorkState_WORK_STATE_QUEUED }

// HasRun reports whether a task of the stage has been placed before.
func (s *Stage) HasRun() bool {
	for _, t := range s.Tasks {
		if t.Run > 0 {
			return true
		}
	}
	return false
}

// OnFinalAttempt reports whether a placeable task of the stage is on its final attempt.
func (s *Stage) OnFinalAttempt() bool {
	for _, t := range s.Tasks {
		if t.Placeable() && t.OnFinalAttempt() {
			return true
		}
	}
	return false
}

// Ready reports whether the stage has tasks that can be placed once it is due.
func (s *Stage) Ready() bool { return s.Unplaced > 0 && s.openDependencies == 0 && !s.Job.Ended() }

// Standing reports whether the stage's tasks run until the job is cancelled.
func (s *Stage) Standing() bool { return s.Step.Standing }

// Before orders stages by their jobs' acceptance, occurrence and step.
func (s *Stage) Before(other *Stage) bool {
	switch {
	case s.Job.Sequence != other.Job.Sequence:
		return s.Job.Sequence < other.Job.Sequence
	case s.Occurrence != other.Occurrence:
		return s.Occurrence < other.Occurrence
	default:
		return s.Index < other.Index
	}
}

// Failures returns the number of the job's failed runs.
func (j *Job) Failures() uint32 {
	var sum uint32
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			sum += s.failures
			for _, t := range s.Tasks {
				sum += t.Failures
			}
		}
	}
	return sum
}

// Crashes returns the highest number of crashes counted for a task of the job.
func (j *Job) Crashes() uint32 {
	var most uint32
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			for _, t := range s.Tasks {
				most = max(most, t.Crashes)
			}
		}
	}
	return most
}

// buildStages builds the stages that the job's specification describes.
func (j *Job) buildStages() {
	occurrences := max(j.Spec.Occurrences, 1)
	for k := range occurrences {
		var due time.Time
		if j.Spec.Occurrences > 0 {
			due = j.Spec.FirstDue.AsTime().Add(time.Duration(k) * j.Spec.Period.AsDuration())
		}
		stages := make([]*Stage, len(j.Spec.Steps))
		for i, st := range j.Spec.Steps {
			s := &Stage{Job: j, Occurrence: k, Index: uint32(i), Step: st, Due: due}
			s.Tasks = make([]*Task, st.Count)
			for n := range s.Tasks {
				s.Tasks[n] = &Task{Stage: s, Index: uint32(n)}
			}
			stages[i] = s
		}
		linkStages(stages)
		j.Occurrences = append(j.Occurrences, stages)
	}
	j.recount()
}

// linkStages connects the stages of one occurrence and computes their critical paths.
// Steps depend on earlier steps only, so a backward pass visits each stage after its
// dependents.
func linkStages(stages []*Stage) {
	for _, s := range stages {
		for _, d := range distinct(s.Step.After) {
			stages[d].dependents = append(stages[d].dependents, s)
		}
	}
	for i := len(stages) - 1; i >= 0; i-- {
		s := stages[i]
		for _, d := range s.dependents {
			s.CriticalPath = max(s.CriticalPath, d.CriticalPath)
		}
		s.CriticalPath += time.Duration(s.Step.EstimateMs) * time.Millisecond
	}
}

// distinct returns the numbers without duplicates.
func distinct(numbers []uint32) []uint32 {
	seen := map[uint32]bool{}
	var unique []uint32
	for _, n := range numbers {
		if !seen[n] {
			seen[n] = true
			unique = append(unique, n)
		}
	}
	return unique
}

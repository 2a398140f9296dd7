// This file defines Job, Stage and Task.

package graph

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Job is one accepted job.
	Job struct {
		ID          string
		Queue, Pool string
		Spec        *wire.WorkSpec
		State       wire.WorkState
		AcceptedAt  time.Time
		EndedAt     time.Time
		Sequence    uint64
		// Occurrences hold the stages of each time the steps run.
		Occurrences [][]*Stage
		openStages  int // stages not ended
		activeRuns  int // tasks of which a run may exist
		started     bool
	}

	// Stage is one step of one occurrence of a job.
	Stage struct {
		Job        *Job
		Occurrence uint32
		Index      uint32
		Step       *wire.Step
		// Tasks are dropped once the job has ended and none of its runs may exist any
		// more; ended then tells what became of them.
		Tasks []*Task
		// Due is when the stage may start at the earliest; zero is at once.
		Due time.Time
		// Longest is the declared time from this stage's start to the end of
		// the job along the longest chain.
		CriticalPath time.Duration

		openDependencies int // stages before it that haven't ended
		dependents       []*Stage
		doneTasks        int
		summary          *wire.EndedStage
		// Unplaced counts the tasks that neither run nor have ended.
		Unplaced int
	}

	// Task is one task of a stage.
	Task struct {
		Stage    *Stage
		Index    uint32
		Run      uint32 // number of its latest run; 0 before the first
		Failures uint32
		// Crashes counts the agents that ended without notice soon after a run of the
		// task had come there, StartCrashes those of them on which it had just been
		// started. Any of them may be its doing.
		Crashes, StartCrashes uint32
		Done                  bool
		// Checkpoint is what the next run resumes from; empty for none.
		Checkpoint string
		// Agent is where the latest run may exist; empty when it surely
		// exists nowhere.
		Agent string
		// LastFailedOn is the agent of the latest failed run.
		LastFailedOn string
		// AvoidAgent is where it disturbed others; the leader's own note, not
		// part of the replicated state.
		AvoidAgent string
	}
)

// ID names the task's latest run.
func (t *Task) ID() *wire.RunId {
	s := t.Stage
	return &wire.RunId{Job: s.Job.ID, Occurrence: s.Occurrence, Step: s.Index, Index: t.Index, Run: t.Run}
}

// Placeable tells whether the task waits to be placed.
func (t *Task) Placeable() bool { return !t.Done && t.Agent == "" }

// Suspect tells whether the task is likely enough to end the agents on which it starts
// that it is kept apart: it had just been started when one crashed, or two crashed later.
// Most of what goes with an agent is neither, and there would be too many to keep apart.
func (t *Task) Suspect() bool { return t.StartCrashes > 0 || t.Crashes > 1 }

// OnFinalAttempt tells whether the task's next start is made apart from all others, since one
// more crash fails its job. A standing task that crashed later isn't held up for that: it
// has to run again soon, and would wait for seconds.
func (t *Task) OnFinalAttempt() bool {
	return t.StartCrashes == MaxStartCrashes-1 || t.Crashes == MaxCrashes-1 && !t.Stage.Standing()
}

// Ended tells whether a job has reached its final state.
func (j *Job) Ended() bool {
	return j.State != wire.WorkState_WORK_STATE_QUEUED && j.State != wire.WorkState_WORK_STATE_RUNNING
}

// Begun tells whether a task of the job has been placed.
func (j *Job) Started() bool { return j.started }

// Ran tells whether a task of the stage has been placed before.
func (s *Stage) HasRun() bool {
	for _, t := range s.Tasks {
		if t.Run > 0 {
			return true
		}
	}
	return false
}

// OnFinalAttempt tells whether a task of the stage that waits to be placed is on its last
// try.
func (s *Stage) OnFinalAttempt() bool {
	for _, t := range s.Tasks {
		if t.Placeable() && t.OnFinalAttempt() {
			return true
		}
	}
	return false
}

// Left is the number of tasks that haven't ended.
func (s *Stage) Remaining() int { return len(s.Tasks) - s.doneTasks }

// Ready tells whether the stage has tasks to place, due yet or not.
func (s *Stage) Ready() bool { return s.Unplaced > 0 && s.openDependencies == 0 && !s.Job.Ended() }

// Standing tells whether the stage's tasks run until the job is cancelled.
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

// Failures is the number of the job's failed runs.
func (j *Job) Failures() uint32 {
	var sum uint32
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			for _, t := range s.Tasks {
				sum += t.Failures
			}
		}
	}
	return sum
}

// Crashes is the highest number of crashes that a task of the job has been under.
func (j *Job) Crashes() uint32 {
	var most uint32
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			for _, t := range s.Tasks {
				most = max(most, t.Crashes)
			}
		}
	}
	return most
}

// build makes the stages that a job's spec describes.
func (j *Job) buildStages() {
	times := max(j.Spec.Occurrences, 1)
	for k := range times {
		var due time.Time
		if j.Spec.Occurrences > 0 {
			due = j.Spec.FirstDue.AsTime().Add(time.Duration(k) * j.Spec.Period.AsDuration())
		}
		stages := make([]*Stage, len(j.Spec.Steps))
		for i, step := range j.Spec.Steps {
			s := &Stage{Job: j, Occurrence: k, Index: uint32(i), Step: step, Due: due, Unplaced: int(step.Count)}
			s.Tasks = make([]*Task, step.Count)
			for n := range s.Tasks {
				s.Tasks[n] = &Task{Stage: s, Index: uint32(n)}
			}
			stages[i] = s
		}
		linkStages(stages)
		j.Occurrences = append(j.Occurrences, stages)
		j.openStages += len(stages)
	}
}

// link connects the stages of one occurrence. Steps name only earlier ones, so
// that going backwards meets each stage after all that follow it.
func linkStages(stages []*Stage) {
	for _, s := range stages {
		for _, before := range distinct(s.Step.After) {
			stages[before].dependents = append(stages[before].dependents, s)
			s.openDependencies++
		}
	}
	for i := len(stages) - 1; i >= 0; i-- {
		s := stages[i]
		for _, n := range s.dependents {
			s.CriticalPath = max(s.CriticalPath, n.CriticalPath)
		}
		s.CriticalPath += time.Duration(s.Step.EstimateMs) * time.Millisecond
	}
}

func distinct(numbers []uint32) []uint32 {
	seen := map[uint32]bool{}
	var kept []uint32
	for _, n := range numbers {
		if !seen[n] {
			seen[n] = true
			kept = append(kept, n)
		}
	}
	return kept
}

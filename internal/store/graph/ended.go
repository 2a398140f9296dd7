// This file defines what is kept of jobs that are over.

package graph

import "sycamoredeck.example/internal/schema/wire"

// thin keeps of the tasks of a job that is over only what may be asked for. A job's
// state can be asked for minutes after its end; with 3,000 tasks a second that
// is hundreds of thousands of tasks in the memory of every replica and in each snapshot.
func (j *Job) compact() {
	if !j.Ended() || j.mayHaveRuns() {
		return
	}
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			if s.summary == nil {
				s.summary = s.summarize()
				s.Tasks = nil
			}
		}
	}
}

func (s *Stage) summarize() *wire.EndedStage {
	sum := &wire.EndedStage{
		Occurrence: s.Occurrence, Step: s.Index,
		Runs: make([]uint32, len(s.Tasks)), Failures: make([]uint32, len(s.Tasks)), Done: make([]bool, len(s.Tasks)),
		Crashes: make([]uint32, len(s.Tasks)),
	}
	for i, t := range s.Tasks {
		sum.Runs[i], sum.Failures[i], sum.Done[i], sum.Crashes[i] = t.Run, t.Failures, t.Done, t.Crashes
	}
	return sum
}

// tasksFromSummary are the tasks of a stage of which only a summary is left, as far as they
// were placed.
func tasksFromSummary(sum *wire.EndedStage) []*wire.WorkTask {
	var tasks []*wire.WorkTask
	for i := range sum.GetRuns() {
		if sum.Runs[i] == 0 && !sum.Done[i] {
			continue
		}
		task := &wire.WorkTask{
			Occurrence: sum.Occurrence, Step: sum.Step, Index: uint32(i), Run: sum.Runs[i], Failures: sum.Failures[i], Done: sum.Done[i],
		}
		if i < len(sum.Crashes) { // a summary of an earlier version has none
			task.Crashes = sum.Crashes[i]
		}
		tasks = append(tasks, task)
	}
	return tasks
}

// This file defines the compact form in which ended jobs are kept.

package graph

import "sycamoredeck.example/internal/schema/wire"

// compactLater makes a job compact at the end of the current command, which may still read its tasks.
func (g *Graph) compactLater(j *Job) {
	if j.Ended() && !j.mayHaveRuns() {
		g.uncompacted = append(g.uncompacted, j)
	}
}

func (g *Graph) compactEndedJobs() {
	for _, j := range g.uncompacted {
		j.compact()
	}
	g.uncompacted = nil
}

// compact replaces the tasks of an ended job without runs by summaries. Clients can query
// a job for minutes after its end, and at thousands of tasks per second the full tasks
// would dominate the memory of every replica and each snapshot.
func (j *Job) compact() {
	if !j.Ended() || j.mayHaveRuns() {
		return
	}
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			if s.summary == nil {
				s.summary = s.summarize()
				s.Tasks = nil
			}
		}
	}
}

func (s *Stage) summarize() *wire.EndedStage {
	summary := &wire.EndedStage{
		Occurrence: s.Occurrence, Step: s.Index,
		Runs: make([]uint32, len(s.Tasks)), Failures: make([]uint32, len(s.Tasks)), Done: make([]bool, len(s.Tasks)),
		Crashes: make([]uint32, len(s.Tasks)),
	}
	for i, t := range s.Tasks {
		summary.Runs[i], summary.Failures[i], summary.Done[i], summary.Crashes[i] = t.Run, t.savedFailures(), t.Done, t.Crashes
	}
	return summary
}

// tasksFromSummary returns the tasks of a compacted stage that were placed, or whose gang
// has failed.
func tasksFromSummary(summary *wire.EndedStage) []*wire.WorkTask {
	var tasks []*wire.WorkTask
	for i := range summary.GetRuns() {
		if summary.Runs[i] == 0 && !summary.Done[i] && summary.Failures[i] == 0 {
			continue
		}
		task := &wire.WorkTask{
			Occurrence: summary.Occurrence, Step: summary.Step, Index: uint32(i), Run: summary.Runs[i], Failures: summary.Failures[i], Done: summary.Done[i],
		}
		if i < len(summary.Crashes) { // missing in summaries of earlier versions
			task.Crashes = summary.Crashes[i]
		}
		tasks = append(tasks, task)
	}
	return tasks
}

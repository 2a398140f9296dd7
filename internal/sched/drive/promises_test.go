// This file defines the promises that the seeded simulation checks as it goes.

package drive_test

import (
	"fmt"
	"time"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// began checks a start against all promises.
func (s *sim) began(on *modelAgent, o drive.Order) {
	key := taskKey(o.Run)
	for _, r := range s.agents {
		if r.runs[key] != nil {
			s.check(false, "%s run %d begins on %s while run %d is on %s", key, o.Run.Run, on.record.Id, r.runs[key].id.Run, r.record.Id)
		}
	}
	s.check(!s.doneNoted[key], "%s begins after its end was noted", key)
	s.check(s.failures[key] < 3, "%s begins after %d failures", key, s.failures[key])
	_, crashing := s.crashing[o.Run.Job]
	s.check(!crashing || s.crashes[key] < maxCrashesSeen, "%s begins after it ended %d agents", key, s.crashes[key])
	step := s.steps[fmt.Sprintf("%s.%d", o.Run.Job, o.Run.Step)]
	for _, before := range step.After {
		earlier := s.graph.Job(o.Run.Job).Occurrences[o.Run.Occurrence][before]
		for _, t := range earlier.Tasks {
			s.check(t.Done, "%s begins before step %d is done", key, before)
		}
	}
	if at, ok := s.cancelled[o.Run.Job]; ok && o.SentAt > at {
		s.check(false, "%s is ordered %v after its job was cancelled", key, o.SentAt-at)
	}
	domain := on.record.FailureDomain
	if at, drained := s.drainedAt[domain]; drained && o.SentAt > at {
		s.check(false, "%s is ordered %v after %s was drained", key, o.SentAt-at, domain)
	}
	if step.SpreadLimit > 0 {
		beside := 0
		for _, run := range on.runs {
			if run.id.Job == o.Run.Job && run.id.Step == o.Run.Step {
				beside++
			}
		}
		s.check(beside < int(step.SpreadLimit), "%s is beside %d of its step", key, beside)
	}
}

// noted is called when an end is acknowledged to its agent.
func (s *sim) noted(r drive.Completion) {
	if r.Outcome == wire.RunOutcome_RUN_OUTCOME_DONE {
		s.doneNoted[taskKey(r.Run)] = true
		t := s.graph.FindTask(r.Run)
		s.check(t == nil || t.Done, "the end of %s is acknowledged before it is kept", taskKey(r.Run))
	}
	if r.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !s.steps[fmt.Sprintf("%s.%d", r.Run.Job, r.Run.Step)].Standing {
		s.failures[taskKey(r.Run)]++
	}
}

func (s *sim) ended(run *modelRun, outcome wire.RunOutcome) {
	if outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
		s.failedRuns[taskKey(run.id)]++
	}
	if s.quiet && s.now > s.quietSince+modelMaxLease+time.Second && outcome == wire.RunOutcome_RUN_OUTCOME_LAPSED {
		s.check(false, "%s lapses though nothing is wrong", taskKey(run.id))
	}
}

// checkUnwanted finds runs of cancelled jobs that nobody stops: also one that an
// agent began late, and one whose leader is gone.
func (s *sim) checkUnwanted() {
	if !s.leads {
		return
	}
	for _, r := range s.agents {
		for key, run := range r.runs {
			at, cancelled := s.cancelled[run.id.Job]
			since := max(at, run.began, r.cutUntil, s.ledSince)
			s.check(!cancelled || s.now < since+unwantedTime, "%s runs on %s %v after its job was cancelled", key, r.record.Id, s.now-at)
		}
	}
}

// This file defines the invariants that the simulation checks as it runs.

package drive_test

import (
	"fmt"
	"time"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// checkStart checks the invariants of a start.
func (s *sim) checkStart(on *modelAgent, o drive.Order) {
	key := taskKey(o.Run)
	for _, a := range s.agents {
		if a.runs[key] != nil {
			s.check(false, "%s run %d starts on %s while run %d is on %s", key, o.Run.Run, on.record.Id, a.runs[key].id.Run, a.record.Id)
		}
	}
	work := s.workKey(o.Run)
	s.check(!s.doneAcked[work], "%s starts after its completion was acknowledged", key)
	s.check(s.failures[work] < int(s.maxAttempts), "%s starts after %d failures", key, s.failures[work])
	_, crashing := s.crashingJobs[o.Run.Job]
	s.check(!crashing || s.otherCrashes || s.crashes[key] < maxTaskCrashes, "%s starts after it crashed %d agents", key, s.crashes[key])
	s.check(s.causedCrashes[key] < maxTaskCrashes, "%s starts after %d agents crashed because of it", key, s.causedCrashes[key])
	step := s.steps[fmt.Sprintf("%s.%d", o.Run.Job, o.Run.Step)]
	for _, d := range step.After {
		earlier := s.graph.Job(o.Run.Job).Occurrences[o.Run.Occurrence][d]
		for _, t := range earlier.Tasks {
			s.check(t.Done, "%s starts before step %d is done", key, d)
		}
	}
	if at, ok := s.cancelled[o.Run.Job]; ok && o.SentAt > at {
		s.check(false, "%s is ordered %v after its job was cancelled", key, o.SentAt-at)
	}
	domain := on.record.FailureDomain
	if at, drained := s.drainedAt[domain]; drained && o.SentAt > at {
		s.check(false, "%s is ordered %v after %s was drained", key, o.SentAt-at, domain)
	}
	if at := on.leavingAckedAt; at > 0 && o.SentAt > at+simTick {
		s.check(false, "%s is ordered %v after %s has announced that it leaves", key, o.SentAt-at, on.record.Id)
	}
	if step.SpreadLimit > 0 {
		siblings := 0
		for _, r := range on.runs {
			if r.id.Job == o.Run.Job && r.id.Step == o.Run.Step {
				siblings++
			}
		}
		s.check(siblings < int(step.SpreadLimit), "%s starts next to %d tasks of its step", key, siblings)
	}
}

// completionAcked is called when a completion is acknowledged to its agent.
func (s *sim) completionAcked(completion drive.Completion) {
	if completion.Outcome == wire.RunOutcome_RUN_OUTCOME_DONE {
		s.doneAcked[s.workKey(completion.Run)] = true
		t := s.graph.FindTask(completion.Run)
		s.check(t == nil || t.Done, "the completion of %s is acknowledged before it is committed", taskKey(completion.Run))
	}
	if completion.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !s.stepOf(completion.Run).Standing {
		s.countFailure(s.failures, s.countedAcks, completion.Run)
	}
}

// runEnded is called when a run ends on an agent.
func (s *sim) runEnded(run *modelRun, outcome wire.RunOutcome) {
	s.leaveGang(run, outcome)
	if outcome == wire.RunOutcome_RUN_OUTCOME_DONE {
		s.doneWork[s.workKey(run.id)] = true
	}
	if outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
		s.countFailure(s.failedRuns, s.countedRuns, run.id)
	}
	if s.faultsEnded && s.now > s.faultsEndedAt+modelMaxLease+time.Second && outcome == wire.RunOutcome_RUN_OUTCOME_LAPSED {
		s.check(false, "the lease of %s expires without faults", taskKey(run.id))
	}
}

// checkCancelledRuns finds runs of cancelled jobs that aren't stopped, including runs started late
// and runs whose leader has changed.
func (s *sim) checkCancelledRuns() {
	if !s.isLeader {
		return
	}
	for _, a := range s.agents {
		for k, r := range a.runs {
			at, cancelled := s.cancelled[r.id.Job]
			since := max(at, r.startedAt, a.unreachableUntil, s.leaderSince)
			s.check(!cancelled || s.now < since+cancelledRunLimit, "%s runs on %s %v after its job was cancelled", k, a.record.Id, s.now-at)
		}
	}
}

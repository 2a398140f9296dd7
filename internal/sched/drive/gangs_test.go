// This file defines the gangs of the simulation, and the removal of the route of jobs at work.

package drive_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// gangTimeout is how long a member waits for the others.
	gangTimeout = 5 * time.Second
	// routedAttempts is the limit of the queue in cases whose route is removed. It isn't the limit of
	// queues without one.
	routedAttempts = 4
)

// modelGang is one run of a gang.
type modelGang struct {
	present int // members that have started
	// outcome is how the remaining members end; unspecified while they work.
	outcome wire.RunOutcome
}

// workKey identifies the work of a run: that of its task, or of its gang.
func (s *sim) workKey(id *wire.RunId) string {
	if s.stepOf(id).Gang {
		return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
	}
	return taskKey(id)
}

func (s *sim) stepOf(id *wire.RunId) *wire.Step {
	return s.steps[fmt.Sprintf("%s.%d", id.Job, id.Step)]
}

func (s *sim) gangOf(id *wire.RunId) *modelGang {
	key := fmt.Sprintf("%s#%d", s.workKey(id), id.Run)
	if s.gangs[key] == nil {
		s.gangs[key] = &modelGang{}
	}
	return s.gangs[key]
}

// countFailure counts a failed run, or the first failed member of a gang's run, in counts.
func (s *sim) countFailure(counts map[string]int, counted map[string]bool, id *wire.RunId) {
	key := fmt.Sprintf("%s#%d", s.workKey(id), id.Run)
	if !counted[key] {
		counted[key] = true
		counts[s.workKey(id)]++
	}
}

// leaveGang records how a member has ended: the others end done with it, and break otherwise.
func (s *sim) leaveGang(run *modelRun, outcome wire.RunOutcome) {
	if !run.step.Gang {
		return
	}
	g := s.gangOf(run.id)
	switch {
	case g.outcome != wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED:
	case outcome == wire.RunOutcome_RUN_OUTCOME_DONE:
		g.outcome = outcome
	default:
		g.outcome = wire.RunOutcome_RUN_OUTCOME_BROKEN
	}
}

// gangStep returns whether a member can work, and how it ends if it does by the other members.
func (s *sim) gangStep(run *modelRun) (works bool, outcome wire.RunOutcome) {
	if !run.step.Gang {
		return true, wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED
	}
	g := s.gangOf(run.id)
	complete := g.present >= int(run.step.Count)
	if g.outcome == wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED && !complete && s.now-run.startedAt > gangTimeout {
		return false, wire.RunOutcome_RUN_OUTCOME_ALONE
	}
	return complete, g.outcome
}

// putCatalog commits a catalog with or without the route of all jobs.
func (s *sim) putCatalog(routed bool) {
	queue := &wire.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: s.maxAttempts, Stretch: 2}
	if s.advice {
		queue.Advice = &wire.AdvicePolicy{Decide: durationpb.New(50 * time.Millisecond), Interval: durationpb.New(5 * time.Millisecond)}
	}
	s.catalogVersion++
	c := &wire.Catalog{Version: s.catalogVersion}
	if routed {
		c.Queues, c.Pools = []*wire.Queue{queue}, []*wire.WorkerPool{{Name: "p", Guarded: s.guarded}}
	}
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: c}})
}

// removeRoute removes the route of all jobs, and their pool, for some seconds.
func (s *sim) removeRoute() {
	s.putCatalog(false)
	s.after(time.Duration(1+s.random.IntN(10))*time.Second, func() { s.putCatalog(true) })
}

// checkCompleted checks that all tasks of a completed job have ended as done.
func (s *sim) checkCompleted(id string) {
	j := s.graph.Job(id)
	if j.State != wire.WorkState_WORK_STATE_COMPLETED {
		return
	}
	for step, st := range j.Spec.Steps {
		for index := range st.Count {
			key := s.workKey(&wire.RunId{Job: id, Step: uint32(step), Index: index})
			s.check(s.doneWork[key], "job %s is completed, and %s hasn't ended as done", id, key)
		}
	}
}

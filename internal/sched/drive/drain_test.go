// This file defines the tests of drained failure domains.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// whereRun are the failure domains in which runs of a job's first step are.
func (s *sim) whereRun(job string) map[string]int {
	domains := map[string]int{}
	for _, r := range s.agents {
		for _, run := range r.runs {
			if run.id.Job == job {
				domains[r.record.FailureDomain]++
			}
		}
	}
	return domains
}

// domainIn is any failure domain that a map names; the test fails where it has none.
func domainIn(t *testing.T, domains map[string]int) string {
	t.Helper()
	assert.Assert(t, len(domains) > 0, "nothing runs")
	return sortedKeys(domains)[0]
}

// Guards against a drain that ends or moves what runs: each stop costs work.
func TestWhatRunsInADrainedDomainGoesOn(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.submitSpec(&wire.Step{Count: 6, CpuMillis: 5000, MemoryMb: 100, EstimateMs: 6000, Checkpointable: true})
	s.run(2*time.Second, 0)
	before := s.whereRun(s.jobs[0])
	s.drain(domainIn(t, before), false)
	s.run(2*time.Second, 0)
	assert.DeepEqual(t, s.whereRun(s.jobs[0]), before)
	s.run(6*time.Second, 0)
	s.assertCompleted(t)
}

// Guards against a standing task that waits for its drained domain to be restored.
func TestStandingTaskOfADrainedDomainComesBackElsewhere(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.submitSpec(&wire.Step{Count: 1, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true})
	s.run(2*time.Second, 0)
	home := domainIn(t, s.whereRun(s.jobs[0]))
	s.drain(home, false)
	for _, r := range s.agents {
		for key := range r.runs {
			r.end(key, wire.RunOutcome_RUN_OUTCOME_FAILED)
		}
	}
	s.run(3*time.Second, 0)
	assert.Assert(t, domainIn(t, s.whereRun(s.jobs[0])) != home)
	assert.Equal(t, len(s.broken), 0, "%v", s.broken)
}

// Guards against a run that was committed, and not ordered yet, being ordered into a
// domain drained meanwhile, by the same leader or the next one.
func TestCommittedRunIsNotOrderedIntoADrainedDomain(t *testing.T) {
	for _, c := range []struct {
		name   string
		depose bool
	}{{"same leader", false}, {"next leader", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 6, true, faults{})
			s.run(2*time.Second, 0)
			s.submitSpec(&wire.Step{Count: 6, CpuMillis: 5000, MemoryMb: 100, EstimateMs: 1000})
			for len(s.log) == 0 {
				s.run(simTick, 0)
			}
			place := s.log[0].command.GetWork()
			if c.depose {
				s.commit(place)
				s.log = nil
				s.depose()
			}
			for _, domain := range []string{"domain-0", "domain-1"} {
				s.drain(domain, false)
			}
			s.run(20*time.Second, 0)
			s.assertCompleted(t)
		})
	}
}

// Guards against work that never comes back after all domains were drained at once.
func TestAllDomainsDrainedAndRestored(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.run(2*time.Second, 0)
	domains := []string{"domain-0", "domain-1", "domain-2"}
	for _, domain := range domains {
		s.drain(domain, false)
	}
	s.submitSpec(&wire.Step{Count: 2, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 500})
	s.run(5*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_QUEUED)
	s.drain(domains[1], true)
	s.run(2*time.Second, 0)
	s.assertCompleted(t)
}

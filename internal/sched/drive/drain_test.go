// This file defines the tests of drained failure domains.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// runsByDomain returns the number of runs of a job's tasks by failure domain.
func (s *sim) runsByDomain(job string) map[string]int {
	domains := map[string]int{}
	for _, a := range s.agents {
		for _, r := range a.runs {
			if r.id.Job == job {
				domains[a.record.FailureDomain]++
			}
		}
	}
	return domains
}

// firstDomain returns the first failure domain of a map by name. The test fails if the map is
// empty.
func firstDomain(t *testing.T, domains map[string]int) string {
	t.Helper()
	assert.Assert(t, len(domains) > 0, "no run exists")
	return sortedKeys(domains)[0]
}

// Guards against a drain that stops or moves runs, which loses their work.
func TestDrainKeepsRunningTasks(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.submitJob(&wire.Step{Count: 6, CpuMillis: 5000, MemoryMb: 100, EstimateMs: 6000, Checkpointable: true})
	s.run(2*time.Second, 0)
	before := s.runsByDomain(s.jobs[0])
	s.drain(firstDomain(t, before), false)
	s.run(2*time.Second, 0)
	assert.DeepEqual(t, s.runsByDomain(s.jobs[0]), before)
	s.run(6*time.Second, 0)
	s.assertCompleted(t)
}

// Guards against a standing task that waits until its drained domain is restored.
func TestStandingTaskLeavesDrainedDomain(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true})
	s.run(2*time.Second, 0)
	original := firstDomain(t, s.runsByDomain(s.jobs[0]))
	s.drain(original, false)
	for _, a := range s.agents {
		for k := range a.runs {
			a.end(k, wire.RunOutcome_RUN_OUTCOME_FAILED)
		}
	}
	s.run(3*time.Second, 0)
	assert.Assert(t, firstDomain(t, s.runsByDomain(s.jobs[0])) != original)
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
}

// Guards against a start that was committed before its domain was drained and is then sent, by
// the same leader or the next one.
func TestNoStartInDrainedDomain(t *testing.T) {
	for _, c := range []struct {
		name   string
		depose bool
	}{{"same leader", false}, {"next leader", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 6, true, faults{})
			s.run(2*time.Second, 0)
			s.submitJob(&wire.Step{Count: 6, CpuMillis: 5000, MemoryMb: 100, EstimateMs: 1000})
			for len(s.proposals) == 0 {
				s.run(simTick, 0)
			}
			place := s.proposals[0].command.GetWork()
			if c.depose {
				s.commit(place)
				s.proposals = nil
				s.depose()
			}
			for _, d := range []string{"domain-0", "domain-1"} {
				s.drain(d, false)
			}
			s.run(20*time.Second, 0)
			s.assertCompleted(t)
		})
	}
}

// Guards against work that isn't placed again after all domains were drained at once.
func TestAllDomainsDrainedAndRestored(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.run(2*time.Second, 0)
	domains := []string{"domain-0", "domain-1", "domain-2"}
	for _, d := range domains {
		s.drain(d, false)
	}
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 500})
	s.run(5*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_QUEUED)
	s.drain(domains[1], true)
	s.run(2*time.Second, 0)
	s.assertCompleted(t)
}

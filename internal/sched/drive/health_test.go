// This file defines the tests of agents that fail runs or are slow.

package drive_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

var withHealth = map[drive.Feature]bool{drive.AgentHealth: true}

// overload submits jobs of different sizes at a rate per second, which is more than 12 agents
// can take, and checks the number of agents in quarantine.
func (s *sim) overload(length time.Duration, jobsPerSecond float64) {
	due := 0.0
	for end := s.now + length; s.now < end; {
		for due += jobsPerSecond * simTick.Seconds(); due >= 1; due-- {
			s.submitJob(&wire.Step{Count: uint32(1 + s.random.IntN(3)), CpuMillis: uint64(1000 + s.random.IntN(1500)), MemoryMb: 100, EstimateMs: uint64(300 + s.random.IntN(700))})
		}
		s.run(simTick, 0)
		s.check(len(s.engine.QuarantinedAgents()) <= len(s.agents)/4, "in quarantine: %v", s.engine.QuarantinedAgents())
	}
}

// fail makes agents fail all runs that they start from now on, after 50 ms each. It returns the
// agents.
func (s *sim) fail(count int) []*modelAgent {
	var failing []*modelAgent
	for _, k := range sortedKeys(s.agents)[:count] {
		a := s.agents[k]
		a.failing, a.failsAfter, a.started = true, 50*time.Millisecond, nil
		failing = append(failing, a)
	}
	return failing
}

// countState returns the number of jobs in a state.
func (s *sim) countState(state wire.WorkState) int {
	n := 0
	for _, id := range s.jobs {
		if s.graph.Job(id).State == state {
			n++
		}
	}
	return n
}

func (s *sim) isolated(a *modelAgent) bool {
	return slices.Contains(s.engine.QuarantinedAgents(), a.record.Id)
}

// Guards against agents that attract ever more work because they fail it at once, until jobs
// fail with their attempts used up.
func TestFailingAgentsDoNotFailJobs(t *testing.T) {
	for i := range uint64(5) {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			s := newSim(i, 12, true, faults{enabled: withHealth})
			s.run(2*time.Second, 0)
			s.overload(2*time.Second, 50)
			failing := s.fail(2)
			s.overload(7*time.Second, 50)
			for _, a := range failing {
				t.Logf("%s started %d runs", a.record.Id, len(a.started))
				assert.Assert(t, len(a.started) < 30, "%s started %d runs", a.record.Id, len(a.started))
				a.failing, a.started = false, nil
			}
			s.overload(10*time.Second, 50)
			for _, a := range failing {
				assert.Assert(t, len(a.started) > 50 && !s.isolated(a), "%s started %d runs after the fault", a.record.Id, len(a.started))
			}
			assert.Equal(t, s.countState(wire.WorkState_WORK_STATE_FAILED), 0)
			assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		})
	}
}

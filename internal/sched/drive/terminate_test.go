// This file tests how agents that give notice of their shutdown are dropped.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// releaseLimit bounds the time from the end of a terminating agent's process until its tasks
// start elsewhere.
const releaseLimit = 200 * time.Millisecond

// simWithLeavingAgent returns a simulation of three agents and one of them that runs a task,
// leaves, and is about to give notice.
func simWithLeavingAgent() (*sim, *modelAgent) {
	s := newSim(1, 3, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 60000})
	s.run(time.Second, 0)
	leaving := s.hostOf(jobID(1) + ".0.0.0")
	leaving.record.Leaving = true
	s.report(leaving, false)
	s.run(2*time.Second, 0)
	return s, leaving
}

// hostOf returns an agent with a run of a task, or nil.
func (s *sim) hostOf(key string) *modelAgent {
	for _, a := range sortedKeys(s.agents) {
		if s.agents[a].runs[key] != nil {
			return s.agents[a]
		}
	}
	return nil
}

// assertRestarts asserts that the task of the first job starts elsewhere within a time, while it
// never runs on two agents.
func (s *sim) assertRestarts(t *testing.T, leaving *modelAgent, within time.Duration) {
	t.Helper()
	for end := s.now + within; ; s.run(simTick, 0) {
		if host := s.hostOf(jobID(1) + ".0.0.0"); host != nil && host != leaving {
			break
		}
		assert.Assert(t, s.now < end, "the task hasn't started elsewhere %v later; placed %d times", within, runCount(s, 0))
	}
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// Guards against a task that runs on a terminating agent and elsewhere at once, since its run is
// released by the notice and not by its end.
func TestTerminatingAgentKeepsItsRuns(t *testing.T) {
	t.Run("stopped while the notice is unanswered", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		s.run(time.Second, 0)
		s.report(leaving, true)
		s.assertRestarts(t, leaving, modelGrace)
		assert.Assert(t, s.agents[leaving.record.Address] == leaving, "the agent has ended")
	})
	t.Run("unreachable", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		leaving.unreachableUntil = s.now + 4*time.Second
		s.run(4*time.Second, 0)
		assert.Equal(t, len(leaving.runs), 1)
		s.terminate(leaving)
		s.assertRestarts(t, leaving, 500*time.Millisecond)
	})
	t.Run("unreachable for good", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		leaving.unreachableUntil = s.now + time.Minute
		s.assertRestarts(t, leaving, modelMaxLease)
	})
	t.Run("leader changes", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		leaving.unreachableUntil = s.now + 4*time.Second
		s.run(3*commitLatency, 0)
		s.depose()
		s.run(4500*time.Millisecond, 0)
		assert.Equal(t, len(leaving.runs), 1)
		s.terminate(leaving)
		s.assertRestarts(t, leaving, 500*time.Millisecond)
	})
	t.Run("connections refused before the notice", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		address := leaving.record.Address
		delete(s.agents, address)
		s.closeConnections(leaving)
		s.run(100*time.Millisecond, 0)
		s.agents[address] = leaving
		delete(s.refusingAddresses, address)
		s.report(leaving, true)
		leaving.unreachableUntil = s.now + 4*time.Second
		s.run(4*time.Second, 0)
		assert.Equal(t, runCount(s, 0), uint32(1))
		assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	})
	t.Run("notice repeated before its commit", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		s.report(leaving, true)
		s.assertRestarts(t, leaving, 2*modelGrace)
	})
}

// Guards against a task that waits for its lease to expire after its agent has ended as planned.
func TestTerminatedAgentReleasesItsRuns(t *testing.T) {
	t.Run("same leader", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		s.run(3*commitLatency, 0)
		s.terminate(leaving)
		s.assertRestarts(t, leaving, releaseLimit)
		assert.Equal(t, s.graph.FindTask(&wire.RunId{Job: jobID(1)}).Checkpoint, "saved")
	})
	t.Run("next leader", func(t *testing.T) {
		s, leaving := simWithLeavingAgent()
		s.report(leaving, true)
		s.run(3*commitLatency, 0)
		s.depose()
		s.terminate(leaving)
		for !s.isLeader {
			s.run(simTick, 0)
		}
		s.assertRestarts(t, leaving, releaseLimit)
	})
}

// Guards against an agent that is registered again by the heartbeats that it sends after its
// notice, and against one that stays registered after its end.
func TestTerminatingAgentIsDroppedOnce(t *testing.T) {
	s, leaving := simWithLeavingAgent()
	s.report(leaving, true)
	s.run(4*time.Second, 0)
	assert.Equal(t, len(s.graph.AgentsByName(leaving.record.Id)), 1)
	assert.Assert(t, s.graph.Agent(leaving.record.Id).Record.Terminating)
	s.terminate(leaving)
	s.run(500*time.Millisecond, 0)
	assert.Equal(t, len(s.graph.AgentsByName(leaving.record.Id)), 0)
}

// Guards against a start that is sent again to an agent that has announced meanwhile that it leaves.
func TestLeavingAgentGetsNoRepeatedStart(t *testing.T) {
	s := newSim(1, 1, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	leaving := s.agents["10.0.0.0:1"]
	s.faults.late = 1
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500})
	s.run(3*commitLatency, 0)
	s.faults.late = 0
	assert.Equal(t, runCount(s, 0), uint32(1))
	leaving.record.Leaving = true
	s.report(leaving, false)
	s.run(1500*time.Millisecond, 0) // the first start arrives later
	assert.Equal(t, len(leaving.started), 0, "started %v", leaving.started)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// This file defines the tests of polling agents with a limited number of connections.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against agents that are treated as unreachable and lose their leases because long polls
// use all connections.
func TestFewConnectionsKeepLeases(t *testing.T) {
	s := newSim(1, 60, true, faults{})
	s.maxConnections = 40
	s.depose()
	s.run(6*time.Second, 0)
	for range 20 {
		s.submitJob(&wire.Step{Count: 3, CpuMillis: 2000, MemoryMb: 10, EstimateMs: 500, Standing: true})
	}
	for range 30 {
		s.submitJob(&wire.Step{Count: 8, CpuMillis: 2000, MemoryMb: 10, EstimateMs: 700})
		s.run(500*time.Millisecond, 0)
	}
	s.run(5*time.Second, 0)
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		if j.Spec.Steps[0].Standing {
			assert.Equal(t, j.Occurrences[0][0].Tasks[0].Run, uint32(1), "a standing task was restarted")
			continue
		}
		assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED)
		assert.Assert(t, j.EndedAt.Sub(j.AcceptedAt) < 4*time.Second, "took %v", j.EndedAt.Sub(j.AcceptedAt))
	}
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
}

// Guards against a task that waits for the lease of an unreachable agent though its start was
// certainly not sent.
func TestUnsentStartFailsOver(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 300})
	s.maxConnections, s.connectionsInUse = 1, 1
	s.run(100*time.Millisecond, 0)
	task := s.graph.Job(s.jobs[0]).Occurrences[0][0].Tasks[0]
	for _, a := range s.agents {
		if a.record.Id == task.Agent {
			a.unreachableUntil = s.now + time.Minute
		}
	}
	s.run(2500*time.Millisecond, 0)
	s.maxConnections, s.connectionsInUse = 0, 0
	s.run(2500*time.Millisecond, 0)
	s.assertCompleted(t)
}

// Guards against a start that is abandoned and placed elsewhere because no connection is free for
// a moment.
func TestStartWaitsForConnection(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 300})
	s.maxConnections, s.connectionsInUse = 1, 1
	s.run(500*time.Millisecond, 0)
	s.maxConnections, s.connectionsInUse = 0, 0
	s.run(4*time.Second, 0)
	j := s.graph.Job(s.jobs[0])
	assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED)
	assert.Equal(t, j.Record().Tasks[0].Run, uint32(1))
}

// Guards against a new leader that polls all agents at once, can't read the answers in time and
// takes the agents for unreachable.
func TestFirstPollsAreSpread(t *testing.T) {
	const agents, limit = 1000, 400
	s := newSim(1, agents, true, faults{lost: 0.1})
	for answered, polling := 0, 0; answered < agents; answered, polling = s.engine.FirstPolls() {
		assert.Assert(t, polling <= limit, "%d first polls in flight", polling)
		assert.Assert(t, s.now < time.Minute, "%d of %d agents have answered", answered, agents)
		s.run(simTick, 0)
	}
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
}

// Guards against a leader that spends its time on polls of agents on which nothing runs.
func TestIdleAgentsArePolledRarely(t *testing.T) {
	const agents = 60
	s := newSim(1, agents, true, faults{})
	s.maxConnections = agents / 2 // too few for polls that wait
	s.depose()
	s.run(6*time.Second, 0)
	before := s.polls
	s.run(2*modelLease, 0)
	// Three times a lease, and once for an agent whose time has just come.
	assert.Assert(t, s.polls-before <= agents*(2*3+1), "%d polls", s.polls-before)
}

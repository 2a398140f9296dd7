// This file defines the tests of how agents are asked where connections are few.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against agents that are taken for silent, and lose their leases, because holds
// wait on all connections that there may be: three agents for each two of them.
func TestFewConnectionsCostNoLease(t *testing.T) {
	s := newSim(1, 60, true, faults{})
	s.connections = 40
	s.depose()
	s.run(6*time.Second, 0)
	for range 20 {
		s.submitSpec(&wire.Step{Count: 3, CpuMillis: 2000, MemoryMb: 10, EstimateMs: 500, Standing: true})
	}
	for range 30 {
		s.submitSpec(&wire.Step{Count: 8, CpuMillis: 2000, MemoryMb: 10, EstimateMs: 700})
		s.run(500*time.Millisecond, 0)
	}
	s.run(5*time.Second, 0)
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		if j.Spec.Steps[0].Standing {
			assert.Equal(t, j.Occurrences[0][0].Tasks[0].Run, uint32(1), "a standing task was started again")
			continue
		}
		assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED)
		assert.Assert(t, j.EndedAt.Sub(j.AcceptedAt) < 4*time.Second, "took %v", j.EndedAt.Sub(j.AcceptedAt))
	}
	assert.Equal(t, len(s.broken), 0, "%v", s.broken)
}

// Guards against a task that waits for a whole lease of a silent agent which its start
// surely never reached.
func TestStartThatNeverLeftGoesElsewhere(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	s.run(2*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 300})
	s.connections, s.inUse = 1, 1
	s.run(100*time.Millisecond, 0)
	task := s.graph.Job(s.jobs[0]).Occurrences[0][0].Tasks[0]
	for _, r := range s.agents {
		if r.record.Id == task.Agent {
			r.cutUntil = s.now + time.Minute
		}
	}
	s.run(2500*time.Millisecond, 0)
	s.connections, s.inUse = 0, 0
	s.run(2500*time.Millisecond, 0)
	s.assertCompleted(t)
}

// Guards against a start that is given up, committed anew and sent elsewhere for want of
// a connection, which there is a moment later.
func TestStartWaitsForAConnection(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	s.run(2*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 300})
	s.connections, s.inUse = 1, 1
	s.run(500*time.Millisecond, 0)
	s.connections, s.inUse = 0, 0
	s.run(4*time.Second, 0)
	j := s.graph.Job(s.jobs[0])
	assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED)
	assert.Equal(t, j.Record().Tasks[0].Run, uint32(1))
}

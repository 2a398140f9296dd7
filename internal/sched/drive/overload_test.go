// This file defines the tests of the order of work under overload.

package drive_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// jobsInTime submits more work than three agents have capacity for, with inaccurate declared
// durations, and returns the number of jobs that end within twice their actual duration.
func jobsInTime(seed uint64, without map[drive.Feature]bool) int {
	s := newSim(seed, 3, true, faults{disabled: without})
	s.actualDurations = map[string]time.Duration{}
	s.run(2*time.Second, 0)
	for range 240 {
		actual := 2000 * math.Exp(s.random.NormFloat64()*0.5)
		declared := actual * math.Exp(s.random.NormFloat64()*0.9)
		s.actualDurations[jobID(len(s.jobs)+1)] = time.Duration(actual) * time.Millisecond
		s.submitJob(&wire.Step{Count: 4, CpuMillis: 1500, MemoryMb: 10, EstimateMs: uint64(max(declared, 1))})
		s.run(400*time.Millisecond, 0)
	}
	s.run(30*time.Second, 0)
	inTime := 0
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		if j.Ended() && j.EndedAt.Sub(j.AcceptedAt) <= 2*s.actualDurations[id] {
			inTime++
		}
	}
	return inTime
}

// Guards against ordering work by declared durations alone.
func TestEstimatedDurationsServeMoreUnderOverload(t *testing.T) {
	estimated, declared := 0, 0
	for i := range uint64(6) {
		estimated += jobsInTime(i, nil)
		declared += jobsInTime(i, disabled(drive.EstimateDurations))
	}
	t.Logf("in time of 1440: %d by estimated durations, %d by declared ones", estimated, declared)
	assert.Assert(t, estimated > declared, "%d by estimated durations, %d by declared ones", estimated, declared)
}

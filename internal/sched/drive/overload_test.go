// This file defines the tests of how work is served when more comes than can be done.

package drive_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// serveFlood hands in more work than three agents can do, with declared times that are
// off, and returns how many of the jobs end within twice their real time.
func serveFlood(seed uint64, without map[drive.Feature]bool) int {
	s := newSim(seed, 3, true, faults{off: without})
	s.realTimes = map[string]time.Duration{}
	s.run(2*time.Second, 0)
	for range 240 {
		taken := 2000 * math.Exp(s.random.NormFloat64()*0.5)
		declared := taken * math.Exp(s.random.NormFloat64()*0.9)
		s.realTimes[jobID(len(s.jobs)+1)] = time.Duration(taken) * time.Millisecond
		s.submitSpec(&wire.Step{Count: 4, CpuMillis: 1500, MemoryMb: 10, EstimateMs: uint64(max(declared, 1))})
		s.run(400*time.Millisecond, 0)
	}
	s.run(30*time.Second, 0)
	inTime := 0
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		if j.Ended() && j.EndedAt.Sub(j.AcceptedAt) <= 2*s.realTimes[id] {
			inTime++
		}
	}
	return inTime
}

// Guards against an order of work by declared times alone, which by luck alone serves
// those first that can still be done in time.
func TestLearnedTimesServeMoreUnderOverload(t *testing.T) {
	learned, declared := 0, 0
	for seed := range uint64(6) {
		learned += serveFlood(seed, nil)
		declared += serveFlood(seed, off(drive.EstimateDurations))
	}
	t.Logf("in time of 1440: %d by learned times, %d by declared ones", learned, declared)
	assert.Assert(t, learned > declared, "%d by learned times, %d by declared ones", learned, declared)
}

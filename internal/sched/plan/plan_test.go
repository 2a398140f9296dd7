// This file defines the tests of the planner.

package plan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/plan"
	"sycamoredeck.example/internal/schema/wire"
)

const seeds = 150

// Guards against jobs that are lost or run in two places as messages are late or lost, workers
// freeze past their leases or report to old leaders, and leaders change with proposals pending.
func TestNoJobRunsInTwoPlaces(t *testing.T) {
	evictions := 0
	for n := range uint64(seeds) {
		s := newSim(n, 4)
		jobs := 0
		for range 6 {
			for i := range 10 {
				account := []string{"a", "b"}[i%2]
				s.submit(fmt.Sprint("j", jobs), account, s.chance(0.2))
				jobs++
			}
			s.run(time.Duration(1+s.random.IntN(4)) * time.Second)
			// The new leader is elected an election timeout after the old leader's
			// last confirmed round.
			s.now = s.now.Add(simOverlap)
			s.elect()
		}
		s.run(3 * time.Minute)
		assert.Assert(t, len(s.violations) == 0, "seed %d: %v", n, s.violations)
		for i := range jobs {
			j := s.machine.Job(fmt.Sprint("j", i))
			assert.Equal(t, j.State, wire.JobState_JOB_STATE_FINISHED, "seed %d: job %d", n, i)
		}
		evictions += s.evictions
	}
	assert.Assert(t, evictions > 0, "no task was evicted in any run")
}

// Guards against a faulty worker that uses up the attempts of all jobs.
func TestFaultyWorkerIsQuarantined(t *testing.T) {
	for n := range uint64(20) {
		s := newSim(n, 4)
		s.workers[0].faulty = true
		for i := range 60 {
			s.submit(fmt.Sprint("j", i), "a", false)
			s.run(time.Second)
		}
		s.run(2 * time.Minute)
		assert.Assert(t, s.machine.Quarantines()["w0"] != "", "seed %d", n)
		for _, w := range s.workers[1:] {
			assert.Equal(t, s.machine.Quarantines()[w.id], "", "seed %d: %s", n, w.id)
		}
		for i := range 60 {
			assert.Equal(t, s.machine.Job(fmt.Sprint("j", i)).State, wire.JobState_JOB_STATE_FINISHED, "seed %d: job %d", n, i)
		}
	}
}

// While both accounts request more than the capacity, their usage follows their shares,
// 1 to 3.
func TestSharesAreRespected(t *testing.T) {
	s := newSim(1, 4)
	for i := range 3000 {
		s.submit(fmt.Sprint("a", i), "a", false)
		s.submit(fmt.Sprint("b", i), "b", false)
	}
	var a, b float64
	for range 300 {
		s.run(200 * time.Millisecond)
		a += float64(s.machine.Used("a").MilliProcessors)
		b += float64(s.machine.Used("b").MilliProcessors)
	}
	assert.Assert(t, b/a > 2.2 && b/a < 3.8, "ratio %.2f", b/a)
}

func TestInvalidReports(t *testing.T) {
	valid := func() *wire.AttendRequest {
		return &wire.AttendRequest{Sequence: 1, Worker: &wire.Worker{
			WorkerId: "w", Incarnation: "a", Capacity: &wire.Resources{MilliProcessors: 1000, MemoryBytes: 1},
		}}
	}
	assert.NilError(t, plan.CheckReport(valid()))
	cases := []struct {
		field  string
		change func(*wire.AttendRequest)
	}{
		{"Worker.WorkerId", func(r *wire.AttendRequest) { r.Worker = nil }},
		{"Worker.Incarnation", func(r *wire.AttendRequest) { r.Worker.Incarnation = "" }},
		{"Sequence", func(r *wire.AttendRequest) { r.Sequence = 0 }},
		{"MilliProcessors", func(r *wire.AttendRequest) { r.Worker.Capacity.MilliProcessors = 1 << 60 }},
		{"MemoryBytes", func(r *wire.AttendRequest) { r.Worker.Capacity.MemoryBytes = 0 }},
		{"Accelerators", func(r *wire.AttendRequest) { r.Worker.Capacity.Accelerators = 5000 }},
		{"Tasks[0]", func(r *wire.AttendRequest) { r.Tasks = []*wire.TaskReport{{}} }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			r := valid()
			c.change(r)
			err := plan.CheckReport(r)
			assert.ErrorIs(t, err, plan.ErrInvalidReport)
			assert.ErrorContains(t, err, c.field)
		})
	}
}

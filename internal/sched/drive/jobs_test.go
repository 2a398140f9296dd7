// This file defines the jobs of the simulation.

package drive_test

import (
	"fmt"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

// submitRandomJob submits a job of one to three random steps, or a standing one.
func (s *sim) submitRandomJob() {
	spec := &wire.WorkSpec{}
	for i := range 1 + s.random.IntN(3) {
		step := &wire.Step{
			Count: uint32(1 + s.random.IntN(4)), CpuMillis: uint64(1000 + s.random.IntN(2000)), MemoryMb: 100,
			EstimateMs: uint64(200 + s.random.IntN(3000)), Checkpointable: s.random.IntN(2) == 0,
		}
		if i > 0 {
			step.After = []uint32{uint32(s.random.IntN(i))}
		}
		if s.random.IntN(4) == 0 {
			step.SpreadLimit = 1
		}
		// Drawn only if needed, like the other choices of single cases.
		if s.faults.gang > 0 && s.chance(s.faults.gang) {
			step.Gang, step.Count = true, min(step.Count+1, 3)
		}
		spec.Steps = append(spec.Steps, step)
	}
	if s.random.IntN(5) == 0 {
		// Longer than a lease: still running when its agent is abandoned.
		spec.Steps[0].EstimateMs = 14000
	}
	if s.random.IntN(8) == 0 {
		spec.Steps = []*wire.Step{{Count: 2, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 500, Standing: true}}
	}
	// Drawn only if needed, so that it doesn't change the random choices of other cases.
	if s.faults.crashingTask > 0 && s.chance(s.faults.crashingTask) {
		s.crashingJobs[jobID(len(s.jobs)+1)] = []time.Duration{0, simTick, 300 * time.Millisecond, 3 * time.Second}[s.random.IntN(4)]
	}
	s.submitJob(spec.Steps...)
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

func (s *sim) submitJob(steps ...*wire.Step) {
	id := jobID(len(s.jobs) + 1)
	for i, st := range steps {
		s.steps[fmt.Sprintf("%s.%d", id, i)] = st
	}
	spec := &wire.WorkSpec{Payload: "p", Steps: steps}
	result := s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: id, Queue: "q", Spec: spec}}})
	if result.Err != nil {
		return // its route is removed
	}
	s.jobs = append(s.jobs, id)
}

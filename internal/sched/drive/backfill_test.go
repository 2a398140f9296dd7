// This file defines the tests of agents that are held for stages which find no room, and of
// preemption for memory.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// newCrowdedSim returns a simulation of agents with 25 cores beside standing tasks.
func newCrowdedSim(agents int, features ...drive.Feature) *sim {
	s := newSim(1, agents, true, faults{enabled: disabled(features...)})
	for _, a := range s.agents {
		a.record.CpuMillis, a.record.MemoryMb = 64000, 250000
	}
	s.run(3*time.Second, 0)
	s.submitJob(&wire.Step{Count: uint32(3 * agents), CpuMillis: 13000, MemoryMb: 13000, EstimateMs: 500, Standing: true, SpreadLimit: 3})
	s.run(3*time.Second, 0)
	return s
}

// submitSmall submits tasks of 8 cores for some time, more than fit beside the standing tasks.
func submitSmall(s *sim, length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.submitJob(&wire.Step{Count: uint32(len(s.agents)), CpuMillis: 8000, MemoryMb: 100, EstimateMs: uint64(500 + s.random.IntN(400))})
		s.run(200*time.Millisecond, 0)
	}
}

func assertEndsWithin(t *testing.T, s *sim, id string, limit time.Duration) {
	t.Helper()
	j := s.graph.Job(id)
	assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED, "job %s", id)
	took := j.EndedAt.Sub(j.AcceptedAt)
	assert.Assert(t, took <= limit, "job %s took %v, limit %v", id, took, limit)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// Guards against a wide task that never starts because each freed piece is filled by a small one
// before it is large enough.
func TestWideTaskIsReached(t *testing.T) {
	s := newCrowdedSim(4, drive.FragmentationAware)
	submitSmall(s, 2*time.Second)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 24000, MemoryMb: 100, EstimateMs: 800})
	wide := s.jobs[len(s.jobs)-1]
	submitSmall(s, 4*time.Second)
	assertEndsWithin(t, s, wide, 3*800*time.Millisecond)
}

// Guards against a hold that outlives its agent and keeps the stage waiting.
func TestHoldEndsWithAgent(t *testing.T) {
	s := newCrowdedSim(4, drive.FragmentationAware)
	submitSmall(s, 2*time.Second)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 24000, MemoryMb: 100, EstimateMs: 3000})
	wide := s.jobs[len(s.jobs)-1]
	held := ""
	for end := s.now + 6*time.Second; held == "" && s.now < end; {
		submitSmall(s, 200*time.Millisecond)
		held = s.engine.HeldFor(wide)
	}
	assert.Assert(t, held != "", "no agent is held")
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: held}}})
	for k, a := range s.agents {
		if a.record.Id == held {
			delete(s.agents, k)
		}
	}
	submitSmall(s, 8*time.Second)
	assertEndsWithin(t, s, wide, 12*time.Second)
}

// Guards against short tasks that are kept off an agent although they end before its room is
// needed, and long ones that delay it.
func TestBackfillEndsBeforeRoomIsNeeded(t *testing.T) {
	s := newCrowdedSim(1, drive.FragmentationAware)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 16000, MemoryMb: 100, EstimateMs: 3000})
	s.run(500*time.Millisecond, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 24000, MemoryMb: 100, EstimateMs: 1600})
	wide := s.jobs[len(s.jobs)-1]
	s.run(1500*time.Millisecond, 0)
	assert.Assert(t, s.engine.HeldFor(wide) != "", "no agent is held")
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 8000, MemoryMb: 100, EstimateMs: 300})
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 8000, MemoryMb: 100, EstimateMs: 2500})
	short, long := s.jobs[len(s.jobs)-2], s.jobs[len(s.jobs)-1]
	s.run(6*time.Second, 0)
	assertEndsWithin(t, s, short, 600*time.Millisecond)
	assertEndsWithin(t, s, wide, 4500*time.Millisecond)
	assert.Assert(t, s.graph.Job(long).EndedAt.Sub(s.graph.Job(wide).EndedAt) > 2*time.Second, "the long task started before the wide one ended")
}

// submitBatch submits an opportunistic task with 90 GB to a queue of lower priority.
func submitBatch(s *sim) string {
	id := jobID(1000 + len(s.steps))
	step := &wire.Step{Count: 1, CpuMillis: 5000, MemoryMb: 90000, EstimateMs: 20000, Opportunistic: true, Checkpointable: true}
	s.steps[id+".0"] = step
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: id, Queue: "batch", Spec: &wire.WorkSpec{Payload: "p", Steps: []*wire.Step{step}}}}})
	return id
}

// Guards against urgent tasks that wait for memory which opportunistic runs hold, against stopping
// more of these than needed, and against work that doesn't resume.
func TestOpportunisticRunIsPreemptedForMemory(t *testing.T) {
	s := newCrowdedSim(1, drive.FragmentationAware)
	queue := func(name string, priority uint32) *wire.Queue {
		return &wire.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: "p", MaxAttempts: 3, Stretch: 2, Priority: priority}
	}
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
		Version: 2, Queues: []*wire.Queue{queue("q", 0), queue("batch", 2)}, Pools: []*wire.WorkerPool{{Name: "p", Guarded: true}},
	}}})
	older := submitBatch(s)
	s.run(2*time.Second, 0)
	newer := submitBatch(s)
	s.run(2*time.Second, 0)
	runOf := func(id string) uint32 { return s.graph.Job(id).Occurrences[0][0].Tasks[0].Run }
	assert.Equal(t, runOf(older)+runOf(newer), uint32(2), "both run")
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 10000, MemoryMb: 60000, EstimateMs: 1000})
	urgent := s.jobs[len(s.jobs)-1]
	s.run(4*time.Second, 0)
	assertEndsWithin(t, s, urgent, 1000*time.Millisecond+modelGrace+300*time.Millisecond)
	assert.Equal(t, runOf(older), uint32(1), "the run that had more to lose was stopped")
	assert.Equal(t, runOf(newer), uint32(2), "the stopped task didn't resume")
}

// Guards against tasks that run twice, overcommitted agents and jobs that never end while agents are
// held, with crashes, partitions and leader changes.
func TestHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(seed, 6, true, faults{enabled: disabled(drive.FragmentationAware), late: 0.03, lost: 0.03, crash: 0.003, partition: 0.003, leaderChange: 0.002, failedRun: 0.02})
		s.run(30*time.Second, 2)
		assertJobsEnd(t, seed, s)
	}
}

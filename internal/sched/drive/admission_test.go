// This file defines the tests of the admission of jobs.

package drive_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// newAdmitting returns a simulation whose leader has led for some time, with JobAdmission or without.
func newAdmitting(seed uint64, on bool, after time.Duration) *sim {
	s := newSim(seed, 4, true, faults{})
	if on {
		s.engine.Enable(drive.JobAdmission)
	}
	s.run(after, 0)
	return s
}

// admitted asks the leader whether it accepts the job with a number.
func (s *sim) admitted(number int, leased bool, step *wire.Step) bool {
	_, refusal := s.engine.Admit(drive.Submission{
		Queue: "q", Job: jobID(number), Spec: &wire.WorkSpec{Steps: []*wire.Step{step}}, Term: s.term, Leased: leased,
	})
	return refusal == nil
}

// replayResult counts the jobs of replays; those in time are accepted ones that ended by their
// objective, with their work.
type replayResult struct {
	submitted, accepted, inTime, large, largeAccepted int
	workInTime                                        float64
}

// replayBacklog submits four times what four agents can do, of jobs of one or four tasks.
func (r *replayResult) replayBacklog(seed uint64, on bool) {
	s := newAdmitting(seed, on, 6*time.Second)
	due := 0.0
	for end := s.now + 25*time.Second; s.now < end; s.run(simTick, 0) {
		for due += 4 * 8 * simTick.Seconds(); due >= 1; {
			step := &wire.Step{Count: 1, CpuMillis: 4000, MemoryMb: 100, EstimateMs: uint64(500 + s.random.IntN(1000))}
			if s.random.IntN(10) == 0 {
				step.Count = 4
				r.large++
			}
			due -= float64(step.Count)
			r.submitted++
			if !s.admitted(len(s.jobs)+1, true, step) {
				continue
			}
			s.submitJob(step)
			r.accepted++
			if step.Count == 4 {
				r.largeAccepted++
			}
		}
	}
	s.run(5*time.Second, 0)
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		step := j.Spec.Steps[0]
		if j.Ended() && j.EndedAt.Sub(j.AcceptedAt) <= 2*time.Duration(step.EstimateMs)*time.Millisecond {
			r.inTime++
			r.workInTime += float64(step.Count) * float64(step.EstimateMs)
		}
	}
}

// Guards against jobs that age in a backlog that can't drain, against refusals that cost work that
// would have ended in time, and against large jobs that are refused for the sake of small ones.
func TestRefusalsKeepAcceptedJobsInTime(t *testing.T) {
	var without, with replayResult
	for seed := range uint64(3) {
		without.replayBacklog(seed, false)
		with.replayBacklog(seed, true)
	}
	t.Logf("without %+v, with %+v", without, with)
	share := func(part, all int) float64 { return float64(part) / float64(all) }
	assert.Equal(t, without.accepted, without.submitted)
	assert.Assert(t, share(with.inTime, with.accepted) > 1.2*share(without.inTime, without.accepted))
	assert.Assert(t, with.workInTime > 0.97*without.workInTime)
	assert.Assert(t, math.Abs(share(with.largeAccepted, with.large)-share(with.accepted, with.submitted)) < 0.1)
}

// Guards against refusing a job that was accepted before, while its submission may be in the log, and
// against refusing any without the leader lease or in another term.
func TestAcceptedIDsAreNotRefused(t *testing.T) {
	s := newAdmitting(1, true, 16*time.Second)
	tooLarge := &wire.Step{Count: 1, CpuMillis: 9000, MemoryMb: 1, EstimateMs: 1}
	assert.Assert(t, !s.admitted(1, true, tooLarge))
	assert.Assert(t, s.admitted(1, false, tooLarge), "refused without the lease")
	assert.Assert(t, s.admitted(1, true, tooLarge), "refused after it was accepted")
	s.submitJob(tooLarge)
	s.run(70*time.Second, 0)
	assert.Assert(t, s.admitted(1, true, tooLarge), "refused though it is known")
	assert.Assert(t, !s.admitted(2, true, tooLarge))
	s.term++
	assert.Assert(t, s.admitted(2, true, tooLarge), "refused by the leader of another term")
}

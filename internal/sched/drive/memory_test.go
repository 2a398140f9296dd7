// This file tests that the leader bounds the memory of jobs.

package drive_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/admit"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const testJobMemory = 4 << 20

// submission asks the leader about a job of a number of tasks.
func (s *sim) submission(number int, tasks uint32) *admit.Refusal {
	_, refusal := s.submissionThatEnds(number, tasks)
	return refusal
}

// submissionThatEnds does the same, and returns how to end the submission.
func (s *sim) submissionThatEnds(number int, tasks uint32) (ended func(mayBeInLog bool), refusal *admit.Refusal) {
	return s.engine.Admit(drive.Submission{
		Queue: "q", Job: jobID(number), Spec: &wire.WorkSpec{Steps: []*wire.Step{{Count: tasks, CpuMillis: 1}}}, Term: s.term, Leased: true,
	})
}

// Guards against replicas that run out of memory by the tasks of accepted jobs, and against
// large jobs that keep out small ones.
func TestJobsWithoutMemoryAreRefused(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.engine.LimitJobMemory(testJobMemory)
	s.run(2*time.Second, 0)
	accepted := 0
	for n := range 20 {
		r := s.submission(1000+n, 3000) // applied later, or lost
		if r == nil {
			accepted++
			continue
		}
		assert.Equal(t, r.Reason, admit.Memory)
		assert.Assert(t, r.RetryAfter > 0)
	}
	assert.Equal(t, accepted, 4) // of 0.75 MB each, in three quarters of 4 MB
	for n := range 100 {
		assert.Assert(t, s.submission(2000+n, 10) == nil, "small job %d", n)
	}
}

// Guards against refusing a job that was accepted before, whose caller may not have
// received the answer.
func TestAcceptedJobIsNotRefusedForMemory(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.engine.LimitJobMemory(testJobMemory)
	s.run(2*time.Second, 0)
	assert.Assert(t, s.submission(1000, 10000) == nil)
	assert.Assert(t, s.submission(1001, 10000) != nil)
	assert.Assert(t, s.submission(1000, 10000) == nil)
	s.submitJob(&wire.Step{Count: 10000, CpuMillis: 1 << 30})
	s.run(time.Second, 0)
	_, refusal := s.engine.Admit(drive.Submission{Queue: "q", Job: s.jobs[0], Spec: &wire.WorkSpec{}, Term: s.term, Leased: true})
	assert.Assert(t, refusal == nil)
}

// Guards against submissions that end without a job and keep its memory, and against giving it
// back while the job may be in the log.
func TestEndedSubmissionsGiveMemoryBack(t *testing.T) {
	const tasks = 5000 // nearly half of what large jobs may take together
	cases := []struct {
		name string
		ends []bool // whether the job may be in the log, of each submission with its id
		held bool   // the memory
	}{
		{"not proposed, or failed", []bool{false}, false},
		{"may be in the log", []bool{true}, true},
		{"sent again and failed", []bool{false, false}, false},
		{"sent again, one may be in the log", []bool{true, false}, true},
		{"sent again, the later one may be in the log", []bool{false, true}, true},
		{"hasn't ended", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{})
			s.engine.LimitJobMemory(testJobMemory)
			s.run(2*time.Second, 0)
			var ends []func(bool)
			for range max(len(c.ends), 1) {
				ended, refusal := s.submissionThatEnds(1000, tasks)
				assert.Assert(t, refusal == nil)
				ends = append(ends, ended)
			}
			for i, mayBeInLog := range c.ends {
				ends[i](mayBeInLog)
			}
			assert.Assert(t, s.submission(1001, tasks) == nil)
			assert.Equal(t, s.submission(1002, tasks) != nil, c.held)
			s.run(2*time.Second, 0) // until it is measured again
			assert.Equal(t, s.submission(1003, tasks) != nil, true)
		})
	}
	t.Run("of an earlier term", func(t *testing.T) {
		s := newSim(1, 4, true, faults{})
		s.engine.LimitJobMemory(testJobMemory)
		s.run(2*time.Second, 0)
		ended, _ := s.submissionThatEnds(1000, tasks)
		s.term++
		_, refusal := s.submissionThatEnds(1000, tasks)
		assert.Assert(t, refusal == nil)
		ended(false)
		s.term--
		assert.Assert(t, s.submission(1001, tasks) == nil)
	})
}

// Guards against memory that stays taken after jobs have ended.
func TestEndedJobsGiveMemoryBack(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.engine.LimitJobMemory(testJobMemory)
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 11000, CpuMillis: 1 << 30})
	s.run(2*time.Second, 0)
	assert.Assert(t, s.submission(1000, 5000) != nil)
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: s.jobs[0], Queue: "q"}}})
	s.run(10*time.Second, 0)
	assert.Assert(t, s.submission(1001, 5000) == nil)
}

// Guards against telling the caller of a job that can never be accepted to return.
func TestJobLargerThanMemoryIsInvalid(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.engine.LimitJobMemory(testJobMemory)
	err := s.engine.CheckSize(&wire.WorkSpec{Steps: []*wire.Step{{Count: 20000}}})
	assert.Assert(t, errors.Is(err, graph.ErrInvalid))
	assert.NilError(t, s.engine.CheckSize(&wire.WorkSpec{Steps: []*wire.Step{{Count: 10000}}}))
}

// Guards against replicas that run out of memory by heartbeats of agents that don't exist, and
// against refusing agents that are registered.
func TestAgentsWithoutMemoryAreRefused(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.run(2*time.Second, 0)
	report := func(id string) (err error) {
		r := &wire.ReportAgentRequest{Agent: &wire.Agent{Id: id, Address: id, Pool: "p", FailureDomain: "d", CpuMillis: 1, MemoryMb: 1}}
		s.engine.HandleReport(s.now, r, func(e error) { err = e })
		return err
	}
	s.engine.LimitAgentMemory(s.graph.AgentBytes() + 3*graph.RecordBytes(&wire.Agent{Id: "stranger-00"}) - 1)
	var refused int
	for i := range 10 {
		if errors.Is(report(fmt.Sprintf("stranger-%d", i)), drive.ErrTooManyAgents) {
			refused++
		}
	}
	assert.Equal(t, refused, 8)
	for _, a := range s.graph.Agents() {
		record := proto.Clone(a.Record).(*wire.Agent)
		record.Leaving = true
		var err error
		s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: record}, func(e error) { err = e })
		assert.NilError(t, err)
	}
	s.engine.LimitAgentMemory(0)
	assert.NilError(t, report("stranger-11"))
}

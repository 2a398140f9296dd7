// This file defines the tests of agents that fail runs or are slow.

package drive_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/sched/health"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// checkHealth checks that a start doesn't put a task's last attempt at risk, and that an agent on
// trial gets one run at a time.
func (s *sim) checkHealth(o drive.Order) {
	if o.Kind != drive.Start || !s.checksHealth {
		return
	}
	a, state := s.agents[o.Agent.Address], s.engine.Health(o.Agent.Id)
	s.check(s.failures[taskKey(o.Run)] < 2 || state == health.Sound, "the last attempt of %s starts on an agent in state %d", taskKey(o.Run), state)
	left, limited := s.graph.AttemptsLeft(s.graph.FindTask(o.Run))
	s.check(!limited || left > 1 || state == health.Sound, "the last attempt of %s starts on an agent in state %d", taskKey(o.Run), state)
	s.check(state != health.Quarantined, "%s starts in quarantine", taskKey(o.Run))
	switch {
	case state == health.Trial && s.losesOrders:
		s.checkProbe(o)
	case state == health.Trial:
		s.check(len(a.runs) == 0 && s.now > a.probedAt, "%s starts besides another run on trial", taskKey(o.Run))
		a.probedAt = s.now
	}
}

// checkProbe is the check of runs on trial if orders are lost or leaders change. Starts are then
// repeated, and earlier runs may still exist. So only runs that the present leader placed during
// the trial count, until their end is committed or ProbeTime has passed.
func (s *sim) checkProbe(o drive.Order) {
	probe, since := s.graph.FindTask(o.Run), max(s.engine.TrialSince(o.Agent.Id), s.leaderSince)
	if placedAt(probe) < since {
		return
	}
	for t := range s.graph.Agent(o.Agent.Id).Tasks {
		s.check(t == probe || placedAt(t) < since || s.now-placedAt(t) >= drive.ProbeTime, "%s starts besides %s on trial", taskKey(o.Run), taskKey(t.ID()))
	}
}

// placedAt returns when the latest run of a task was placed, in the time of the simulation.
func placedAt(t *graph.Task) time.Duration { return time.Duration(t.PlacedAt) * time.Millisecond }

var withHealth = map[drive.Feature]bool{drive.AgentHealth: true}

// overload submits jobs of different sizes at a rate per second, which is more than 12 agents
// can take, and checks the number of agents in quarantine.
func (s *sim) overload(length time.Duration, jobsPerSecond float64) {
	s.checksHealth = true
	due := 0.0
	for end := s.now + length; s.now < end; {
		for due += jobsPerSecond * simTick.Seconds(); due >= 1; due-- {
			s.submitJob(&wire.Step{Count: uint32(1 + s.random.IntN(3)), CpuMillis: uint64(1000 + s.random.IntN(1500)), MemoryMb: 100, EstimateMs: uint64(300 + s.random.IntN(700))})
		}
		s.run(simTick, 0)
		s.check(len(s.engine.QuarantinedAgents()) <= len(s.agents)/4, "in quarantine: %v", s.engine.QuarantinedAgents())
	}
}

// fail makes agents fail all runs that they start from now on, after 50 ms each. It returns the
// agents.
func (s *sim) fail(count int) []*modelAgent {
	var failing []*modelAgent
	for _, k := range sortedKeys(s.agents)[:count] {
		a := s.agents[k]
		a.failing, a.failsAfter, a.started = true, 50*time.Millisecond, nil
		failing = append(failing, a)
	}
	return failing
}

// countState returns the number of jobs in a state.
func (s *sim) countState(state wire.WorkState) int {
	n := 0
	for _, id := range s.jobs {
		if s.graph.Job(id).State == state {
			n++
		}
	}
	return n
}

func (s *sim) isolated(a *modelAgent) bool {
	return slices.Contains(s.engine.QuarantinedAgents(), a.record.Id)
}

// Guards against agents that attract ever more work because they fail it at once, until jobs
// fail with their attempts used up.
func TestFailingAgentsDoNotFailJobs(t *testing.T) {
	for i := range uint64(5) {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			s := newSim(i, 12, true, faults{enabled: withHealth, failedRun: 0.02})
			s.run(2*time.Second, 0)
			s.overload(2*time.Second, 50)
			failing := s.fail(2)
			s.overload(7*time.Second, 50)
			for _, a := range failing {
				t.Logf("%s started %d runs", a.record.Id, len(a.started))
				assert.Assert(t, len(a.started) < 30, "%s started %d runs", a.record.Id, len(a.started))
				a.failing, a.started = false, nil
			}
			s.overload(10*time.Second, 50)
			for _, a := range failing {
				assert.Assert(t, len(a.started) > 50 && !s.isolated(a), "%s started %d runs after the fault", a.record.Id, len(a.started))
			}
			assert.Equal(t, s.countState(wire.WorkState_WORK_STATE_FAILED), 0)
			assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		})
	}
}

// Guards against last attempts on agents that have just failed a run.
func TestLastAttemptsAvoidSuspectAgents(t *testing.T) {
	s := newSim(1, 12, true, faults{enabled: withHealth, failedRun: 0.2})
	s.run(2*time.Second, 0)
	s.overload(6*time.Second, 50)
	s.run(15*time.Second, 0)
	assert.Assert(t, !s.hasUnfinishedJobs() && len(s.violations) == 0, "%v", s.violations)
}

// Guards against jobs that can never succeed and take all agents out of use, and against ones that
// never end because no agent may take their last attempt.
func TestFailingJobsDoNotQuarantinePool(t *testing.T) {
	cases := []struct {
		name  string
		every int // of the jobs one in so many fails
	}{{"all", 1}, {"half", 2}, {"a tenth", 10}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 12, true, faults{enabled: withHealth})
			s.failingJobs = map[string]bool{}
			for i := range 400 {
				if i%c.every == 0 {
					s.failingJobs[jobID(i+1)] = true
				}
			}
			s.run(2*time.Second, 0)
			s.overload(8*time.Second, 50)
			s.run(12*time.Second, 0)
			assert.Equal(t, s.countState(wire.WorkState_WORK_STATE_FAILED), len(s.failingJobs))
			assert.Equal(t, s.countState(wire.WorkState_WORK_STATE_COMPLETED), len(s.jobs)-len(s.failingJobs))
			assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		})
	}
}

// Guards against a next leader that learns of the agents in quarantine only by their failures.
func TestQuarantineIsHandedOver(t *testing.T) {
	s := newSim(1, 12, true, faults{enabled: withHealth})
	s.run(2*time.Second, 0)
	failing := s.fail(3)
	s.overload(6*time.Second, 50)
	before := s.engine.QuarantinedAgents()
	s.isLeader = false
	s.engine.Tick(s.now)
	s.elect()
	s.run(simTick, 0)
	assert.DeepEqual(t, s.engine.QuarantinedAgents(), before)
	assert.Equal(t, len(before), len(failing))
}

// Guards against urgent work that is stuck on a slow agent while others have capacity, and against
// runs that are moved again and again.
func TestRunsAreMovedOffSlowAgent(t *testing.T) {
	s := newSim(1, 8, true, faults{enabled: withHealth})
	s.run(2*time.Second, 0)
	for i := range 100 {
		if i == 30 {
			s.agents["10.0.0.3:1"].slowdown = 8
		}
		s.submitJob(&wire.Step{Count: 2, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 1000})
		s.run(100*time.Millisecond, 0)
	}
	s.run(10*time.Second, 0)
	var longest time.Duration
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		assert.Equal(t, j.State, wire.WorkState_WORK_STATE_COMPLETED)
		longest = max(longest, j.EndedAt.Sub(j.AcceptedAt))
	}
	assert.Assert(t, longest < 5*time.Second, "a job took %v", longest)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// Guards against a task that is moved from one slow agent to the next and never ends, and against
// moves of gangs, standing and opportunistic tasks.
func TestTasksAreMovedOnce(t *testing.T) {
	s := newSim(1, 8, true, faults{enabled: withHealth})
	s.noCheckpoints = true
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 4000, Standing: true})
	for i := range 24 {
		s.submitJob(&wire.Step{Count: 2, CpuMillis: 800, MemoryMb: 100, EstimateMs: 8000, Gang: i%4 == 0, Opportunistic: i%4 == 1})
	}
	for i := range 4 { // the agents that are slow change every 4 s
		for k, address := range sortedKeys(s.agents) {
			s.agents[address].slowdown = 1
			if k < 6 && (k < 3) == (i%2 == 0) {
				s.agents[address].slowdown = 8
			}
		}
		s.run(4*time.Second, 0)
	}
	s.run(60*time.Second, 0)
	runs, moved := map[string]int{}, 0
	for _, a := range s.agents {
		for _, key := range a.started {
			runs[key]++
		}
	}
	for key, n := range runs {
		job, _, _ := strings.Cut(key, ".")
		step := s.steps[job+".0"]
		ordinary := !step.Gang && !step.Standing && !step.Opportunistic
		assert.Assert(t, n == 1 || n == 2 && ordinary, "%s (%v) was started %d times", key, step, n)
		moved += n - 1
	}
	assert.Assert(t, moved > 5, "%d tasks were moved", moved)
}

// Guards against tasks that run twice or never because of quarantines and moves, with the faults
// of the other simulations.
func TestAgentHealthUnderFaults(t *testing.T) {
	for i := range uint64(6) {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			t.Parallel()
			s := newSim(i, 8, true, faults{enabled: withHealth, leaderChange: 0.001, late: 0.03, lost: 0.03, crash: 0.002, partition: 0.003, leave: 0.001, cancel: 0.002, permanentLoss: 0.001, failedRun: 0.02, failingAgent: 0.2})
			s.checksHealth = true
			s.agents["10.0.0.1:1"].slowdown = 8
			s.run(30*time.Second, 2)
			for _, a := range s.agents {
				a.slowdown = 0
			}
			assertJobsEnd(t, i, s)
		})
	}
}

// Guards against starts that are repeated on an agent in quarantine, and against last attempts
// that are started on a suspect agent by a repetition or by the next leader.
func TestRepeatedStartsAvoidFailingAgents(t *testing.T) {
	for i := range uint64(3) {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			s := newSim(i, 12, true, faults{enabled: withHealth, late: 0.1, failedRun: 0.1, leaderChange: 0.002})
			s.run(2*time.Second, 0)
			s.fail(2)
			s.overload(8*time.Second, 30)
			assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		})
	}
}

// Guards against a task on its final attempt by crashes that reserves an agent on trial although
// it may not run there, so that the trial has no result.
func TestFinalAttemptLeavesTrialAgent(t *testing.T) {
	s := newSim(1, 4, true, faults{enabled: withHealth})
	s.run(2*time.Second, 0)
	// The other agents have no memory left.
	s.submitJob(&wire.Step{Count: 3, CpuMillis: 1000, MemoryMb: 7900, EstimateMs: long, SpreadLimit: 1})
	s.run(time.Second, 0)
	for _, a := range s.agents {
		a.failing = len(a.runs) == 0
	}
	submit := func() { s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 200, EstimateMs: 100}) }
	for range 4 {
		submit()
	}
	for len(s.engine.QuarantinedAgents()) == 0 {
		s.run(simTick, 0)
	}
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 8000, MemoryMb: 200, EstimateMs: 100})
	last := s.graph.Job(s.jobs[len(s.jobs)-1]).Occurrences[0][0].Tasks[0]
	last.Crashes, last.Failures = graph.MaxCrashes-1, 2
	for _, a := range s.agents {
		a.failing = false
	}
	submit()
	s.run(4*time.Second, 0)
	assert.Equal(t, len(s.engine.QuarantinedAgents()), 0)
	assert.Assert(t, last.Done && len(s.violations) == 0, "%v", s.violations)
}

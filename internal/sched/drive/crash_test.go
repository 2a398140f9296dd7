// This file defines the tests of tasks that crash the agents on which they start.

package drive_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// runCount returns the number of runs of a job's first task that were placed.
func runCount(s *sim, job int) uint32 {
	return s.graph.Job(s.jobs[job]).Record().Tasks[0].Run
}

// assertOnlyFirstFailed asserts that the first job, which crashes agents, has failed and that
// all others are completed.
func assertOnlyFirstFailed(t *testing.T, s *sim) {
	t.Helper()
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_FAILED)
	for _, id := range s.jobs[1:] {
		assert.Equal(t, s.graph.Job(id).State, wire.WorkState_WORK_STATE_COMPLETED, "job %s, which crashes no agent", id)
	}
}

// Guards against a task that is restarted forever though it crashes each agent as it starts. A
// crashed agent lists no completion, so the run is only released and no attempt is counted.
func TestCrashingTaskFails(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	var log bytes.Buffer
	s.logger = slog.New(slog.NewTextHandler(&log, nil))
	s.depose()
	s.run(5*time.Second, 0)
	s.crashingJobs[jobID(1)] = simTick
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500})
	for range 20 {
		s.submitJob(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 900})
		s.run(time.Second, 0)
	}
	s.run(20*time.Second, 0)

	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	crashing := s.graph.Job(s.jobs[0])
	assert.Equal(t, crashing.State, wire.WorkState_WORK_STATE_FAILED, "started %d times", runCount(s, 0))
	for _, id := range s.jobs[1:] {
		assert.Equal(t, s.graph.Job(id).State, wire.WorkState_WORK_STATE_COMPLETED, "job %s, which crashes no agent", id)
	}
	lines := strings.Count(log.String(), `lost="`+jobID(1)+".0.0.0#") + strings.Count(log.String(), "lost="+jobID(1)+".0.0.0#")
	assert.Equal(t, lines, int(runCount(s, 0)), "the task must be listed first in the log line of each agent that it crashed:\n%s", log.String())
}

// Guards against harmless jobs that fail because they ran on agents that crashed. Each crash
// counts for all runs just started on the agent; unless suspects are isolated from one another,
// harmless tasks are counted together with the cause each time.
func TestColocatedTasksSurviveCrashes(t *testing.T) {
	var failed, finished, lostRuns int
	for seed := range uint64(20) {
		s := newSim(seed, 8, true, faults{})
		s.run(2*time.Second, 0)
		for i := range 30 {
			for range 4 {
				length := uint64(500 + s.random.IntN(4000))
				s.submitJob(&wire.Step{Count: uint32(1 + s.random.IntN(11)), CpuMillis: 700, EstimateMs: length})
			}
			if i%3 == 0 {
				s.crashingJobs[jobID(len(s.jobs)+1)] = simTick
				s.submitJob(&wire.Step{Count: 1, CpuMillis: 700, EstimateMs: 2500})
			}
			s.run(time.Second, 0)
		}
		s.run(60*time.Second, 0)
		assert.Assert(t, len(s.violations) == 0, "seed %d: %v", seed, s.violations)
		for _, id := range s.jobs {
			state := s.graph.Job(id).State
			_, crashing := s.crashingJobs[id]
			switch {
			case crashing:
				assert.Equal(t, state, wire.WorkState_WORK_STATE_FAILED, "seed %d: job %s", seed, id)
			case state == wire.WorkState_WORK_STATE_FAILED:
				failed++
			default:
				assert.Equal(t, state, wire.WorkState_WORK_STATE_COMPLETED, "seed %d: job %s", seed, id)
				finished++
			}
		}
		for _, n := range s.crashes {
			lostRuns += n
		}
	}
	t.Logf("%d harmless jobs finished, %d failed; %d runs were lost with agents", finished, failed, lostRuns)
	assert.Equal(t, failed, 0)
}

// A crashing task fails whether it is standing or opportunistic, and its final attempt finds an
// agent without other new runs while more work keeps arriving.
func TestCrashingTaskOfEachKindFails(t *testing.T) {
	cases := []struct {
		name string
		step *wire.Step
	}{
		{"standing", &wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 500, Standing: true}},
		{"opportunistic", &wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 2000, Opportunistic: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(2, 6, true, faults{})
			s.run(2*time.Second, 0)
			s.crashingJobs[jobID(1)] = simTick
			s.submitJob(c.step)
			for range 40 {
				for range 4 {
					s.submitJob(&wire.Step{Count: 4, CpuMillis: 700, EstimateMs: uint64(500 + s.random.IntN(3000))})
				}
				s.run(time.Second, 0)
			}
			s.run(20*time.Second, 0)
			assertOnlyFirstFailed(t, s)
		})
	}
}

// Guards against a task that crashes its agents seconds after its start and is restarted forever,
// since only crashes at the start are attributed to it.
func TestLateCrashingTaskFails(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.run(2*time.Second, 0)
	s.crashingJobs[jobID(1)] = 4 * time.Second
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 6000})
	for range 60 {
		s.submitJob(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 900})
		s.run(time.Second, 0)
	}
	s.run(20*time.Second, 0)
	assertOnlyFirstFailed(t, s)
}

// A standing task doesn't fail when its agents crash one after another, each after the task has
// run there for a while.
func TestStandingTaskSurvivesAgentCrashes(t *testing.T) {
	s := newSim(1, 4, true, faults{})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500, Standing: true})
	for range 10 {
		s.run(15*time.Second, 0)
		for _, a := range sortedKeys(s.agents) {
			if agent := s.agents[a]; len(agent.runs) > 0 {
				s.crashByRun(agent, nil)
			}
		}
	}
	s.run(15*time.Second, 0)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_RUNNING)
	assert.Equal(t, runCount(s, 0), uint32(11))
}

// Guards against a task that keeps crashing agents whose connections are already unresponsive, so
// that their crashes aren't detected. After one detected crash, undetected ones count as well.
func TestUndetectedCrashesCountAfterDetectedOne(t *testing.T) {
	s := newSim(1, 6, true, faults{})
	s.run(2*time.Second, 0)
	s.crashingJobs[jobID(1)] = simTick
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500})
	key := jobID(1) + ".0.0.0"
	for s.crashes[key] == 0 {
		s.run(simTick, 0)
	}
	s.run(100*time.Millisecond, 0) // until its connections are closed
	s.undetectedCrashes = true
	s.run(90*time.Second, 0)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_FAILED, "it crashed %d agents", s.crashes[key])
	assert.Assert(t, s.crashes[key] <= 5, "it crashed %d agents", s.crashes[key])
}

// Guards against a task that keeps crashing agents whose leases expire before their successors
// appear, since such an agent may also have been unreachable.
func TestCrashesCountAfterLeaseExpiry(t *testing.T) {
	cases := []struct {
		name       string
		afterCrash func(*sim)
	}{
		{"same leader", func(*sim) {}},
		{"next leader", (*sim).depose},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 8, true, faults{incarnations: true})
			s.crashedFor = 14 * time.Second
			s.run(2*time.Second, 0)
			s.crashingJobs[jobID(1)] = simTick
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500})
			key := jobID(1) + ".0.0.0"
			for crashes, end := 0, s.now+3*time.Minute; s.now < end; s.run(simTick, 0) {
				if s.causedCrashes[key] > crashes {
					crashes = s.causedCrashes[key]
					s.run(200*time.Millisecond, 0)
					c.afterCrash(s)
				}
			}
			assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
			assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_FAILED, "it crashed %d agents", s.causedCrashes[key])
		})
	}
}

// Guards against jobs that fail because they were placed with a task that crashes its agents, and
// against a sixth crash, while agents also restart.
func TestCrashingTasksBesideRestarts(t *testing.T) {
	restarts := faults{incarnations: true, crashingTask: 0.1, late: 0.02, lost: 0.02, restart: 0.01, leaderChange: 0.001, failedRun: 0.02}
	partitions := restarts
	partitions.partition, partitions.leaderChange = 0.002, 0.003
	cases := []struct {
		seed   uint64
		faults faults
	}{
		{668, restarts},
		{298, partitions},
		{714, partitions},
		{807, partitions},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint("seed ", c.seed), func(t *testing.T) {
			s := newSim(c.seed, 6, true, c.faults)
			s.run(30*time.Second, 1)
			assertJobsEnd(t, c.seed, s)
		})
	}
}

// Guards against a standing task that is never placed again beside tasks that crash agents, restarts
// and partitions.
func TestStandingTaskReturnsAfterCrashes(t *testing.T) {
	s := newSim(22, 6, true, faults{incarnations: true, crashingTask: 0.1, late: 0.02, lost: 0.02, restart: 0.01, partition: 0.002, leaderChange: 0.003, failedRun: 0.02})
	s.run(30*time.Second, 1)
	assertJobsEnd(t, 22, s)
}

// Guards against reports and withdrawals that follow one another for as long as a poll is pending on
// an agent that refused a connection.
func TestRefusedConnectionIsReportedOnce(t *testing.T) {
	s := newSim(1, 1, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 60000})
	s.run(time.Second, 0)
	agent := s.agents["10.0.0.0:1"].record
	run := &wire.RunId{Job: jobID(1), Run: 1}
	s.engine.HandleAnswer(s.now, drive.Answer{
		Order:   drive.Order{Kind: drive.Throttle, Agent: agent, Run: run, Fence: s.term},
		Verdict: drive.NotSent, ConnectionClosed: true,
	})
	s.run(3*time.Second, 0)
	assert.Equal(t, s.crashReports, 2, "a report and its withdrawal")
	assert.Assert(t, s.graph.Agent(agent.Id).CrashReport == nil)
}

// Agents that leave as announced, or that are unreachable until their leases expire, haven't
// crashed: no crash is counted for their tasks.
func TestOnlyCrashesAreCounted(t *testing.T) {
	cases := []struct {
		name string
		lose func(*sim, *modelAgent)
	}{
		{"leaving", func(s *sim, agent *modelAgent) {
			s.leave(agent)
			s.report(agent, false)
			s.run(500*time.Millisecond, 0)
			s.crashByRun(agent, nil)
		}},
		{"restarted while unreachable", func(s *sim, agent *modelAgent) {
			agent.unreachableUntil = s.now + time.Hour
			s.run(1200*time.Millisecond, 0)
			s.crash(agent)
			s.after(1500*time.Millisecond, func() { s.startAgent(agent.record.Address) })
		}},
		{"lost", func(s *sim, agent *modelAgent) {
			delete(s.agents, agent.record.Address)
			s.startAgent("10.0.1." + agent.record.Address[len("10.0.0."):])
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 6, true, faults{})
			s.run(2*time.Second, 0)
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 60000})
			for range 6 {
				s.run(500*time.Millisecond, 0)
				for _, a := range sortedKeys(s.agents) {
					if agent := s.agents[a]; agent != nil && len(agent.runs) > 0 {
						c.lose(s, agent)
					}
				}
				s.run(20*time.Second, 0)
			}
			s.assertNoCrashes(t)
		})
	}
}

// Guards against standing tasks that wait many seconds for an isolated final attempt after agents
// crashed soon after they were placed there.
func TestStandingTasksDontWaitForFinalAttempt(t *testing.T) {
	const seed = 126
	s := newSim(seed, 6, true, faults{crashingTask: 0.15, late: 0.03, lost: 0.03, leaderChange: 0.001, failedRun: 0.02})
	s.run(30*time.Second, 1)
	assertJobsEnd(t, seed, s)
}

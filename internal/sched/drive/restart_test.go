// This file defines the tests of agents that restart under the same id.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// runShortJobs submits short jobs for some seconds and waits until they have ended.
func (s *sim) runShortJobs(t *testing.T) {
	t.Helper()
	for range 8 {
		s.submitJob(&wire.Step{Count: 12, CpuMillis: 1000, EstimateMs: 300})
		s.run(500*time.Millisecond, 0)
	}
	s.run(5*time.Second, 0)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// assertCompleted asserts that no invariant was violated and all jobs are completed.
func (s *sim) assertCompleted(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
	for _, id := range s.jobs {
		assert.Equal(t, s.graph.Job(id).State, wire.WorkState_WORK_STATE_COMPLETED, "job %s", id)
	}
}

// Guards against tasks that run again though they are done: a restarted agent numbers its
// completions from 1, and acknowledging the numbers of the earlier incarnation drops completions
// that were never read.
func TestCompletionsOfRestartedAgent(t *testing.T) {
	cases := []struct {
		name string
		away time.Duration
	}{
		{"before a poll fails", 50 * time.Millisecond},
		{"after a poll has failed", time.Second},
		{"while a poll waits for its answer", 1400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{incarnations: true})
			s.run(2*time.Second, 0)
			s.runShortJobs(t)
			for _, a := range sortedKeys(s.agents) {
				s.restart(s.agents[a], c.away)
			}
			for range 20 {
				s.submitJob(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 300})
				s.run(200*time.Millisecond, 0)
			}
			s.run(15*time.Second, 0)
			s.assertCompleted(t)
		})
	}
}

// Guards against agents that are never used again after they were unreachable until their lease
// expired, because all later reports under their id count as old.
func TestAbandonedAgentIsUsedAgain(t *testing.T) {
	s := newSim(1, 3, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	s.runShortJobs(t)
	for range 2 {
		for _, a := range sortedKeys(s.agents) {
			s.restart(s.agents[a], 14*time.Second)
		}
		s.run(20*time.Second, 0)
		s.submitJob(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 300})
		s.submitJob(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
		s.run(10*time.Second, 0)
	}
	s.assertCompleted(t)
}

// A late report of an earlier incarnation ends none of the current incarnation's runs, and the
// current incarnation's reports count though their sequence numbers restart.
func TestReportsOfEarlierIncarnationsAreIgnored(t *testing.T) {
	s := newSim(1, 1, true, faults{incarnations: true})
	s.run(20*time.Second, 0)
	earlier := s.agents["10.0.0.0:1"]
	s.restart(earlier, time.Second)
	s.run(3*time.Second, 0)
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 3000})
	s.run(time.Second, 0)
	current := s.agents["10.0.0.0:1"]
	assert.Equal(t, len(current.runs), 2)

	s.report(earlier, false)
	s.report(earlier, true)
	s.run(6*time.Second, 0)
	s.assertCompleted(t)

	current.record.Leaving = true
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 300})
	s.run(5*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[1]).State, wire.WorkState_WORK_STATE_QUEUED, "a leaving agent got new work")
}

// Guards against an upgrade that restarts all runs: agents registered without an incarnation report
// one afterwards, while replicas of the earlier version still pass reports on without it.
func TestUpgradeKeepsAgentsWithoutIncarnation(t *testing.T) {
	s := newSim(1, 3, true, faults{})
	for i, a := range sortedKeys(s.agents) {
		s.agents[a].incarnation = uint64(i + 1)
	}
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 20000})
	s.run(time.Second, 0)
	s.depose()
	s.run(4*time.Second, 0)
	for i, a := range sortedKeys(s.agents) {
		s.agents[a].record.Incarnation = uint64(i + 1)
	}
	s.run(3*time.Second, 0)
	refused := 0
	for _, a := range sortedKeys(s.agents) {
		agent := s.agents[a]
		assert.Equal(t, s.graph.Agent(agent.record.Id).Record.Incarnation, agent.incarnation)
		record := &wire.Agent{Id: agent.record.Id, Address: a, Pool: "p", CpuMillis: 8000, MemoryMb: 8000}
		s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: record}, func(err error) {
			assert.ErrorContains(t, err, "doesn't tell")
			refused++
		})
	}
	assert.Equal(t, refused, 3)
	s.run(20*time.Second, 0)
	s.assertCompleted(t)
	assert.Equal(t, runCount(s, 0), uint32(1), "the work was restarted")

	s.reportIncarnations, s.agentsStarted = true, 10
	for _, a := range sortedKeys(s.agents) {
		s.restart(s.agents[a], time.Second)
	}
	s.run(5*time.Second, 0)
	s.submitJob(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
	s.run(5*time.Second, 0)
	s.assertCompleted(t)
}

// Guards against an agent that was unreachable for longer than its lease and is never used again
// because its reports count as those of an ended incarnation.
func TestAgentReturnsAfterLongPartition(t *testing.T) {
	s := newSim(1, 2, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	for range 3 {
		s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 2000})
		s.run(500*time.Millisecond, 0)
		for _, a := range sortedKeys(s.agents) {
			s.agents[a].unreachableUntil = s.now + 14*time.Second
		}
		s.run(18*time.Second, 0)
		s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
		s.run(8*time.Second, 0)
		s.assertCompleted(t)
	}
}

// Guards against a job that fails by crashes of agents which the leader hadn't reached yet or which
// were unreachable first.
func TestRestartsAcrossLeadersFailNoJob(t *testing.T) {
	s := newSim(92, 6, true, faults{incarnations: true, restart: 0.01, late: 0.02, lost: 0.02, partition: 0.002, leaderChange: 0.001, failedRun: 0.02})
	s.run(30*time.Second, 1)
	assertJobsEnd(t, 92, s)
}

// Guards against a job that fails because its task was placed on agents that were unreachable or
// had restarted, so that it never ran there or had ended before.
func TestRestartsAndPartitionsFailNoJob(t *testing.T) {
	listed := faults{incarnations: true, restart: 0.01, late: 0.02, lost: 0.02, partition: 0.002, leaderChange: 0.001, failedRun: 0.02}
	declared, cut, cutMore, crashing := listed, listed, listed, listed
	declared.disabled = disabled(drive.EstimateDurations)
	cut.partition = 0.01
	cutMore.partition, cutMore.leaderChange = 0.01, 0.003
	crashing.restart, crashing.crashingTask = 0, 0.1
	cases := []struct {
		name   string
		faults faults
		seeds  []uint64
	}{
		{"declared durations", declared, []uint64{92}},
		{"partitions", cut, []uint64{67, 323}},
		{"partitions and leader changes", cutMore, []uint64{191, 226}},
		{"tasks that crash agents", crashing, []uint64{71}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range c.seeds {
				s := newSim(n, 6, true, c.faults)
				s.run(30*time.Second, 1)
				assertJobsEnd(t, n, s)
			}
		})
	}
}

// Guards against standing tasks that are blamed for each crash of an agent while there is no leader,
// however long they have run, and fail after some changes of leader.
func TestLongRunningTasksAreNotBlamedAfterElection(t *testing.T) {
	cases := []struct {
		name string
		end  func(*sim, *modelAgent)
	}{
		{"restart", func(s *sim, agent *modelAgent) { s.restart(agent, 300*time.Millisecond) }},
		{"refused connections", func(s *sim, agent *modelAgent) { s.crashByRun(agent, nil) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{incarnations: true})
			s.crashedFor = 5 * time.Second // until after the election
			s.run(2*time.Second, 0)
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500, Standing: true})
			for range 6 {
				s.run(20*time.Second, 0)
				s.depose()
				for _, a := range sortedKeys(s.agents) {
					if agent := s.agents[a]; len(agent.runs) > 0 {
						c.end(s, agent)
					}
				}
			}
			s.run(20*time.Second, 0)
			s.assertNoCrashes(t)
			assert.Equal(t, runCount(s, 0), uint32(7))
		})
	}
}

// assertNoCrashes asserts that the first job runs and that no crash is counted for it.
func (s *sim) assertNoCrashes(t *testing.T) {
	t.Helper()
	task := s.graph.Job(s.jobs[0]).Record().Tasks[0]
	assert.Equal(t, task.Crashes, uint32(0), "%v", task)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_RUNNING)
}

// Guards against registering two incarnations of an agent under the same id when their reports
// arrive before the first registration is committed.
func TestReportsOfTwoIncarnationsWithinACommit(t *testing.T) {
	for _, laterFirst := range []bool{true, false} {
		s := newSim(1, 1, true, faults{incarnations: true})
		earlier := s.agents["10.0.0.0:1"]
		s.startAgentAs(earlier.record.Id, earlier.record.Address)
		later := s.agents["10.0.0.0:1"]
		s.engine.Tick(s.now)
		if laterFirst {
			s.report(later, false)
		}
		s.now += time.Millisecond
		s.report(earlier, false)
		s.now = commitLatency
		s.runEvents()
		s.engine.Tick(s.now) // between the two commits
		s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 3000})
		s.run(15*time.Second, 0)
		s.assertCompleted(t)
		assert.Equal(t, runCount(s, 0), uint32(1), "the work was restarted")
	}
}

// Guards against a late answer of an ended incarnation that is taken as proof that its successor
// has ended.
func TestLateAnswerOfEarlierIncarnationIsIgnored(t *testing.T) {
	s := newSim(1, 1, true, faults{incarnations: true})
	earlier := s.agents["10.0.0.0:1"]
	s.engine.Tick(s.now)
	s.report(earlier, false)
	earlier.unreachableUntil = time.Hour // delays its first answer
	s.run(50*time.Millisecond, 0)
	s.startAgentAs(earlier.record.Id, earlier.record.Address)
	later := s.agents["10.0.0.0:1"]
	for later.fence == 0 {
		s.run(simTick, 0)
	}
	s.now += time.Millisecond
	s.runEvents() // delivers the successor's answer
	s.engine.HandleAnswer(s.now, drive.Answer{
		Order:   drive.Order{Kind: drive.Poll, Agent: earlier.record, Incarnation: earlier.incarnation, Fence: s.term},
		Verdict: drive.Accepted, Incarnation: earlier.incarnation,
	})
	s.run(time.Second, 0)
	_, registered := s.graph.Agents()["r-1@2"]
	assert.Assert(t, registered, "the current agent was dropped: %v", s.graph.Agents())
	s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 500})
	s.run(5*time.Second, 0)
	s.assertCompleted(t)
}

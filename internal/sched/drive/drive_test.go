// This file defines the tests of the engine under seeded faults.

package drive_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// seedsPerCase is the number of seeds that CI runs of each case, in addition to the regression
// seeds. SYCAMOREDECK_SEEDS overrides it.
var seedsPerCase = seedCount(20)

func seedCount(byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv("SYCAMOREDECK_SEEDS")); err == nil {
		return n
	}
	return byDefault
}

// seedsWith returns the first seedsPerCase seeds and the later ones of the regression seeds.
func seedsWith(regressions []uint64) []uint64 {
	var seeds []uint64
	for i := range uint64(seedsPerCase) {
		seeds = append(seeds, i)
	}
	for _, n := range regressions {
		if n >= uint64(seedsPerCase) {
			seeds = append(seeds, n)
		}
	}
	return seeds
}

// hasUnfinishedJobs reports whether a job that is finite or crashes agents hasn't ended.
func (s *sim) hasUnfinishedJobs() bool {
	for _, id := range s.jobs {
		_, crashing := s.crashingJobs[id]
		if j := s.graph.Job(id); !j.Ended() && (crashing || !j.Spec.Steps[0].Standing) {
			return true
		}
	}
	return false
}

// assertJobsEnd ends all faults and asserts that then every finite job ends and every standing
// task runs.
func assertJobsEnd(t *testing.T, seed uint64, s *sim) {
	t.Helper()
	s.endFaults()
	s.run(60*time.Second, 0)
	// Crashing tasks continue without faults: up to five crashes each, up to six seconds
	// apart, with a backlog of other work. This takes at most three more minutes.
	for end := s.now + 3*time.Minute; len(s.crashingJobs) > 0 && s.now < end && s.hasUnfinishedJobs(); {
		s.run(5*time.Second, 0)
	}
	if len(s.crashingJobs) > 0 {
		s.run(15*time.Second, 0) // until the runs of the last crashed agent are placed again
	}
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		s.check(j.State != wire.WorkState_WORK_STATE_FAILED || s.mayFail(id), "job %s failed without cause", id)
		s.checkCompleted(id)
		if j.Ended() {
			continue
		}
		standing := j.Spec.Steps[0].Standing
		assert.Assert(t, standing, "seed %d: job %s is %v after all faults ended", seed, id, j.State)
		for _, tk := range j.Occurrences[0][0].Tasks {
			running := false
			for _, a := range s.agents {
				running = running || a.runs[taskKey(tk.ID())] != nil
			}
			assert.Assert(t, running, "seed %d: standing task %s runs nowhere", seed, taskKey(tk.ID()))
		}
	}
	assert.Assert(t, len(s.violations) == 0, "seed %d: %v", seed, s.violations)
}

// Guards against tasks that run twice, jobs that never end and agents that are overcommitted,
// with late and lost orders, crashes, partitions, leader changes, cancelled jobs and slow clocks.
func TestEngineUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		guarded     bool
		faults      faults
		regressions []uint64 // seeds that failed before
	}{
		{"calm", true, faults{failedRun: 0.02}, nil},
		{"late orders", true, faults{late: 0.05, lost: 0.05, failedRun: 0.02}, nil},
		{"late orders, unguarded", false, faults{late: 0.05, lost: 0.05, failedRun: 0.02}, nil},
		{"crashes", true, faults{crash: 0.004, partition: 0.004, failedRun: 0.02}, nil},
		{"leader changes", true, faults{leaderChange: 0.002, late: 0.03, lost: 0.03, failedRun: 0.02}, nil},
		{"partitions and leader changes", true, faults{partition: 0.006, leaderChange: 0.003, late: 0.02, lost: 0.02, failedRun: 0.02}, nil},
		{"lost agents and leader changes", true, faults{permanentLoss: 0.003, partition: 0.003, leaderChange: 0.003, incarnations: true, failedRun: 0.02}, nil},
		{"lost agents", true, faults{permanentLoss: 0.003, late: 0.02, failedRun: 0.02}, nil},
		{"cancelled late starts", true, faults{cancel: 0.03, late: 0.15, lost: 0.05, leaderChange: 0.002, failedRun: 0.02}, nil},
		{"leaving", true, faults{leave: 0.002, cancel: 0.003, failedRun: 0.02}, nil},
		{"leaving, notices unanswered", true, faults{leave: 0.004, noticeLost: 0.5, leaderChange: 0.002, late: 0.02, lost: 0.02, partition: 0.001, incarnations: true, failedRun: 0.02}, nil},
		{"tasks that crash agents", true, faults{crashingTask: 0.15, late: 0.03, lost: 0.03, leaderChange: 0.001, failedRun: 0.02}, []uint64{102, 284}},
		{"tasks that crash agents, partitions", true, faults{incarnations: true, crashingTask: 0.1, late: 0.02, lost: 0.02, partition: 0.002, leaderChange: 0.001, failedRun: 0.02}, []uint64{15, 123, 142, 183, 242}},
		{"tasks that crash agents, restarts", true, faults{incarnations: true, crashingTask: 0.1, late: 0.02, lost: 0.02, restart: 0.01, leaderChange: 0.001, failedRun: 0.02}, []uint64{66, 72, 254}},
		{"tasks that crash agents, restarts, partitions", true, faults{incarnations: true, crashingTask: 0.1, late: 0.02, lost: 0.02, restart: 0.01, partition: 0.002, leaderChange: 0.003, failedRun: 0.02}, []uint64{45, 49, 50, 62}},
		{"shrinking capacity, unguarded", false, faults{shrink: 0.01, late: 0.02, lost: 0.02, leaderChange: 0.0005, failedRun: 0.02}, []uint64{17, 25, 34}},
		{"restarts under the same id", true, faults{incarnations: true, restart: 0.01, late: 0.02, lost: 0.02, partition: 0.002, leaderChange: 0.001, failedRun: 0.02}, []uint64{17, 315}},
		{"restarts under the same id, leaving", true, faults{incarnations: true, restart: 0.005, leave: 0.002, partition: 0.002, leaderChange: 0.001, cancel: 0.002, failedRun: 0.02}, []uint64{17, 31}},
		{"drained domains", true, faults{drain: 0.003, leaderChange: 0.001, late: 0.03, lost: 0.03, failedRun: 0.02}, nil},
		{"drained domains, agent faults", true, faults{drain: 0.003, leaderChange: 0.001, late: 0.02, lost: 0.02, partition: 0.002, crash: 0.001, permanentLoss: 0.001, leave: 0.001, cancel: 0.002, failedRun: 0.02}, nil},
		{"drained domains, unguarded", false, faults{drain: 0.003, leaderChange: 0.001, late: 0.05, lost: 0.05, failedRun: 0.02}, nil},
		{"advice", true, faults{advice: true, late: 0.03, lost: 0.03, leaderChange: 0.001, failedRun: 0.02}, nil},
		{"gangs", true, faults{gang: 0.5, failedRun: 0.1, cancel: 0.005}, nil},
		{"gangs, removed routes", true, faults{gang: 0.5, removeRoute: 0.002, failedRun: 0.2, cancel: 0.005, partition: 0.002, late: 0.02, lost: 0.02, leaderChange: 0.001}, nil},
		{"gangs, removed routes, unguarded", false, faults{gang: 0.3, removeRoute: 0.002, failedRun: 0.1, cancel: 0.005, crash: 0.001, leave: 0.001, late: 0.02, lost: 0.02, leaderChange: 0.001}, nil},
		{"advice, removed routes", true, faults{advice: true, removeRoute: 0.002, late: 0.02, lost: 0.02, leaderChange: 0.001, failedRun: 0.1}, nil},
		{"everything", true, faults{leaderChange: 0.001, late: 0.03, lost: 0.03, crash: 0.002, partition: 0.003, leave: 0.001, cancel: 0.002, permanentLoss: 0.001, failedRun: 0.02, failingAgent: 0.1}, nil},
		{"everything, unguarded", false, faults{leaderChange: 0.001, late: 0.03, lost: 0.03, crash: 0.002, partition: 0.003, leave: 0.001, cancel: 0.002, failedRun: 0.02, failingAgent: 0.1}, []uint64{59}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			done := 0
			for _, n := range seedsWith(c.regressions) {
				s := newSim(n, 6, c.guarded, c.faults)
				s.run(30*time.Second, 1)
				assertJobsEnd(t, n, s)
				for _, id := range s.jobs {
					if s.graph.Job(id).State == wire.WorkState_WORK_STATE_COMPLETED {
						done++
					}
				}
			}
			assert.Assert(t, done > seedsPerCase*5, "only %d jobs were completed", done)
		})
	}
}

// Guards against opportunistic runs that stay throttled after a leader change, because the new
// leader assumes that no run is throttled.
func TestNewLeaderResetsThrottles(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 60000, Opportunistic: true})
	s.run(2*time.Second, 0)
	throttled := 0
	for _, a := range s.agents {
		for _, r := range a.runs {
			r.cpuPercent = 0
			throttled++
		}
	}
	assert.Equal(t, throttled, 1)
	s.depose()
	s.run(6*time.Second, 0)
	for _, a := range s.agents {
		for _, r := range a.runs {
			assert.Equal(t, r.cpuPercent, 100)
			assert.Equal(t, r.id.Run, uint32(1), "the run was restarted")
		}
	}
}

// loseStandingUnderLoad fills all agents with short tasks, one per gap, removes an agent with a
// standing task other than the spared one, continues the load, and returns the number of standing
// tasks that run then.
func loseStandingUnderLoad(s *sim, gap time.Duration, spared string) int {
	var lostAddress string
	for k, a := range s.agents {
		if len(a.runs) > 0 && k != spared {
			lostAddress = k
		}
	}
	submitFor := func(length time.Duration) {
		for end := s.now + length; s.now < end; {
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1500, EstimateMs: uint64(300 + s.random.IntN(500))})
			s.run(gap, 0)
		}
	}
	submitFor(2 * time.Second)
	lost := s.agents[lostAddress]
	delete(s.agents, lostAddress)
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: lost.record.Id}}})
	submitFor(3 * time.Second)
	running := 0
	for _, a := range s.agents {
		for _, r := range a.runs {
			if r.step.Standing {
				running++
			}
		}
	}
	return running
}

// Guards against a standing task that isn't placed while there are short tasks: each freed part
// of an agent is filled by the next short task and never grows large enough.
func TestStandingTaskRestartsUnderLoad(t *testing.T) {
	s := newSim(3, 2, true, faults{})
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 6000, EstimateMs: 500, Standing: true})
	s.run(3*time.Second, 0)
	assert.Equal(t, loseStandingUnderLoad(s, 40*time.Millisecond, ""), 1)
}

// Guards against reserving capacity for a standing task on an agent on which its spread limit
// doesn't allow it to run.
func TestStandingTaskRestartsSpread(t *testing.T) {
	const largest = "10.0.0.1:1"
	s := newSim(3, 3, true, faults{})
	s.agents[largest].record.CpuMillis = 16000
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 6000, EstimateMs: 500, Standing: true, SpreadLimit: 1})
	s.run(3*time.Second, 0)
	assert.Equal(t, loseStandingUnderLoad(s, 20*time.Millisecond, largest), 2)
}

// Guards against a new leader that waits a whole lease from its own election for an agent that
// was lost before: the expiry committed by the earlier leader still applies.
func TestLeaseExpirySurvivesLeaderChange(t *testing.T) {
	// limit is the lease of 9 s on a clock 2% slow, four seconds without a leader, and three
	// seconds in which the standing task must run again.
	const limit = 9400*time.Millisecond + 4*time.Second + 3*time.Second
	s := newSim(1, 3, true, faults{})
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500, Standing: true})
	s.run(3*time.Second, 0)
	lostAt := s.now
	for _, a := range sortedKeys(s.agents) {
		if agent := s.agents[a]; len(agent.runs) > 0 {
			delete(s.agents, a)
		}
	}
	s.run(8*time.Second, 0)
	s.depose()
	s.run(lostAt+limit-s.now, 0)
	running := 0
	for _, a := range s.agents {
		running += len(a.runs)
	}
	assert.Equal(t, running, 1, "the standing task runs nowhere %v after its agent was lost", s.now-lostAt)
}

// This file defines the tests with more load than the agents have capacity for.

package drive_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// submitOverload submits jobs of one task and one second for some time, at a multiple of the
// capacity of four agents of eight processors.
func submitOverload(s *sim, multiple float64, length time.Duration) {
	const capacity = 32 // jobs per second
	due := 0.0
	for end := s.now + length; s.now < end; {
		for due += capacity * multiple * simTick.Seconds(); due >= 1; due-- {
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 1000})
		}
		s.run(simTick, 0)
	}
}

// shareInTime returns the share of all jobs that ended within an objective.
func shareInTime(s *sim, objective time.Duration) float64 {
	inTime := 0
	for _, id := range s.jobs {
		j := s.graph.Job(id)
		if j.State == wire.WorkState_WORK_STATE_COMPLETED && j.EndedAt.Sub(j.AcceptedAt) <= objective {
			inTime++
		}
	}
	return float64(inTime) / float64(len(s.jobs))
}

// Guards against overload in which hardly any job ends in time, because the job nearest to its
// objective is always next and just misses it.
func TestOverloadKeepsObjectives(t *testing.T) {
	const objective = 2 * time.Second // the duration of one second times the queue's stretch
	cases := []struct {
		name     string
		multiple float64
		atLeast  float64 // at most 1 / multiple is possible
	}{
		{"within capacity", 0.9, 0.99},
		{"one and a half times", 1.5, 0.55},
		{"twice", 2, 0.4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{})
			s.run(2*time.Second, 0)
			submitOverload(s, c.multiple, 15*time.Second)
			s.run(5*time.Second, 0)
			got := shareInTime(s, objective)
			t.Logf("%.3f of %d jobs in time", got, len(s.jobs))
			assert.Assert(t, got >= c.atLeast, "%.3f of the jobs ended in time", got)
		})
	}
}

// interferenceScenario has a standing task on each of two agents, whose baseline tail latency
// varies with a period of 14 s, and opportunistic jobs of one image that arrive continuously and
// multiply it.
type interferenceScenario struct {
	low, high      float64 // baseline tail latency, milliseconds
	adds           float64 // to the logarithm of the tail latency, per whole agent
	cpuMillis      uint64  // of a job
	submitInterval int     // ticks between jobs
	reportNoise    float64 // relative error of reported tail latencies, up and down by turns
}

// scenarioResult holds the share of time over the target, the longest time over it, the share of
// the runs' time in which they were throttled or stopping, and the number of completed jobs.
type scenarioResult struct {
	overTarget, throttled float64
	longestOver           time.Duration
	completed             int
}

const targetMillis = 50

func (c interferenceScenario) tail(agent *modelAgent, _ *modelRun) int {
	phase := math.Sin(2 * math.Pi * agent.sim.now.Seconds() / 14)
	tail := math.Sqrt(c.low*c.high) * math.Pow(c.high/c.low, phase/2)
	for _, r := range agent.runs {
		if r.step.Opportunistic {
			share := float64(r.step.CpuMillis) / float64(agent.record.CpuMillis) * float64(r.cpuPercent) / 100
			tail *= math.Exp(c.adds * share)
		}
	}
	return int(tail)
}

// reportedTail returns the tail latency as reported by the agent.
func (c interferenceScenario) reportedTail(agent *modelAgent, run *modelRun) int {
	noise := 1 + c.reportNoise
	if agent.sim.now/(400*time.Millisecond)%2 == 0 {
		noise = 1 - c.reportNoise
	}
	return int(float64(c.tail(agent, run)) * noise)
}

func (c interferenceScenario) run() scenarioResult { return c.runSeed(1) }

// runSeed runs the scenario with a seed.
func (c interferenceScenario) runSeed(seed uint64) scenarioResult {
	s := newSim(seed, 2, true, faults{})
	s.tailLatencyOf = c.reportedTail
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true, TailTargetMs: targetMillis, Image: "standing", SpreadLimit: 1})
	s.run(4*time.Second, 0)
	var result scenarioResult
	var readings, runs float64
	since := map[*modelRun]time.Duration{}
	for i := range 2000 {
		if i%c.submitInterval == 0 {
			s.submitJob(&wire.Step{Count: 1, CpuMillis: c.cpuMillis, MemoryMb: 10, EstimateMs: 1500, Opportunistic: true, Checkpointable: true, Image: "beside"})
		}
		s.run(simTick, 0)
		for _, a := range s.agents {
			for _, run := range a.runs {
				switch {
				case run.step.Standing && c.tail(a, run) > targetMillis:
					readings++
					result.overTarget++
					since[run] += simTick
					result.longestOver = max(result.longestOver, since[run])
				case run.step.Standing:
					readings++
					since[run] = 0
				case run.cpuPercent < 100 || run.stopAt > 0:
					runs++
					result.throttled++
				default:
					runs++
				}
			}
		}
	}
	result.overTarget /= max(readings, 1)
	result.throttled /= max(runs, 1)
	for _, id := range s.jobs {
		if s.graph.Job(id).State == wire.WorkState_WORK_STATE_COMPLETED {
			result.completed++
		}
	}
	return result
}

// Guards against opportunistic work that is throttled or evicted without interfering, while a
// standing task's baseline is near its target.
func TestHarmlessWorkIsNotThrottled(t *testing.T) {
	got := interferenceScenario{low: 20, high: 47, adds: 0.05, cpuMillis: 1200, submitInterval: 20}.run()
	t.Logf("%+v", got)
	assert.Assert(t, got.throttled < 0.05, "harmless runs were throttled for %.2f of their time", got.throttled)
	assert.Assert(t, got.completed > 85, "%d of 100 jobs ended", got.completed)
}

// Work that interferes is kept within the target and still makes progress.
func TestInterferingWorkIsThrottled(t *testing.T) {
	got := interferenceScenario{low: 15, high: 30, adds: 3, cpuMillis: 1200, submitInterval: 20}.run()
	t.Logf("%+v", got)
	assert.Assert(t, got.overTarget < 0.35, "over the target for %.2f of the time", got.overTarget)
	assert.Assert(t, got.completed > 30, "%d of 100 jobs ended", got.completed)
}

// Guards against a standing task that stays over its target because each colocated run adds too
// little to be throttled on its own.
func TestManySmallInterferersAreThrottled(t *testing.T) {
	const seeds = 20 // the completed jobs of a single seed vary with the agents' clocks
	done := 0
	for i := range uint64(seeds) {
		got := interferenceScenario{low: 38, high: 46, adds: 0.7, cpuMillis: 500, submitInterval: 12}.runSeed(i)
		assert.Assert(t, got.longestOver < 3500*time.Millisecond, "seed %d: over the target for %v without a break", i, got.longestOver)
		done += got.completed
	}
	mean := float64(done) / seeds
	t.Logf("%.1f of 167 jobs ended", mean)
	assert.Assert(t, mean > 30, "%.1f of 167 jobs ended", mean)
}

// Guards against readings near the target that restart the time over the target: reported tail
// latencies are noisy.
func TestNoisyTailNearTargetIsResolved(t *testing.T) {
	got := interferenceScenario{low: 40, high: 46, adds: 0.4, cpuMillis: 500, submitInterval: 12, reportNoise: 0.03}.run()
	t.Logf("%+v", got)
	assert.Assert(t, got.longestOver < 3*time.Second, "over the target for %v without a break", got.longestOver)
	assert.Assert(t, got.completed > 30, "%d of 167 jobs ended", got.completed)
}

// Guards against an agent that gets no more opportunistic work after the standing task for which
// it was halted is cancelled.
func TestHaltEndsWithStandingTask(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	s.tailLatencyOf = func(*modelAgent, *modelRun) int { return targetMillis + 2 }
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true, TailTargetMs: targetMillis, Image: "standing"})
	s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 60000, Opportunistic: true, Image: "beside"})
	s.run(6*time.Second, 0)
	halted := 0
	for _, a := range s.agents {
		for _, r := range a.runs {
			if r.cpuPercent == 0 {
				halted++
			}
		}
	}
	assert.Assert(t, halted > 0, "no run was halted")
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: s.jobs[0], Queue: "q"}}})
	s.run(4*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 500, Opportunistic: true, Image: "beside"})
	s.run(3*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[2]).State, wire.WorkState_WORK_STATE_COMPLETED)
}

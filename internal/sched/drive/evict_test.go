// This file tests evictions of opportunistic runs that few agents, or one alone, can run.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// idleLimit bounds how long a task may run nowhere while there is capacity for it.
	idleLimit = 3 * time.Second
	// harmLimit bounds how long opportunistic runs may keep a standing task over its target.
	harmLimit = 4 * time.Second
	// quietTail is the tail latency of a standing task without interference, disturbance what each
	// unthrottled opportunistic run beside it adds, and disturbedTarget its target, in milliseconds.
	quietTail, disturbance, disturbedTarget = 50, 300, 125
	// onlyAgent is the address of the only agent with scarceLabel.
	onlyAgent, scarceLabel = "10.0.0.0:1", "scarce"
	// In evictionTestTime a task may be evicted from an agent twice, and so be placed there three
	// times.
	evictionTestTime = 50 * time.Second
	maxPlacedThere   = 3
)

// disturbedTail is a tail latency to which each opportunistic run adds disturbance.
func disturbedTail(a *modelAgent, _ *modelRun) int {
	tail := quietTail
	for _, r := range a.runs {
		if r.step.Opportunistic {
			tail += disturbance * r.cpuPercent / 100
		}
	}
	return tail
}

// simWithScarceAgent returns a simulation of three agents, on the only one of which that has
// scarceLabel a standing task runs.
func simWithScarceAgent() *sim {
	s := newSim(1, 3, true, faults{})
	s.tailLatencyOf = disturbedTail
	s.agents[onlyAgent].record.Labels = []string{scarceLabel}
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{
		Count: 1, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true, TailTargetMs: disturbedTarget, Image: "standing", RequiredLabel: scarceLabel,
	})
	s.run(4*time.Second, 0)
	return s
}

// opportunisticStep returns a checkpointable step that takes a time and disturbs.
func opportunisticStep(length time.Duration) *wire.Step {
	return &wire.Step{
		Count: 1, CpuMillis: 2000, MemoryMb: 100, EstimateMs: uint64(length.Milliseconds()), Opportunistic: true, Checkpointable: true, Image: "beside",
	}
}

// runWatched advances the simulation until a job has ended, at most for a time, and asserts that
// the job's task and no standing task is left alone for too long.
func (s *sim) runWatched(t *testing.T, job string, atMost time.Duration) {
	t.Helper()
	harmedSince, idleSince := s.now, map[*graph.Task]time.Duration{}
	for end := s.now + atMost; s.now < end && !s.graph.Job(job).Ended(); s.run(simTick, 0) {
		harmed := false
		for _, a := range s.agents {
			for _, r := range a.runs {
				harmed = harmed || r.step.Standing && disturbedTail(a, r) > disturbedTarget
			}
		}
		if !harmed {
			harmedSince = s.now
		}
		assert.Assert(t, s.now-harmedSince < harmLimit, "at %v: a standing task has been disturbed since %v", s.now, harmedSince)
		for _, task := range s.graph.Job(job).Occurrences[0][0].Tasks {
			key := taskKey(task.ID())
			if since, known := idleSince[task]; !known || task.Done || s.hostOf(key) != nil {
				idleSince[task] = s.now
			} else {
				assert.Assert(t, s.now-since < idleLimit, "at %v: %s has run nowhere since %v; placed %d times", s.now, key, since, task.Run)
			}
		}
	}
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// Guards against an opportunistic task that is evicted where no other agent can run it, and never
// placed again.
func TestEvictionLeavesTaskAnAgent(t *testing.T) {
	cases := []struct {
		name   string
		before func(*sim, *wire.Step) // makes the agent the only one that can run the step
	}{
		{"label", func(_ *sim, step *wire.Step) { step.RequiredLabel = scarceLabel }},
		{"room elsewhere is taken", func(s *sim, step *wire.Step) {
			step.CpuMillis = 4000
			s.submitJob(&wire.Step{Count: 2, CpuMillis: 7900, MemoryMb: 100, EstimateMs: 600000})
		}},
		{"memory", func(s *sim, step *wire.Step) {
			s.agents["10.0.0.1:1"].record.MemoryMb, s.agents["10.0.0.2:1"].record.MemoryMb = 1000, 1000
			step.MemoryMb = 2000
		}},
		{"spread limit", func(_ *sim, step *wire.Step) { step.Count, step.SpreadLimit = 3, 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := simWithScarceAgent()
			step := opportunisticStep(8 * time.Second)
			c.before(s, step)
			s.run(2*time.Second, 0)
			s.submitJob(step)
			job := s.jobs[len(s.jobs)-1]
			s.runWatched(t, job, 12*time.Second)
			s.cancelJob(s.jobs[0])
			s.runWatched(t, job, 20*time.Second)
			assert.Equal(t, s.graph.Job(job).State, wire.WorkState_WORK_STATE_COMPLETED)
		})
	}
}

// Guards against opportunistic tasks that make no progress, or aren't started, while a standing task
// that they disturb runs on the only agent for them.
func TestOpportunisticTaskBesideStandingTaskEnds(t *testing.T) {
	s := simWithScarceAgent()
	for range 2 { // the second when the interference is known
		step := opportunisticStep(3 * time.Second)
		step.RequiredLabel = scarceLabel
		s.submitJob(step)
		job := s.jobs[len(s.jobs)-1]
		s.runWatched(t, job, 2*time.Minute)
		assert.Equal(t, s.graph.Job(job).State, wire.WorkState_WORK_STATE_COMPLETED)
	}
}

// Guards against a task that is evicted from an agent again and again, since the others have room
// only while it runs there.
func TestEvictionsFromOneAgentAreLimited(t *testing.T) {
	s := simWithScarceAgent()
	disturbed, others := s.agents[onlyAgent], []*modelAgent{s.agents["10.0.0.1:1"], s.agents["10.0.0.2:1"]}
	setCapacity := func(cpuMillis uint64) {
		for _, a := range others {
			a.record.CpuMillis = cpuMillis
			s.report(a, false)
		}
	}
	setCapacity(1000)
	s.run(time.Second, 0)
	s.submitJob(opportunisticStep(10 * time.Minute))
	key := s.jobs[len(s.jobs)-1] + ".0.0.0"
	placedThere, there := 0, false
	for end := s.now + evictionTestTime; s.now < end; s.run(simTick, 0) {
		run := disturbed.runs[key]
		if now := run != nil && run.stopAt == 0; now != there {
			there = now
			if there {
				placedThere++
				setCapacity(8000)
			} else {
				setCapacity(1000)
			}
		}
	}
	assert.Assert(t, placedThere >= 2 && placedThere <= maxPlacedThere, "placed %d times on the disturbed agent", placedThere)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

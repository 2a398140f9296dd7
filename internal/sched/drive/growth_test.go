// This file defines tests of how the engine's work grows with the number of agents.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	fewAgents = 50
	// manyAgents is four times as many.
	manyAgents = 4 * fewAgents
)

// visitsDuring returns how many agents an engine examines while f runs.
func visitsDuring(f func()) uint64 {
	before := drive.AgentsVisited()
	f()
	return drive.AgentsVisited() - before
}

// newGrowthSim returns a simulation without faults in which all agents have answered.
func newGrowthSim(agents int) *sim {
	s := newSim(1, agents, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	return s
}

// Guards against an election after which no agent is served for long, since the first answer of each
// is compared with all others.
func TestCostOfAnElectionIsLinear(t *testing.T) {
	// Each agent is examined when it is registered and after its first answers.
	const limitPerAgent = 6
	for _, agents := range []int{fewAgents, manyAgents} {
		s := newGrowthSim(agents)
		visits := visitsDuring(func() {
			s.isLeader = false
			s.engine.Tick(s.now)
			s.elect()
			s.run(500*time.Millisecond, 0)
		})
		assert.Assert(t, visits <= uint64(limitPerAgent*agents), "%d visits for %d agents", visits, agents)
	}
}

// Guards against a leader that spends its time on agents of which nothing is due.
func TestCostOfIdleAgentsIsLinear(t *testing.T) {
	// Each agent is examined after its polls, about once a second, and when it was idle for
	// one.
	const limitPerAgent = 4
	for _, agents := range []int{fewAgents, manyAgents} {
		s := newGrowthSim(agents)
		visits := visitsDuring(func() { s.run(time.Second, 0) })
		assert.Assert(t, visits <= uint64(limitPerAgent*agents), "%d visits in a second for %d agents", visits, agents)
	}
}

// Guards against an agent's restart whose cost grows with the number of agents.
func TestCostOfARestartIsConstant(t *testing.T) {
	restartVisits := func(agents int) uint64 {
		s := newGrowthSim(agents)
		// Between the answers to the first polls that wait nothing is due for other agents.
		s.run(10*time.Millisecond, 0)
		old := s.agents["10.0.0.7:1"]
		return visitsDuring(func() {
			s.startAgentAs(old.record.Id, old.record.Address)
			s.report(s.agents[old.record.Address], false)
			s.run(100*time.Millisecond, 0)
		})
	}
	few, many := restartVisits(fewAgents), restartVisits(manyAgents)
	assert.Assert(t, many <= few+2, "%d visits for %d agents, %d for %d", few, fewAgents, many, manyAgents)
}

// Guards against a leader that spends its time on looking for agents for throttled runs, while none
// can take them.
func TestCostOfThrottledRunsIsLinear(t *testing.T) {
	// Each agent is examined after its polls, three to four times a second where latencies are
	// checked, and in four searches a second.
	const limitPerAgent = 16
	for _, agents := range []int{fewAgents, manyAgents} {
		s := newGrowthSim(agents)
		s.tailLatencyOf = disturbedTail
		s.submitJob(&wire.Step{
			Count: uint32(agents), CpuMillis: 1000, MemoryMb: 100, EstimateMs: 500, SpreadLimit: 1, Standing: true, TailTargetMs: disturbedTarget, Image: "standing",
		})
		s.run(4*time.Second, 0)
		for range agents {
			s.submitJob(opportunisticStep(10 * time.Minute))
		}
		s.run(6*time.Second, 0)
		visits := visitsDuring(func() { s.run(2*time.Second, 0) })
		assert.Assert(t, visits <= uint64(limitPerAgent*agents), "%d visits in two seconds for %d agents", visits, agents)
	}
}

// This file defines the tests of when starts are sent.

package drive_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	slowStart = 550 * time.Millisecond // just below the time limit of a start
	// startsInFlight and agentStarts are the limits on starts in flight to all agents and to
	// one, agentStartsWaiting that on those that wait for one.
	startsInFlight, agentStarts, agentStartsWaiting = 400, 4, 16
)

// newSlowSim returns a simulation of agents of which the first slow ones take slowStart to answer
// a start.
func newSlowSim(agents, slow int) *sim {
	s := newSim(1, agents, true, faults{})
	isSlow := map[string]bool{}
	for i := range slow {
		isSlow[fmt.Sprintf("10.0.0.%d:1", i)] = true
	}
	s.startDelayOf = func(a *modelAgent) time.Duration {
		if isSlow[a.record.Address] {
			return slowStart
		}
		return 0
	}
	s.run(2*time.Second, 0)
	return s
}

// tinyStep returns a step of which an agent has capacity for many tasks.
func tinyStep(count int) *wire.Step {
	return &wire.Step{Count: uint32(count), CpuMillis: 10, MemoryMb: 1, EstimateMs: 1000}
}

func (s *sim) assertNoViolations(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
}

// Guards against starts that all reach their time limit, since a busy leader sends more than it can
// read the answers of, and against polls that wait behind starts.
func TestStartsInFlightAreLimited(t *testing.T) {
	s := newSlowSim(150, 150)
	for range 3 {
		s.submitJob(tinyStep(1000))
	}
	before := s.polls
	s.run(3*time.Second, 0)
	assert.Equal(t, s.peakStarts, startsInFlight)
	assert.Assert(t, s.peakAgentStarts <= agentStarts, "%d starts in flight to one agent", s.peakAgentStarts)
	assert.Assert(t, s.polls-before >= 150, "%d polls", s.polls-before)
	s.run(10*time.Second, 0)
	s.assertCompleted(t) // each start was sent in the end
}

// Guards against a start that was kept back and is sent along with those of the next leader.
func TestWaitingStartNeedsTheLeaderLease(t *testing.T) {
	s := newSlowSim(1, 1)
	s.submitJob(tinyStep(20))
	s.run(300*time.Millisecond, 0)
	agent := s.agents["10.0.0.0:1"]
	assert.Equal(t, len(agent.started), agentStarts)
	s.leaselessUntil = s.now + 2*time.Second
	s.run(1900*time.Millisecond, 0)
	assert.Equal(t, len(agent.started), agentStarts)
	s.run(12*time.Second, 0)
	s.assertCompleted(t)
}

// Guards against starts that wait while their agent begins to leave, its failure domain is drained
// or their job is cancelled, and are sent afterwards, and against tasks that are lost with them.
func TestWaitingStartsAreAbandoned(t *testing.T) {
	drainAll := func(s *sim, a *modelAgent) { s.drain(a.record.FailureDomain, false) }
	cases := []struct {
		name   string
		change func(*sim, *modelAgent)
	}{
		{"leaving", func(s *sim, a *modelAgent) { s.leave(a) }},
		{"drained domain", drainAll},
		{"next leader", func(s *sim, a *modelAgent) { s.leave(a); s.depose() }},
		{"unreachable", func(s *sim, a *modelAgent) { a.unreachableUntil = s.now + 30*time.Second }},
		{"crash", func(s *sim, a *modelAgent) { s.crash(a) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSlowSim(4, 4)
			s.submitJob(tinyStep(100))
			s.run(300*time.Millisecond, 0)
			agent := s.agents["10.0.0.0:1"]
			assert.Assert(t, s.engine.StartsWaiting() > 0)
			c.change(s, agent)
			s.run(modelLease+10*time.Second, 0) // its checks are those of checkStart
			s.assertCompleted(t)
			assert.Equal(t, s.engine.StartsWaiting(), 0)
		})
	}
	t.Run("cancelled job", func(t *testing.T) {
		s := newSlowSim(1, 1)
		s.submitJob(tinyStep(30))
		s.run(300*time.Millisecond, 0)
		s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: s.jobs[0], Queue: "q"}}})
		s.cancelled[s.jobs[0]] = s.now
		s.run(time.Second, 0)
		assert.Equal(t, len(s.agents["10.0.0.0:1"].started), agentStarts)
		assert.Equal(t, s.engine.StartsWaiting(), 0)
		s.assertNoViolations(t)
	})
}

// Guards against agents that are slow to answer, or silent, and keep others from being started on.
func TestSlowAgentsDelayNoOthers(t *testing.T) {
	const agents, slow = 160, 120 // more than take all slots
	for _, c := range []struct {
		name   string
		silent bool
	}{{"slow", false}, {"silent", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSlowSim(agents, slow)
			if c.silent {
				for i := range slow {
					s.agents[fmt.Sprintf("10.0.0.%d:1", i)].unreachableUntil = s.now + time.Minute
				}
			}
			s.submitJob(tinyStep(9000))
			s.run(2*time.Second, 0)
			started := 0
			for i := slow; i < agents; i++ {
				started += len(s.agents[fmt.Sprintf("10.0.0.%d:1", i)].started)
			}
			// An answer takes the simulation 20 ms; one start at a time makes 100 in 2 s.
			assert.Assert(t, started >= (agents-slow)*100, "%d starts on the agents that answer at once", started)
			s.assertNoViolations(t)
		})
	}
}

// Guards against urgent tasks that wait behind others that came before.
func TestUrgentStartsGoFirst(t *testing.T) {
	s := newSlowSim(2, 2)
	catalog := s.graph.Catalog()
	queue := func(name, prefix string, priority uint32) *wire.Queue {
		return &wire.Queue{Name: name, Host: "h", PathPrefix: prefix, Pool: "p", MaxAttempts: 3, Stretch: 2, Priority: priority}
	}
	assert.NilError(t, s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
		Version: catalog.Version + 1, Pools: catalog.Pools, Queues: []*wire.Queue{queue("q", "/q/", 2), queue("urgent", "/u/", 0)},
	}}}).Err)
	s.submitJob(tinyStep(200))
	s.run(time.Second, 0)
	assert.Assert(t, s.engine.StartsWaiting() >= agentStartsWaiting, "%d starts wait", s.engine.StartsWaiting())
	const id = "00000000000000ff"
	s.steps[id+".0"] = tinyStep(2)
	assert.NilError(t, s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{
		Job: id, Queue: "urgent", Spec: &wire.WorkSpec{Steps: []*wire.Step{s.steps[id+".0"]}},
	}}}).Err)
	s.run(2*slowStart+200*time.Millisecond, 0)
	started := 0
	for _, a := range s.agents {
		for _, r := range a.runs {
			if r.id.Job == id {
				started++
			}
		}
	}
	assert.Equal(t, started, 2)
	s.assertNoViolations(t)
}

// Guards against thousands of tasks that are tied to agents on which they wait for their start.
func TestPlacementWaitsForStarts(t *testing.T) {
	s := newSlowSim(3, 1)
	s.submitJob(tinyStep(1500))
	for range 100 {
		s.run(simTick, 0)
		waiting := s.engine.StartsWaiting()
		assert.Assert(t, waiting <= 3*agentStartsWaiting, "%d starts wait", waiting)
	}
	s.run(20*time.Second, 0)
	s.assertCompleted(t)
}

// Guards against a start that is given up although it was only sent too late.
func TestOutdatedStartIsSentAgain(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	first := s.next(drive.Start)
	s.answer(first, drive.Outdated)
	again := s.next(drive.Start)
	assert.Equal(t, again.Run.Run, uint32(1))
	assert.Assert(t, again.SentAt > first.SentAt)
}

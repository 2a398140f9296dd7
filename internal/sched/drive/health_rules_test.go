// This file defines the tests of rules of agents' health on small engines.

package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/health"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// healthEngine returns an engine and an agent with runs of the given steps that this leader
// started.
func healthEngine(steps ...*wire.Step) (*Engine, *agent) {
	e, a := contendedAgent(false, steps...)
	e.options.Enabled = map[Feature]bool{AgentHealth: true}
	a.record.Pool = "p"
	for _, r := range a.sortedRuns {
		r.startsSent, r.startedAt, r.trackedAt = 1, e.now, e.now
		e.runs[r.task] = r
	}
	return e, a
}

// putOnTrial puts an agent on trial since a second ago.
func putOnTrial(e *Engine, a *agent) {
	e.health.tracker.Restore(e.now, healthAgent(a), e.now-time.Second)
}

// Guards against runs of an earlier leader, and standing ones, that keep probes away or end a trial.
func TestOnlyRunsOfThisLeaderDecideTrial(t *testing.T) {
	cases := []struct {
		name   string
		step   *wire.Step
		change func(*run)
		probes int
		ends   bool // its success ends the trial
	}{
		{"started by this leader", &wire.Step{}, func(*run) {}, 1, true},
		{"not sent yet", &wire.Step{}, func(r *run) { r.startsSent, r.phase = 0, phaseUnresolved }, 1, false},
		{"started by an earlier leader", &wire.Step{}, func(r *run) { r.startsSent = 0 }, 0, false},
		{"standing", &wire.Step{Standing: true}, func(*run) {}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, a := healthEngine(c.step)
			putOnTrial(e, a)
			r := a.sortedRuns[0]
			c.change(r)
			assert.Equal(t, e.freeResourcesOf(a).probes, c.probes)
			e.recordHealth(r, wire.RunOutcome_RUN_OUTCOME_DONE)
			assert.Equal(t, e.health.tracker.State(e.now, "a") == health.Sound, c.ends)
		})
	}
}

// Guards against an agent that is rated by its failures although its trial decides on it.
func TestFailureRateIsResetAfterTrial(t *testing.T) {
	e, a := healthEngine(&wire.Step{})
	putOnTrial(e, a)
	e.recordOutcome(a, a.sortedRuns[0].task, wire.RunOutcome_RUN_OUTCOME_FAILED)
	assert.Equal(t, e.health.tracker.State(e.now, "a"), health.Quarantined)
	assert.Equal(t, e.estimates.agent("a").failureRate, 0.0)
}

// Guards against an agent that counts as slow because of runs that are being stopped.
func TestStoppedRunsDontIndicateSpeed(t *testing.T) {
	e, a := healthEngine(&wire.Step{EstimateMs: 1000})
	r := a.sortedRuns[0]
	e.now += time.Second
	r.task.Stage.Job.State, r.stopReason = wire.WorkState_WORK_STATE_RUNNING, slowAgentReason
	e.recordSpeed(r)
	assert.Equal(t, r.slowness, 0.0)
	r.stopReason = ""
	e.recordSpeed(r)
	assert.Assert(t, r.slowness > 0)
}

// Guards against capacity that is given to a second moved run while the first is still stopping on
// an agent that no longer counts as slow, and against moves at the time of a placement.
func TestCapacityForMovedRuns(t *testing.T) {
	e, a := healthEngine(&wire.Step{CpuMillis: 6000})
	to := &agent{record: &wire.Agent{Id: "b", Pool: "p", CpuMillis: 10000}}
	a.sortedRuns[0].moveTo = to
	assert.Equal(t, e.newMoveTargets().claimed[to].cpuMillis, 6000.0)
	e.placementPending = true
	e.checkHealth()
	assert.Equal(t, e.health.nextMove, time.Duration(0))
}

// Guards against a task that was moved and hides what limits a task on its final attempt.
func TestFinalAttemptIsExplainedBeforeMovedTask(t *testing.T) {
	s := &graph.Stage{Job: &graph.Job{}, Step: &wire.Step{}}
	last := &graph.Task{Stage: s, Crashes: graph.MaxCrashes - 1}
	s.Tasks = []*graph.Task{{Stage: s, AvoidAgent: "a"}, last}
	assert.Assert(t, (&pass{}).mostLimitedTask(s) == last)
}

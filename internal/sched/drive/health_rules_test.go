// This file defines the tests of rules of agents' health on small engines.

package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
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

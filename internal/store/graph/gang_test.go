// This file tests jobs with gangs.

package graph

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	done    = wire.RunOutcome_RUN_OUTCOME_DONE
	failed  = wire.RunOutcome_RUN_OUTCOME_FAILED
	stopped = wire.RunOutcome_RUN_OUTCOME_STOPPED
)

// gangJob returns a state with a gang of two at work and more steps.
func gangJob(t *testing.T, more ...*wire.Step) *Graph {
	t.Helper()
	g := newTestGraph(t, append([]*wire.Step{{Count: 2, Gang: true}}, more...)...)
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1)))
	return g
}

func endMembers(g *Graph, run uint32, outcomes ...wire.RunOutcome) {
	for index, o := range outcomes {
		g.Apply(noon, endCommand("a1", runID(0, uint32(index), run), o))
	}
}

// runStep places and completes the only task of a step.
func runStep(t *testing.T, g *Graph, step uint32) {
	t.Helper()
	assert.NilError(t, g.Apply(noon, placeCommand("a2", runID(step, 0, 1))).PlacementErrors[0])
	g.Apply(noon, endCommand("a2", runID(step, 0, 1), done))
}

// Guards against a job that is shown as completed while a step beside or after its gang isn't done,
// since each member that ends as done counts the gang's step as completed once more.
func TestGangCompletesItsStepOnce(t *testing.T) {
	for name, outcome := range map[string]wire.RunOutcome{"done": done, "stopped": stopped, "failed": failed, "lapsed": wire.RunOutcome_RUN_OUTCOME_LAPSED} {
		t.Run("beside a step, second member "+name, func(t *testing.T) {
			g := gangJob(t, &wire.Step{Count: 1})
			endMembers(g, 1, done, outcome)
			assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
			runStep(t, g, 1)
			assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
		})
		t.Run("before two steps, second member "+name, func(t *testing.T) {
			g := gangJob(t, &wire.Step{Count: 1, After: []uint32{0}}, &wire.Step{Count: 1, After: []uint32{1}})
			endMembers(g, 1, done, outcome)
			assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
			runStep(t, g, 1)
			assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
			runStep(t, g, 2)
			assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
		})
	}
}

// Guards against a job that fails too early: "a gang has failed max-attempts times", and its members
// make each attempt together.
func TestRunOfGangFailsOnce(t *testing.T) {
	g := gangJob(t)
	endMembers(g, 1, failed, failed)
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	left, _ := g.AttemptsLeft(g.FindTask(runID(0, 1, 1)))
	assert.Equal(t, left, uint32(1))
	assert.NilError(t, reload(g))
	g.Apply(noon, placeCommand("a1", runID(0, 0, 2), runID(0, 1, 2)))
	endMembers(g, 2, wire.RunOutcome_RUN_OUTCOME_BROKEN, failed)
	assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
}

// Guards against a second failure in the same run that counts because the replica was loaded from a
// snapshot in between.
func TestFailedRunIsInSnapshots(t *testing.T) {
	g := gangJob(t)
	endMembers(g, 1, failed)
	assert.NilError(t, reload(g))
	g.Apply(noon, endCommand("a1", runID(0, 1, 1), failed))
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
}

// Guards against an attempt of a gang that is missing from snapshots because the placement of its first
// member was rejected.
func TestFailureWithoutFirstMemberIsInSnapshots(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 2, Gang: true})
	g.Apply(noon, placeCommand("a1", runID(0, 1, 1)))
	g.Apply(noon, endCommand("a1", runID(0, 1, 1), failed))
	assert.NilError(t, reload(g))
	left, _ := g.AttemptsLeft(g.FindTask(runID(0, 1, 1)))
	assert.Equal(t, left, uint32(1))
}

// unversionedGangJob is gangJob on a replica that doesn't know whether all others know the latest rules.
func unversionedGangJob(t *testing.T, more ...*wire.Step) *Graph {
	t.Helper()
	g := New()
	g.AssumeUnversioned()
	for _, c := range []*wire.WorkCommand{
		catalog(1, 2), agentCommand("a1", false), agentCommand("a2", false),
		submitCommand(jobID, append([]*wire.Step{{Count: 2, Gang: true}}, more...)...),
		placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1)),
	} {
		assert.NilError(t, g.Apply(noon, c).Err)
	}
	return g
}

func raiseCommand() *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_StateVersion{StateVersion: &wire.StateVersion{Version: Version}}}
}

// Guards against a replica that disagrees with one of an earlier release on the same log, and against
// counts of that time that stay wrong afterwards.
func TestEarlierRulesHoldUntilAllReplicasKnowOthers(t *testing.T) {
	t.Run("completed early", func(t *testing.T) {
		g := unversionedGangJob(t, &wire.Step{Count: 1})
		endMembers(g, 1, done, done)
		assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
	})
	t.Run("raised between the members", func(t *testing.T) {
		g := unversionedGangJob(t, &wire.Step{Count: 1})
		endMembers(g, 1, done)
		g.Apply(noon, raiseCommand())
		endMembers(g, 1, done, done)
		assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	})
	t.Run("hangs until raised", func(t *testing.T) {
		g := unversionedGangJob(t, &wire.Step{Count: 1, After: []uint32{0}}, &wire.Step{Count: 1, After: []uint32{1}})
		endMembers(g, 1, done, done)
		assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 0)
		g.Apply(noon, raiseCommand())
		assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
		runStep(t, g, 1)
		runStep(t, g, 2)
		assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
	})
	t.Run("failures", func(t *testing.T) {
		g := unversionedGangJob(t)
		endMembers(g, 1, failed, failed)
		assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
	})
	t.Run("raised twice", func(t *testing.T) {
		g := unversionedGangJob(t)
		g.Apply(noon, raiseCommand())
		image := proto.Clone(g.Save())
		g.Apply(noon, raiseCommand())
		assert.Assert(t, proto.Equal(image, g.Save()))
	})
	t.Run("in snapshots", func(t *testing.T) {
		g := unversionedGangJob(t)
		assert.NilError(t, reload(g))
		assert.Equal(t, g.StateVersion(), uint32(unversioned))
		g.Apply(noon, raiseCommand())
		assert.NilError(t, reload(g))
		assert.Equal(t, g.StateVersion(), uint32(Version))
	})
}

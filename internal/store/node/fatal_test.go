// This file tests a log whose records an earlier release couldn't apply.

package node_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const gangJob = "7c0e7a21d94b3000"

func memberRun(index uint32) *wire.RunId { return &wire.RunId{Job: gangJob, Index: index, Run: 1} }

func memberEnd(index uint32, outcome wire.RunOutcome) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_End{End: &wire.EndRuns{Ends: []*wire.RunEnd{{Id: memberRun(index), Agent: "a", Outcome: outcome}}}}}
}

// fatalCommands end with one by which releases without a state version panic: the failed end of a gang
// whose job was cancelled.
func fatalCommands() []*wire.WorkCommand {
	return []*wire.WorkCommand{
		{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
			Version: 1, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/", Pool: "p", MaxAttempts: 3}}, Pools: []*wire.WorkerPool{{Name: "p"}},
		}}},
		{Body: &wire.WorkCommand_PutAgent{PutAgent: &wire.Agent{Id: "a", Pool: "p", Address: "a"}}},
		{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{
			Job: gangJob, Queue: "q", Spec: &wire.WorkSpec{Steps: []*wire.Step{{Count: 2, Gang: true}}},
		}}},
		{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: []*wire.RunPlacement{{Id: memberRun(0), Agent: "a"}, {Id: memberRun(1), Agent: "a"}}}}},
		memberEnd(1, wire.RunOutcome_RUN_OUTCOME_BROKEN),
		{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: gangJob, Queue: "q"}}},
		memberEnd(0, wire.RunOutcome_RUN_OUTCOME_FAILED),
	}
}

// Guards against a cluster that keeps the rules of earlier releases, or loses later ones at a restart.
func TestStateVersionIsRaised(t *testing.T) {
	folder := t.TempDir()
	version := func(r *testReplica) (v uint32) {
		assert.NilError(t, r.node.Do(context.Background(), func() { v = r.node.Machine().Graph().StateVersion() }))
		return v
	}
	for range 2 {
		r := startMachine(t, folder, walog.Options{}, state.New(state.Options{Unversioned: true}))
		for end := time.Now().Add(time.Minute); version(r) < graph.Version && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, version(r), uint32(graph.Version))
		r.stop(t)
	}
}

// Guards against a replica that can't start again because its log holds a record that ended it.
func TestStartOnLogWithFatalRecord(t *testing.T) {
	folder := t.TempDir()
	log, _, err := walog.Open(folder, walog.Options{})
	assert.NilError(t, err)
	assert.NilError(t, log.WriteSnapshot(&wire.Snapshot{Membership: &wire.Membership{
		ClusterId: 9, Members: []*wire.ControlMember{{ReplicaId: 1, Voter: true}},
	}}))
	var records []*wire.LogRecord
	for i, c := range fatalCommands() {
		records = append(records, &wire.LogRecord{Index: uint64(i + 1), Term: 1, Command: &wire.Command{Body: &wire.Command_Work{Work: c}}})
	}
	assert.NilError(t, log.Append(records))
	assert.NilError(t, log.Close())

	r := start(t, folder, walog.Options{})
	assert.NilError(t, r.node.Do(context.Background(), func() {
		j := r.node.Machine().Graph().Job(gangJob)
		assert.Equal(t, j.State, wire.WorkState_WORK_STATE_CANCELLED)
		assert.Equal(t, j.ActiveRuns(), 0)
	}))
	r.commit(t, 0, 1)
	r.stop(t)
}

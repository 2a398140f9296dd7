// This file defines the tests of crash reports.

package graph

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// A crash report survives a snapshot, and is gone once the agent answers again or is removed.
func TestCrashReports(t *testing.T) {
	id := runID(0, 0, 1)
	end := &wire.RunEnd{Id: id, Agent: "a1", Outcome: wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START}
	report := func(ends ...*wire.RunEnd) *wire.WorkCommand {
		return &wire.WorkCommand{Body: &wire.WorkCommand_CrashReports{CrashReports: &wire.CrashReports{
			Agents: []*wire.CrashReport{{Id: "a1", Ends: ends}},
		}}}
	}
	drop := &wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: "a1"}}}
	cases := []struct {
		name     string
		commands []*wire.WorkCommand
		reported bool
	}{
		{"reported", []*wire.WorkCommand{report(end)}, true},
		{"answers again", []*wire.WorkCommand{report(end), report()}, false},
		{"removed", []*wire.WorkCommand{report(end), drop, report(end)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGraph(t, &wire.Step{Count: 1})
			assert.NilError(t, g.Apply(noon, placeCommand("a1", id)).PlacementErrors[0])
			for _, command := range c.commands {
				g.Apply(noon, command)
			}
			loaded := New()
			assert.NilError(t, loaded.Load(g.Save()))
			assert.Assert(t, proto.Equal(loaded.Save(), g.Save()), "the snapshot is incomplete")
			agent := loaded.Agent("a1")
			assert.Equal(t, agent != nil && agent.ReportedCrash(id) != nil, c.reported)
			assert.Assert(t, agent == nil || agent.ReportedCrash(runID(0, 0, 2)) == nil)
		})
	}
}

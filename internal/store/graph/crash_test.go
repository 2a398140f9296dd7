// This file defines the tests of counting agent crashes for tasks.

package graph

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against a task that crashes one agent after another without ever failing: a crashed
// agent reports no end, so no attempt is counted. The crash counts must survive a snapshot.
func TestCrashesAreCounted(t *testing.T) {
	const (
		late    = wire.RunOutcome_RUN_OUTCOME_CRASHED
		atStart = wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START
		lost    = wire.RunOutcome_RUN_OUTCOME_LOST
		running = wire.WorkState_WORK_STATE_RUNNING
		failed  = wire.WorkState_WORK_STATE_FAILED
	)
	cases := []struct {
		name         string
		standing     bool
		ends         []wire.RunOutcome
		presumed     int // how many of the ends, the first ones, are presumed
		want         wire.WorkState
		finalAttempt bool
	}{
		{"two at the start", false, []wire.RunOutcome{atStart, atStart}, 0, running, true},
		{"three at the start", false, []wire.RunOutcome{atStart, atStart, atStart}, 0, failed, false},
		{"three at the start, standing", true, []wire.RunOutcome{atStart, atStart, atStart}, 0, failed, false},
		{"three, one of them late", false, []wire.RunOutcome{atStart, late, atStart}, 0, running, true},
		{"four late", false, []wire.RunOutcome{late, late, late, late}, 0, running, true},
		{"five late", false, []wire.RunOutcome{late, late, late, late, late}, 0, failed, false},
		{"many lost otherwise", false, []wire.RunOutcome{lost, lost, lost, lost, lost, lost}, 0, running, false},
		{"three at the start, two presumed", false, []wire.RunOutcome{atStart, atStart, atStart}, 2, running, true},
		{"three at the start, one presumed", false, []wire.RunOutcome{atStart, atStart, atStart}, 1, failed, false},
		{"five at the start, four presumed", false, []wire.RunOutcome{atStart, atStart, atStart, atStart, atStart}, 4, failed, false},
		{"five late, three presumed", false, []wire.RunOutcome{late, late, late, late, late}, 3, failed, false},
		{"five late, four presumed", false, []wire.RunOutcome{late, late, late, late, late}, 4, running, true},
		{"seven presumed", false, []wire.RunOutcome{late, late, late, late, late, late, late}, 7, running, true},
		{"eight presumed", false, []wire.RunOutcome{late, late, late, late, late, late, late, late}, 8, failed, false},
		{"four late, standing", true, []wire.RunOutcome{late, late, late, late}, 0, running, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGraph(t, &wire.Step{Count: 1, Standing: c.standing})
			for i, o := range c.ends {
				id := runID(0, 0, uint32(i+1))
				assert.NilError(t, g.Apply(noon, placeCommand("a1", id)).PlacementErrors[0])
				end := endCommand("a1", id, o)
				end.GetEnd().Ends[0].Presumed = i < c.presumed
				g.Apply(noon, end)
				g.Apply(noon, end) // a repeated report counts once
				loaded := New()
				assert.NilError(t, loaded.Load(g.Save()))
				assert.Assert(t, proto.Equal(loaded.Save(), g.Save()), "the snapshot is incomplete")
				g = loaded
			}
			assert.Equal(t, g.Job(jobID).State, c.want)
			if task := g.FindTask(runID(0, 0, 1)); task != nil {
				assert.Equal(t, task.OnFinalAttempt(), c.finalAttempt)
			}
		})
	}
}

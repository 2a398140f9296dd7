// This file tests the estimates of the memory that jobs take.

package graph

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against jobs that take more than was estimated at their submission, and against
// ended ones that keep counting.
func TestSizeOfJobs(t *testing.T) {
	step := func(count uint32, after ...uint32) *wire.Step { return &wire.Step{Count: count, After: after} }
	cases := []struct {
		name string
		spec *wire.WorkSpec
	}{
		{"one task", &wire.WorkSpec{Steps: []*wire.Step{step(1)}}},
		{"many tasks", &wire.WorkSpec{Steps: []*wire.Step{step(1000)}}},
		{"dependencies", &wire.WorkSpec{Payload: "x", Steps: []*wire.Step{step(1), step(2, 0), step(3, 0, 0, 1)}}},
		{"occurrences", &wire.WorkSpec{Steps: []*wire.Step{step(3), step(1, 0)}, Occurrences: 20}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New()
			apply := func(w *wire.WorkCommand) { assert.NilError(t, g.Apply(noon, w).Err) }
			apply(catalog(1, 3))
			apply(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: jobID, Queue: "q", Spec: c.spec}}})
			estimate := SpecBytes(c.spec)
			accepted := g.JobBytes()
			assert.Assert(t, accepted <= estimate && accepted >= estimate/2, "%d of %d", accepted, estimate)
			apply(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: jobID, Queue: "q"}}})
			var tasks int64
			for _, s := range c.spec.Steps {
				tasks += int64(s.Count) * int64(max(c.spec.Occurrences, 1))
			}
			assert.Equal(t, g.JobBytes(), accepted-tasks*taskBytes)
		})
	}
}

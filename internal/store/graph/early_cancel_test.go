// This file tests cancellations that are committed before the submission of their job.

package graph

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// newCancelledGraph returns a state in which an unknown job was cancelled in a queue.
func newCancelledGraph(t *testing.T, queue string) *Graph {
	t.Helper()
	g := New()
	assert.NilError(t, g.Apply(noon, catalog(1, 2)).Err)
	assert.ErrorIs(t, g.Apply(noon, cancelCommand(jobID, queue)).Err, ErrUnknownJob)
	return g
}

func cancelCommand(job, queue string) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: job, Queue: queue}}}
}

// Guards against a job that starts although its cancellation was answered: the submission was
// still under way then.
func TestCancellationMayPrecedeSubmission(t *testing.T) {
	submit := func(t *testing.T, g *Graph, at time.Time) {
		t.Helper()
		assert.NilError(t, g.Apply(at, submitCommand(jobID, &wire.Step{Count: 2})).Err)
	}
	t.Run("cancelled", func(t *testing.T) {
		g := newCancelledGraph(t, "q")
		submit(t, g, noon)
		assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
		assert.Equal(t, g.PendingJobs("q"), 0)
		submit(t, g, noon) // sent again
		assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
	})
	t.Run("after a snapshot", func(t *testing.T) {
		data, err := proto.Marshal(newCancelledGraph(t, "q").Save())
		assert.NilError(t, err)
		image, g := &wire.WorkImage{}, New()
		assert.NilError(t, proto.Unmarshal(data, image))
		assert.NilError(t, g.Load(image))
		submit(t, g, noon)
		assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
	})
	t.Run("other queue", func(t *testing.T) {
		g := newCancelledGraph(t, "deep")
		submit(t, g, noon)
		assertState(t, g, wire.WorkState_WORK_STATE_QUEUED, 1)
	})
	t.Run("after the retention", func(t *testing.T) {
		g := newCancelledGraph(t, "q")
		assert.Assert(t, !g.HasRemovableJobs(noon))
		assert.Assert(t, g.HasRemovableJobs(noon.Add(time.Second)))
		g.removeExpired(noon.Add(time.Second))
		submit(t, g, noon.Add(time.Minute))
		assertState(t, g, wire.WorkState_WORK_STATE_QUEUED, 1)
	})
	t.Run("bounded", func(t *testing.T) {
		g := newCancelledGraph(t, "q")
		for i := range maxEarlyCancellations {
			g.Apply(noon, cancelCommand(fmt.Sprintf("%016x", i+1000), "q"))
		}
		assert.Equal(t, len(g.Save().EarlyCancellations), maxEarlyCancellations)
		submit(t, g, noon)
		assertState(t, g, wire.WorkState_WORK_STATE_QUEUED, 1)
	})
}

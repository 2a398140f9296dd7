// This file tests jobs whose route is removed while they are at work.

package graph

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// termsCatalog returns a catalog with the given queues beside one that stays. Each queue has a pool of
// its own name.
func termsCatalog(version uint64, queues ...*wire.Queue) *wire.WorkCommand {
	c := &wire.Catalog{Version: version}
	for _, q := range append(queues, &wire.Queue{Name: "stays"}) {
		q = proto.Clone(q).(*wire.Queue)
		q.Host, q.PathPrefix, q.Pool = "h", "/"+q.Name+"/", q.Name
		c.Queues = append(c.Queues, q)
		c.Pools = append(c.Pools, &wire.WorkerPool{Name: q.Name, Guarded: true})
	}
	return &wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: c}}
}

// failRuns lets runs of the test job's only task fail.
func failRuns(g *Graph, from, to uint32) {
	for run := from; run <= to; run++ {
		g.Apply(noon, placeCommand("a1", runID(0, 0, run)))
		g.Apply(noon, endCommand("a1", runID(0, 0, run), failed))
	}
}

// Guards against a job that gets other attempts than its route allows because the route was removed.
func TestAttemptsOutlastRoute(t *testing.T) {
	for limit := uint32(1); limit <= 5; limit++ {
		for _, loaded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d attempts, loaded %v", limit, loaded), func(t *testing.T) {
				g := New()
				for _, c := range []*wire.WorkCommand{
					termsCatalog(1, &wire.Queue{Name: "q", MaxAttempts: limit}), agentCommand("a1", false),
					submitCommand(jobID, &wire.Step{Count: 1}), termsCatalog(2), termsCatalog(3),
				} {
					assert.NilError(t, g.Apply(noon, c).Err)
				}
				if loaded {
					assert.NilError(t, reload(g))
				}
				failRuns(g, 1, limit-1)
				assert.Assert(t, !g.Job(jobID).Ended(), "failed after %d attempts", limit-1)
				failRuns(g, limit, limit)
				assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
			})
		}
	}
	t.Run("by earlier rules", func(t *testing.T) {
		g := New()
		g.AssumeUnversioned()
		for _, c := range []*wire.WorkCommand{
			termsCatalog(1, &wire.Queue{Name: "q", MaxAttempts: 5}), agentCommand("a1", false),
			submitCommand(jobID, &wire.Step{Count: 1}), termsCatalog(2),
		} {
			assert.NilError(t, g.Apply(noon, c).Err)
		}
		failRuns(g, 1, defaultMaxAttempts)
		assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
	})
}

// Guards against accepted work that is ordered, placed or authorized without the terms of its queue once
// the route is removed, and against a removed route that still accepts work.
func TestTermsOutlastRoute(t *testing.T) {
	q := &wire.Queue{Name: "q", Priority: 2, Stretch: 3, Target: durationpb.New(time.Second), Advice: &wire.AdvicePolicy{Valid: durationpb.New(time.Minute)}}
	g := New()
	for _, c := range []*wire.WorkCommand{termsCatalog(1, q, &wire.Queue{Name: "unused"}), submitCommand(jobID, &wire.Step{Count: 1}), termsCatalog(2)} {
		assert.NilError(t, g.Apply(noon, c).Err)
	}
	check := func(t *testing.T, kept bool) {
		t.Helper()
		assert.Equal(t, g.Queue("q") != nil, kept)
		assert.Equal(t, g.Queue("q").GetAdvice() != nil, kept)
		assert.Equal(t, g.Pool("q").GetGuarded(), kept)
		assert.Assert(t, g.Queue("unused") == nil && g.Pool("unused") == nil)
		assert.Assert(t, g.Pool("stays") != nil)
	}
	t.Run("kept", func(t *testing.T) { check(t, true) })
	t.Run("unreachable", func(t *testing.T) {
		found, _ := g.MatchQueue("h", "/q/"+jobID)
		assert.Assert(t, found == nil)
		assert.ErrorIs(t, g.Apply(noon, submitCommand("00000000000000ab", &wire.Step{Count: 1})).Err, ErrUnknownQueue)
	})
	t.Run("loaded", func(t *testing.T) {
		before := proto.Clone(g.Save())
		assert.NilError(t, reload(g))
		assert.Assert(t, proto.Equal(before, g.Save()))
		check(t, true)
	})
	t.Run("replaced with the route", func(t *testing.T) {
		changed := proto.Clone(q).(*wire.Queue)
		changed.Priority = 7
		g.Apply(noon, termsCatalog(3, changed))
		assert.Equal(t, g.Queue("q").Priority, uint32(7))
		g.Apply(noon, termsCatalog(4))
		assert.Equal(t, g.Queue("q").Priority, uint32(7))
	})
	t.Run("forgotten with the last job", func(t *testing.T) {
		g.Apply(noon, cancelCommand(jobID, "q"))
		check(t, true)
		g.Apply(noon, &wire.WorkCommand{Body: &wire.WorkCommand_Forget{Forget: &wire.ForgetWork{EndedBefore: timestamppb.New(noon.Add(time.Second))}}})
		check(t, false)
	})
}

// Guards against a state that grows with each version of the catalog.
func TestRemovedTermsAreBounded(t *testing.T) {
	const versions, queuesPerVersion, jobs = 200, 50, 20
	g := New()
	for v := uint64(1); v <= versions; v++ {
		queues := make([]*wire.Queue, queuesPerVersion)
		for i := range queues {
			queues[i] = &wire.Queue{Name: fmt.Sprintf("q-%d-%d", v, i)}
		}
		g.Apply(noon, termsCatalog(v, queues...))
		if v <= jobs {
			c := submitCommand(fmt.Sprintf("%016x", v), &wire.Step{Count: 1})
			c.GetSubmit().Queue = queues[0].Name
			assert.NilError(t, g.Apply(noon, c).Err)
		}
	}
	assert.Equal(t, len(g.Save().RemovedQueues), jobs)
	assert.Equal(t, len(g.Save().RemovedPools), jobs)
}

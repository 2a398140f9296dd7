// This file defines the tests of the replicated state of jobs and agents.

package graph

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const jobID = "00000000000000aa"

func catalog(version uint64, attempts uint32) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
		Version: version,
		Queues: []*wire.Queue{
			{Name: "q", Host: "h", PathPrefix: "/a/", Pool: "p", MaxAttempts: attempts},
			{Name: "deep", Host: "h", PathPrefix: "/a/b/", Pool: "p"},
		},
		Pools: []*wire.WorkerPool{{Name: "p"}},
	}}}
}

func submitCommand(id string, steps ...*wire.Step) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{
		Job: id, Queue: "q", Spec: &wire.WorkSpec{Payload: "x", Steps: steps},
	}}}
}

func agentCommand(id string, leaving bool) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_PutAgent{PutAgent: &wire.Agent{Id: id, Pool: "p", Address: id, Leaving: leaving}}}
}

func placeCommand(agent string, ids ...*wire.RunId) *wire.WorkCommand {
	p := &wire.PlaceRuns{}
	for _, id := range ids {
		p.Placements = append(p.Placements, &wire.RunPlacement{Id: id, Agent: agent})
	}
	return &wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: p}}
}

func endCommand(agent string, id *wire.RunId, outcome wire.RunOutcome) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_End{End: &wire.EndRuns{Ends: []*wire.RunEnd{{Id: id, Agent: agent, Outcome: outcome}}}}}
}

func runID(step, index, run uint32) *wire.RunId {
	return &wire.RunId{Job: jobID, Step: step, Index: index, Run: run}
}

// newTestGraph returns a state with a catalog, two agents and one job.
func newTestGraph(t *testing.T, steps ...*wire.Step) *Graph {
	t.Helper()
	g := New()
	for _, c := range []*wire.WorkCommand{catalog(1, 2), agentCommand("a1", false), agentCommand("a2", false), submitCommand(jobID, steps...)} {
		assert.NilError(t, g.Apply(noon, c).Err)
	}
	return g
}

// assertState checks the job's state and the number of ready stages.
func assertState(t *testing.T, g *Graph, want wire.WorkState, ready int) {
	t.Helper()
	assert.Equal(t, g.Job(jobID).State, want)
	assert.Equal(t, len(g.SortedReadyStages()), ready)
}

func TestStepsRunInOrder(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 2}, &wire.Step{Count: 1, After: []uint32{0}})
	assertState(t, g, wire.WorkState_WORK_STATE_QUEUED, 1)
	assert.Equal(t, g.PendingJobs("q"), 1)
	assert.ErrorIs(t, g.Apply(noon, placeCommand("a1", runID(1, 0, 1))).PlacementErrors[0], ErrNotReady)
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1)))
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 0)
	assert.Equal(t, g.PendingJobs("q"), 0)
	g.Apply(noon, endCommand("a1", runID(0, 0, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 0)
	g.Apply(noon, endCommand("a1", runID(0, 1, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	g.Apply(noon, placeCommand("a2", runID(1, 0, 1)))
	g.Apply(noon, endCommand("a2", runID(1, 0, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
}

// Guards against memory and snapshots that grow with every ended job because all its tasks
// are kept for as long as clients can query it.
func TestEndedJobsAreCompacted(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 2})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1)))
	g.Apply(noon, endCommand("a1", runID(0, 0, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	before := g.Job(jobID).Record().Tasks
	assert.Equal(t, len(before), 2)
	t.Run("cancelled with a run", func(t *testing.T) {
		g.Apply(noon, &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: jobID, Queue: "q"}}})
		assert.Assert(t, g.FindTask(runID(0, 1, 1)) != nil)
	})
	t.Run("last run ended", func(t *testing.T) {
		g.Apply(noon, endCommand("a1", runID(0, 1, 1), wire.RunOutcome_RUN_OUTCOME_STOPPED))
		assert.Assert(t, g.FindTask(runID(0, 1, 1)) == nil)
		assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
		tasks := g.Job(jobID).Record().Tasks
		assert.Equal(t, len(tasks), 2)
		assert.Assert(t, tasks[0].Done && !tasks[1].Done)
	})
	t.Run("loaded", func(t *testing.T) {
		loaded := New()
		assert.NilError(t, loaded.Load(g.Save()))
		assert.Assert(t, proto.Equal(loaded.Job(jobID).Record(), g.Job(jobID).Record()))
		assert.Assert(t, proto.Equal(loaded.Save(), g.Save()))
	})
}

// Guards against tasks that run again after they are done, or attempts that are counted
// twice: agents report an end again if the answer was lost or the leader changed.
func TestRepeatedCompletionsAreIgnored(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1)))
	failed := endCommand("a1", runID(0, 0, 1), wire.RunOutcome_RUN_OUTCOME_FAILED)
	g.Apply(noon, failed)
	g.Apply(noon, failed)
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	g.Apply(noon, placeCommand("a2", runID(0, 0, 2)))
	g.Apply(noon, failed)
	assert.Equal(t, g.FindTask(runID(0, 0, 2)).Agent, "a2")
	g.Apply(noon, endCommand("a1", runID(0, 0, 2), wire.RunOutcome_RUN_OUTCOME_DONE))
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 0)
}

func TestPlacementsAreChecked(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 3})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1)))
	g.Apply(noon, agentCommand("a2", true))
	cases := []struct {
		name  string
		agent string
		id    *wire.RunId
		want  error
	}{
		{"already placed", "a1", runID(0, 0, 2), ErrNotReady},
		{"unknown job", "a1", &wire.RunId{Job: "other", Run: 1}, ErrUnknownJob},
		{"no such task", "a1", runID(0, 9, 1), ErrUnknownJob},
		{"unknown agent", "a9", runID(0, 1, 1), ErrUnknownAgent},
		{"leaving agent", "a2", runID(0, 1, 1), ErrAgentLeaving},
		{"run number isn't higher", "a1", runID(0, 1, 0), ErrSuperseded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.ErrorIs(t, g.Apply(noon, placeCommand(c.agent, c.id)).PlacementErrors[0], c.want)
		})
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	for n := uint32(1); n <= 2; n++ {
		assert.NilError(t, g.Apply(noon, placeCommand("a1", runID(0, 0, n))).PlacementErrors[0])
		g.Apply(noon, endCommand("a1", runID(0, 0, n), wire.RunOutcome_RUN_OUTCOME_FAILED))
	}
	assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
}

// Only failures count as attempts, and the attempts of standing tasks aren't limited.
func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	lost := []wire.RunOutcome{
		wire.RunOutcome_RUN_OUTCOME_STOPPED, wire.RunOutcome_RUN_OUTCOME_LAPSED, wire.RunOutcome_RUN_OUTCOME_BROKEN,
		wire.RunOutcome_RUN_OUTCOME_ALONE, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, wire.RunOutcome_RUN_OUTCOME_LOST,
	}
	t.Run("other outcomes", func(t *testing.T) {
		g := newTestGraph(t, &wire.Step{Count: 1})
		for i, o := range lost {
			g.Apply(noon, placeCommand("a1", runID(0, 0, uint32(i+1))))
			g.Apply(noon, endCommand("a1", runID(0, 0, uint32(i+1)), o))
		}
		assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	})
	t.Run("standing", func(t *testing.T) {
		g := newTestGraph(t, &wire.Step{Count: 1, Standing: true})
		for n := uint32(1); n <= 9; n++ {
			g.Apply(noon, placeCommand("a1", runID(0, 0, n)))
			g.Apply(noon, endCommand("a1", runID(0, 0, n), wire.RunOutcome_RUN_OUTCOME_FAILED))
		}
		assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	})
}

func TestGangEndsTogether(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 3, Gang: true})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1), runID(0, 2, 1)))
	g.Apply(noon, endCommand("a1", runID(0, 1, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	assertState(t, g, wire.WorkState_WORK_STATE_COMPLETED, 0)
	g.Apply(noon, endCommand("a1", runID(0, 0, 1), wire.RunOutcome_RUN_OUTCOME_DONE))
	assert.Equal(t, g.FindTask(runID(0, 0, 1)).Agent, "")
}

// A removed agent can't register again: its messages were sent before its removal.
func TestRemovedAgentsStayRemoved(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1)))
	drop := &wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: "a1"}}}
	assert.NilError(t, g.Apply(noon, drop).Err)
	assertState(t, g, wire.WorkState_WORK_STATE_RUNNING, 1)
	assert.ErrorIs(t, g.Apply(noon, agentCommand("a1", false)).Err, ErrUnknownAgent)
	assert.Assert(t, g.AgentRemoved("a1"))
}

// Guards against new work for a leaving agent when its report that it is leaving overtakes
// an older one.
func TestLeavingIsFinal(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	g.Apply(noon, agentCommand("a1", true))
	g.Apply(noon, agentCommand("a1", false))
	assert.ErrorIs(t, g.Apply(noon, placeCommand("a1", runID(0, 0, 1))).PlacementErrors[0], ErrAgentLeaving)
}

func TestCatalogVersions(t *testing.T) {
	g := New()
	g.Apply(noon, catalog(5, 1))
	g.Apply(noon, catalog(5, 9))
	g.Apply(noon, catalog(3, 9))
	assert.Equal(t, g.Queue("q").MaxAttempts, uint32(1))
	g.Apply(noon, catalog(6, 9))
	assert.Equal(t, g.Queue("q").MaxAttempts, uint32(9))
}

func TestMatch(t *testing.T) {
	g := New()
	g.Apply(noon, catalog(1, 1))
	cases := []struct{ host, path, queue, rest string }{
		{"h", "/a/x", "q", "x"},
		{"h", "/a/b/x", "deep", "x"},
		{"h", "/a/", "q", ""},
		{"h", "/other/x", "", ""},
		{"g", "/a/x", "", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			q, rest := g.MatchQueue(c.host, c.path)
			assert.Equal(t, q.GetName(), c.queue)
			assert.Equal(t, rest, c.rest)
		})
	}
}

// Guards against a caller who cancels another account's job through a queue of its own.
func TestCancelNamesTheQueue(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	cancel := func(queue string) error {
		return g.Apply(noon, &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: jobID, Queue: queue}}}).Err
	}
	assert.ErrorIs(t, cancel("deep"), ErrUnknownJob)
	assertState(t, g, wire.WorkState_WORK_STATE_QUEUED, 1)
	assert.NilError(t, cancel("q"))
	assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
}

func TestSubmitIsIdempotent(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	assert.NilError(t, g.Apply(noon, submitCommand(jobID, &wire.Step{Count: 1})).Err)
	assert.Equal(t, len(g.Jobs()), 1)
	assert.ErrorIs(t, g.Apply(noon, submitCommand(jobID, &wire.Step{Count: 2})).Err, ErrContentMismatch)
}

func TestValidation(t *testing.T) {
	step := &wire.Step{Count: 1}
	queue := func(name, pool string) *wire.Queue {
		return &wire.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: pool}
	}
	duplicate := queue("b", "p")
	duplicate.PathPrefix = "/a/"
	pools := []*wire.WorkerPool{{Name: "p"}}
	cases := []struct {
		name string
		err  error
		ok   bool
	}{
		{"a job", CheckSpec(&wire.WorkSpec{Steps: []*wire.Step{step}}), true},
		{"no steps", CheckSpec(&wire.WorkSpec{}), false},
		{"no tasks", CheckSpec(&wire.WorkSpec{Steps: []*wire.Step{{}}}), false},
		{"after itself", CheckSpec(&wire.WorkSpec{Steps: []*wire.Step{{Count: 1, After: []uint32{0}}}}), false},
		{"after a standing step", CheckSpec(&wire.WorkSpec{Steps: []*wire.Step{{Count: 1, Standing: true}, {Count: 1, After: []uint32{0}}}}), false},
		{"too many tasks", CheckSpec(&wire.WorkSpec{Occurrences: 1000, Steps: []*wire.Step{{Count: 1000}}}), false},
		{"payload too long", CheckSpec(&wire.WorkSpec{Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []*wire.Step{step}}), false},
		{"an id", CheckID("5c0e7a21d94b36f8"), true},
		{"a short id", CheckID("5c0e"), false},
		{"an id with other letters", CheckID("5c0e7a21d94b36fz"), false},
		{"a catalog", CheckCatalog(&wire.Catalog{Queues: []*wire.Queue{queue("a", "p")}, Pools: pools}), true},
		{"unknown pool", CheckCatalog(&wire.Catalog{Queues: []*wire.Queue{queue("a", "x")}, Pools: pools}), false},
		{"same host and path", CheckCatalog(&wire.Catalog{Queues: []*wire.Queue{queue("a", "p"), duplicate}, Pools: pools}), false},
		{"same name", CheckCatalog(&wire.Catalog{Queues: []*wire.Queue{queue("a", "p"), queue("a", "p")}, Pools: pools}), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.ok {
				assert.NilError(t, c.err)
				return
			}
			assert.ErrorIs(t, c.err, ErrInvalid)
		})
	}
}

// Guards against state that Apply depends on but that is missing from snapshots: after
// random commands with snapshots in between, both replicas have the same state.
func TestSnapshotIsComplete(t *testing.T) {
	for n := range uint64(200) {
		random := rand.New(rand.NewPCG(n, 3))
		direct, reloaded := New(), New()
		for i := range 120 {
			c := randomCommand(random)
			at := noon.Add(time.Duration(i) * time.Second)
			one := direct.Apply(at, proto.Clone(c).(*wire.WorkCommand))
			two := reloaded.Apply(at, proto.Clone(c).(*wire.WorkCommand))
			assert.DeepEqual(t, fmt.Sprint(one), fmt.Sprint(two))
			if random.IntN(4) == 0 {
				data, err := proto.Marshal(reloaded.Save())
				assert.NilError(t, err)
				image := &wire.WorkImage{}
				assert.NilError(t, proto.Unmarshal(data, image))
				assert.NilError(t, reloaded.Load(image))
			}
			assert.Assert(t, proto.Equal(direct.Save(), reloaded.Save()), "seed %d, step %d", n, i)
			assert.Equal(t, len(direct.SortedReadyStages()), len(reloaded.SortedReadyStages()), "seed %d, step %d", n, i)
			assert.Equal(t, direct.PendingJobs("q"), reloaded.PendingJobs("q"), "seed %d, step %d", n, i)
		}
	}
}

func randomCommand(random *rand.Rand) *wire.WorkCommand {
	agent := fmt.Sprintf("a%d", random.IntN(4))
	job := fmt.Sprintf("%016x", random.IntN(4))
	id := &wire.RunId{
		Job: job, Occurrence: uint32(random.IntN(2)), Step: uint32(random.IntN(3)), Index: uint32(random.IntN(2)), Run: uint32(1 + random.IntN(6)),
	}
	switch random.IntN(12) {
	case 0:
		return catalog(uint64(random.IntN(5)), uint32(1+random.IntN(3)))
	case 1:
		return agentCommand(agent, random.IntN(4) == 0)
	case 2:
		return &wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: agent}}}
	case 3:
		c := submitCommand(job, &wire.Step{Count: 2, Gang: random.IntN(3) == 0}, &wire.Step{Count: 1, After: []uint32{0}}, &wire.Step{Count: 1, Standing: random.IntN(4) == 0})
		c.GetSubmit().Spec.Occurrences = uint32(random.IntN(3))
		return c
	case 4:
		return &wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: job, Queue: "q"}}}
	case 5, 6, 7, 8:
		return placeCommand(agent, id)
	default:
		return endCommand(agent, id, wire.RunOutcome(1+random.IntN(8)))
	}
}

// This file defines the tests of how the outcomes of orders are resolved.

package drive_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

// scriptedEngine is an engine whose orders are answered by the test and whose commands are
// committed immediately.
type scriptedEngine struct {
	t      *testing.T
	graph  *graph.Graph
	engine *drive.Engine
	now    time.Duration
	orders []drive.Order
}

func newScriptedEngine(t *testing.T) *scriptedEngine {
	t.Helper()
	s := &scriptedEngine{t: t, graph: graph.New()}
	s.engine = drive.New(drive.Options{
		Graph: s.graph, Lease: modelLease, StopGrace: modelGrace,
		Propose: func(c *wire.Command, done func(state.Result, error)) {
			res := s.graph.Apply(time.Unix(0, 0), c.GetWork())
			done(state.Result{Err: res.Err, PlacementErrors: res.PlacementErrors}, nil)
		},
		IsLeader:  func() (uint64, bool) { return 1, true },
		Send:      func(o drive.Order) { s.orders = append(s.orders, o) },
		BootClock: func() time.Duration { return s.now },
		WallClock: func() time.Time { return time.Unix(0, 0).Add(s.now) },
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for _, c := range []*wire.WorkCommand{
		{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
			Version: 1, Queues: []*wire.Queue{{Name: "q", Pool: "p"}}, Pools: []*wire.WorkerPool{{Name: "p"}},
		}}},
		{Body: &wire.WorkCommand_PutAgent{PutAgent: &wire.Agent{Id: "a", Address: "x", Pool: "p", CpuMillis: 8000, MemoryMb: 8000}}},
		{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: "j", Queue: "q", Spec: &wire.WorkSpec{
			Steps: []*wire.Step{{Count: 1, CpuMillis: 1000, EstimateMs: 1000}},
		}}}},
	} {
		assert.NilError(t, s.graph.Apply(time.Unix(0, 0), c).Err)
	}
	return s
}

// next advances the time until an order of a kind is sent, and returns it.
func (s *scriptedEngine) next(kind drive.Kind) drive.Order {
	s.t.Helper()
	for range 1000 {
		for i, o := range s.orders {
			if o.Kind == kind {
				s.orders = append(s.orders[:i], s.orders[i+1:]...)
				return o
			}
		}
		s.now += simTick
		s.engine.Tick(s.now)
	}
	s.t.Fatalf("no %v was sent", kind)
	return drive.Order{}
}

// answer answers an order and commits the resulting completions.
func (s *scriptedEngine) answer(o drive.Order, v drive.Verdict) {
	s.engine.HandleAnswer(s.now, drive.Answer{Order: o, Verdict: v, ClockKnown: v == drive.Accepted, Clock: s.now})
	s.engine.FlushEnds()
}

// task returns the only task.
func (s *scriptedEngine) task() *graph.Task { return s.graph.Job("j").Occurrences[0][0].Tasks[0] }

// Guards against a task that runs twice: a start without an answer is sent again and refused, and
// the first copy arrives later. A refusal says nothing about other copies of the start.
func TestRefusalDoesNotResolveOtherCopy(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.NoAnswer)
	s.answer(s.next(drive.Start), drive.RefusedCapacity)
	assert.Equal(t, s.task().Agent, "a", "the run was resolved while a copy of its start may arrive")
	s.answer(s.next(drive.Stop), drive.Accepted)
	s.orders = nil
	s.engine.HandleAnswer(s.now, drive.Answer{Order: drive.Order{Kind: drive.Poll, Agent: &wire.Agent{Id: "a"}, Fence: 1, SentAt: s.now + 1}, Verdict: drive.Accepted})
	s.now += time.Second
	s.engine.Tick(s.now)
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(2))
}

// A refusal of the only copy resolves the run immediately.
func TestRefusalOfOnlyCopyResolves(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.RefusedCapacity)
	assert.Equal(t, s.task().Agent, "")
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(2))
}

// Guards against placing work on an agent that hasn't seen this leader's fence and still accepts
// orders of an earlier leader.
func TestNoStartBeforeFenceIsKnown(t *testing.T) {
	s := newScriptedEngine(t)
	s.next(drive.Poll)
	for range 100 {
		s.now += simTick
		s.engine.Tick(s.now)
	}
	for _, o := range s.orders {
		assert.Assert(t, o.Kind != drive.Start)
	}
	assert.Equal(t, s.task().Run, uint32(0))
}

// Guards against a task that waits forever after its run disappeared from the agent's answers
// without a completion.
func TestMissingRunIsResolved(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.Accepted)
	s.now += time.Second
	s.answer(s.next(drive.Poll), drive.Accepted) // sent before the start was answered: resolves nothing
	assert.Equal(t, s.task().Agent, "a")
	s.now += time.Second
	s.answer(s.next(drive.Poll), drive.Accepted)
	assert.Equal(t, s.task().Agent, "")
}

// Guards against work of a lost agent that restarts without its checkpoint: a lost agent lists
// no completions, so checkpoints must also be saved from its earlier answers to polls.
func TestWorkOfLostAgentResumes(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.Accepted)
	s.engine.HandleAnswer(s.now, drive.Answer{Order: s.next(drive.Poll), Verdict: drive.Accepted, Running: []drive.RunStatus{
		{Run: s.task().ID(), Checkpoint: "saved-7", ProgressPercent: 50},
	}})
	s.answer(s.next(drive.Poll), drive.OtherIncarnation)
	assert.Equal(t, s.task().Agent, "")
	assert.Equal(t, s.task().Checkpoint, "saved-7")
}

// Guards against an agent whose lease never expires because each unanswered poll carries a later
// deadline.
func TestLostAgentIsAbandoned(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.Accepted)
	s.now += time.Second
	lastGrant := s.now
	for s.task().Agent != "" && s.now < time.Minute {
		for _, o := range s.orders {
			s.answer(o, drive.NoAnswer)
		}
		s.orders = nil
		s.now += simTick
		s.engine.Tick(s.now)
	}
	assert.Equal(t, s.task().Agent, "", "its run is never resolved")
	maxLease := modelLease * 100 / 98
	assert.Assert(t, s.now > lastGrant+maxLease-time.Second, "abandoned after %v, before its lease has certainly expired", s.now-lastGrant)
	assert.Assert(t, s.now < lastGrant+maxLease+4*time.Second, "abandoned after %v", s.now-lastGrant)
}

// A start for an agent that became unreachable doesn't extend its lease, and is sent once the
// agent answers.
func TestNoStartToUnreachableAgent(t *testing.T) {
	s := newScriptedEngine(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	first := s.next(drive.Start)
	s.answer(s.next(drive.Poll), drive.NoAnswer)
	s.answer(first, drive.NoAnswer)
	for range 5 {
		s.answer(s.next(drive.Poll), drive.NoAnswer)
	}
	for _, o := range s.orders {
		assert.Assert(t, o.Kind != drive.Start, "a start was sent to an unreachable agent")
	}
	s.answer(s.next(drive.Poll), drive.Accepted)
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(1))
}

// Guards against agents registered from any heartbeat that can be decoded, and against orders to
// addresses that aren't agents.
func TestInvalidReportsRegisterNoAgent(t *testing.T) {
	s := newScriptedEngine(t)
	s.engine.Tick(s.now)
	report := func(id, address, pool string) {
		called := false
		s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: &wire.Agent{Id: id, Address: address, Pool: pool, CpuMillis: 8000}}, func(err error) {
			called = true
			assert.NilError(t, err)
		})
		assert.Assert(t, called)
	}
	report("b", "y", "nobody's")
	assert.Assert(t, s.graph.Agent("b") == nil, "a pool that isn't in the catalog")
	report("a", "elsewhere", "p")
	assert.Equal(t, s.graph.Agent("a").Record.Address, "x", "an existing id with another address")
	report("a", "x", "q")
	assert.Equal(t, s.graph.Agent("a").Record.Pool, "p", "an existing id with another pool")
	report("b", "y", "p")
	assert.Assert(t, s.graph.Agent("b") != nil)
}

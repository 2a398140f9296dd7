// This file defines the tests of how single orders are settled.

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

// script is an engine whose orders are answered by hand and whose commands are
// committed at once.
type script struct {
	t      *testing.T
	graph  *graph.Graph
	engine *drive.Engine
	now    time.Duration
	orders []drive.Order
}

func newScript(t *testing.T) *script {
	t.Helper()
	s := &script{t: t, graph: graph.New()}
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

// next lets time go by until an order of a kind is sent, and takes it.
func (s *script) next(kind drive.Kind) drive.Order {
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
	s.t.Fatalf("no %v is sent", kind)
	return drive.Order{}
}

// answer gives an answer and has committed what follows from it.
func (s *script) answer(o drive.Order, v drive.Verdict) {
	s.engine.HandleAnswer(s.now, drive.Answer{Order: o, Verdict: v, ClockKnown: v == drive.Accepted, Clock: s.now})
	s.engine.FlushEnds()
}

// task is the only task there is.
func (s *script) task() *graph.Task { return s.graph.Job("j").Occurrences[0][0].Tasks[0] }

// Symptom: a task runs twice. Sequence: a start has no answer and is on its way
// still; it is sent again and refused, for want of room; the task is placed
// elsewhere; the first copy arrives and is carried out. Cause: a refusal speaks
// for the copy that it answers, not for the others.
func TestRefusalDoesNotSpeakForACopyUnderWay(t *testing.T) {
	s := newScript(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.NoAnswer)
	s.answer(s.next(drive.Start), drive.RefusedCapacity)
	assert.Equal(t, s.task().Agent, "a", "the run is given up while a copy of its start is on its way")
	s.answer(s.next(drive.Stop), drive.Accepted)
	s.orders = nil
	s.engine.HandleAnswer(s.now, drive.Answer{Order: drive.Order{Kind: drive.Poll, Agent: &wire.Agent{Id: "a"}, Fence: 1, SentAt: s.now + 1}, Verdict: drive.Accepted})
	s.now += time.Second
	s.engine.Tick(s.now)
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(2))
}

// A refusal of the only copy settles the run at once.
func TestRefusalOfTheOnlyCopySettles(t *testing.T) {
	s := newScript(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.RefusedCapacity)
	assert.Equal(t, s.task().Agent, "")
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(2))
}

// Symptom: work is placed on an agent that an earlier leader still orders.
// Cause: the agent hasn't seen this leader's fence yet.
func TestNoStartBeforeTheFenceWasSeen(t *testing.T) {
	s := newScript(t)
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

// A run that was there and isn't listed any more, without an end, is settled so
// that its task doesn't wait for ever.
func TestVanishedRunIsSettled(t *testing.T) {
	s := newScript(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.Accepted)
	s.now += time.Second
	s.answer(s.next(drive.Poll), drive.Accepted) // asked before the start was answered: says nothing
	assert.Equal(t, s.task().Agent, "a")
	s.now += time.Second
	s.answer(s.next(drive.Poll), drive.Accepted)
	assert.Equal(t, s.task().Agent, "")
}

// Symptom: work of a lost agent begins from nothing though it had saved its
// progress. Cause: only ends brought checkpoints, and a lost agent lists none.
func TestLostAgentsWorkResumes(t *testing.T) {
	s := newScript(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	s.answer(s.next(drive.Start), drive.Accepted)
	s.engine.HandleAnswer(s.now, drive.Answer{Order: s.next(drive.Poll), Verdict: drive.Accepted, Running: []drive.RunStatus{
		{Run: s.task().ID(), Checkpoint: "saved-7", ProgressPercent: 50},
	}})
	s.answer(s.next(drive.Poll), drive.OtherIncarnation)
	assert.Equal(t, s.task().Agent, "")
	assert.Equal(t, s.task().Checkpoint, "saved-7")
}

// Symptom: standing tasks stay away for the rest of the day though there is room
// for them. Sequence: an agent is gone for good, without a word, and no other
// incarnation comes to its address; holds are sent to it for as long as nothing
// answers. Cause: each of them bore a longer lease that might have been taken, so
// that the end of the lease moved ahead with every try.
func TestAgentGoneForGoodIsGivenUp(t *testing.T) {
	s := newScript(t)
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
	assert.Equal(t, s.task().Agent, "", "its run is never given up")
	lapsed := modelLease * 100 / 98
	assert.Assert(t, s.now > lastGrant+lapsed-time.Second, "given up after %v, before its lease has surely run out", s.now-lastGrant)
	assert.Assert(t, s.now < lastGrant+lapsed+4*time.Second, "given up after %v", s.now-lastGrant)
}

// A start that was placed while its agent fell silent prolongs no lease either,
// and is sent once the agent is heard again.
func TestNoStartToASilentAgent(t *testing.T) {
	s := newScript(t)
	s.answer(s.next(drive.Poll), drive.Accepted)
	first := s.next(drive.Start)
	s.answer(s.next(drive.Poll), drive.NoAnswer)
	s.answer(first, drive.NoAnswer)
	for range 5 {
		s.answer(s.next(drive.Poll), drive.NoAnswer)
	}
	for _, o := range s.orders {
		assert.Assert(t, o.Kind != drive.Start, "a start is sent to a silent agent")
	}
	s.answer(s.next(drive.Poll), drive.Accepted)
	assert.Equal(t, s.next(drive.Start).Run.Run, uint32(1))
}

// Symptom: the state and the log fill with agents on which nothing ever runs, and
// orders go to addresses that aren't agents. Cause: each heartbeat that could be
// read made an agent, whoever wrote it.
func TestReportsOfOtherWritersMakeNoAgent(t *testing.T) {
	s := newScript(t)
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
	assert.Assert(t, s.graph.Agent("b") == nil, "a pool that no catalog names")
	report("a", "elsewhere", "p")
	assert.Equal(t, s.graph.Agent("a").Record.Address, "x", "an agent's id with another address")
	report("a", "x", "q")
	assert.Equal(t, s.graph.Agent("a").Record.Pool, "p", "an agent's id with another pool")
	report("b", "y", "p")
	assert.Assert(t, s.graph.Agent("b") != nil)
}

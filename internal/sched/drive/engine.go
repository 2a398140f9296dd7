// This file defines Engine, its start and its turn.

// Package drive is what the leader does to have jobs of steps run: it keeps
// leases on agents, places tasks, orders starts and stops and settles what
// became of orders without an answer.
//
// Engine is plain data with rules: time, commits and answers come in, orders
// and proposals go out. It belongs to one goroutine. All that it knows beside
// the replicated state is soft and is learned anew by each leader.
package drive

import (
	"log/slog"
	"time"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

type (
	// Options are fixed for the life of an Engine.
	Options struct {
		Graph *graph.Graph
		// Propose has a command committed; done is called on the goroutine
		// that the engine belongs to.
		Propose func(command *wire.Command, done func(state.Result, error))
		// Leads tells the term in which this replica leads and has applied all
		// that earlier leaders committed.
		IsLeader func() (term uint64, ok bool)
		// HoldsLeaderLease tells whether a quorum has confirmed the lead in the term so
		// lately that orders may leave. Nil is always.
		HoldsLeaderLease func(term uint64) bool
		// Send hands an order over without blocking. Its answer comes back
		// through Answered.
		Send func(Order)
		// Advise asks the outside service without blocking; its answer comes back
		// through Advised. Nil where there is none.
		Advise func(AdviceRequest)
		// Wall is the time of day, for work that is due at one.
		WallClock func() time.Time
		// Boot is a clock that also counts suspension; package boot's when nil.
		BootClock func() time.Duration
		// Lease is how long an agent may run on without hearing from the
		// leader, StopGrace how long it takes at most to stop a run.
		Lease, StopGrace time.Duration
		// OtherRackFactor is how many times as long a task takes away from the
		// rack of its data; 1 when below.
		OtherRackFactor float64
		// Connections is how many connections to agents there may be; 0 is as many as are
		// wanted.
		MaxConnections int
		// Off are mechanisms that are switched off.
		Disabled map[Feature]bool
		Logger   *slog.Logger
	}

	// Engine drives the agents while this replica leads.
	Engine struct {
		options     Options
		graph       *graph.Graph
		term        uint64 // in which it drives; 0 when it doesn't
		leaderSince time.Duration
		now         time.Duration
		agents      map[string]*agent
		runs        map[*graph.Task]*run
		// ended are the ends that this turn commits.
		pendingEnds endBatch
		// touched are the agents that the replicated state changed since it was followed.
		changedAgents map[string]bool
		// pools are the agents by pool, in the order of their ids; nil when they are to
		// be sorted anew. lists are the rooms of the latest pass, kept for their memory.
		agentsByPool map[string][]*agent
		// sorted are all agents in the order of their ids; nil when they are to be sorted
		// anew.
		sortedAgents []*agent
		freeByPool   map[string][]*freeResources
		// loads are what runs, kept as runs come and go.
		runningCPU map[loadKey]float64
		// searched is where the next search for an agent begins, where not all are
		// looked at.
		searchOffset int
		// overlooked are the ids that were given up and reported again, with the
		// incarnation that did.
		ignoredReports map[string]uint64
		// dirty tells that something to place or a place may have come up.
		placementDirty   bool
		placementPending bool
		nextTimedCheck   time.Duration
		estimates        estimates
		tailModel        tails.Model
		// ordinaryDemand is in thousandths of a processor, by pool.
		ordinaryDemand map[string]float64
		// ordinarySince is when ordinary work was first seen, by pool.
		ordinarySince       map[string]time.Duration
		nextDemandDecay     time.Duration
		nextCleanup         time.Duration
		nextSave            time.Duration // when what is learned is kept again
		savedEstimates      *wire.Learned
		nextDemandUpdate    time.Duration
		longPolls           int           // under way that wait for an end
		nextUnreachableScan time.Duration // when silent agents are looked for
		unreachablePending  bool          // such a proposal is under way
		// nextReconcile and nextPass are when agents and runs are looked after, and
		// tasks placed, at the earliest; passTook is what the last pass took.
		nextReconcile, nextPass time.Duration
		// clearing is the agent on which room grows for a standing task.
		reservations  map[*graph.Task]string
		advice        map[*graph.Stage]*stageAdvice
		advicePending bool // a call is under way
		nextAdvice    time.Duration
		// line is the order in which stages are served, fresh those that came since it
		// was made.
		queue      pendingQueue
		newlyReady []*graph.Stage
		// readySince is when each stage was first seen with tasks to place.
		readySince map[*graph.Stage]time.Duration
	}
)

const (
	// timedCheckInterval is how often work that is due by the time of day is looked
	// for.
	timedCheckInterval = 50 * time.Millisecond
	// reconcileInterval is how often the agents and runs that wait for something are looked
	// after, beside those that something was just heard of.
	reconcileInterval = 20 * time.Millisecond
	// passGapFactor is how many times a pass's own time lies between two passes, so
	// that placing takes at most half of the processor however much waits.
	passGapFactor = 1
	// minPassInterval is the least time between two passes: what comes together
	// is placed and committed together.
	minPassInterval = 3 * time.Millisecond
)

// New returns an engine that doesn't drive yet.
func New(options Options) *Engine {
	if options.BootClock == nil {
		options.BootClock = boot.Now
	}
	options.OtherRackFactor = max(options.OtherRackFactor, 1)
	e := &Engine{options: options, graph: options.Graph}
	e.graph.OnChange = func() { e.placementDirty = true }
	e.graph.OnAgentChange = func(agent string) {
		if e.term != 0 {
			e.changedAgents[agent] = true
		}
	}
	e.graph.OnStageReady = func(s *graph.Stage) {
		if e.term != 0 {
			e.newlyReady = append(e.newlyReady, s)
		}
	}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.agents = map[string]*agent{}
	e.runs = map[*graph.Task]*run{}
	e.changedAgents = map[string]bool{}
	e.pendingEnds = endBatch{}
	e.agentsByPool, e.sortedAgents, e.freeByPool = nil, nil, map[string][]*freeResources{}
	e.ignoredReports = map[string]uint64{}
	e.runningCPU = map[loadKey]float64{}
	e.queue, e.newlyReady = pendingQueue{}, nil
	e.readySince = map[*graph.Stage]time.Duration{}
	e.reservations = map[*graph.Task]string{}
	clear(e.estimates.jobs)
	e.advice, e.advicePending = map[*graph.Stage]*stageAdvice{}, false
	e.placementPending, e.unreachablePending, e.longPolls = false, false, 0
	e.placementDirty = true
}

// Turn does what has become due. Now is the boot clock.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	term, leads := e.options.IsLeader()
	if !leads {
		if e.term != 0 {
			e.options.Logger.Info("driving ends: leadership lost", "term", e.term)
			e.term = 0
			e.reset()
		}
		return
	}
	if term != e.term {
		e.startTerm(term)
	}
	e.syncState()
	e.flushEnds()
	// Without the right to order all would be sent in vain, again each turn.
	if e.options.HoldsLeaderLease != nil && !e.options.HoldsLeaderLease(e.term) {
		return
	}
	if now >= e.nextReconcile {
		e.nextReconcile = now + reconcileInterval
		e.reconcileAgents()
		e.commitUnreachable()
		e.saveEstimates()
	}
	e.place()
}

// Wake is how long from now the engine wants its next turn at the latest.
func (e *Engine) NextTick() time.Duration {
	if e.term == 0 {
		return timedCheckInterval
	}
	wake := e.nextReconcile
	if e.placementDirty && !e.placementPending {
		wake = min(wake, e.nextPass)
	}
	return max(wake-e.now, 0)
}

// adopt begins to drive. Every run in the state may exist and what became of
// it is unknown until its agent has answered under this leader's fence.
func (e *Engine) startTerm(term uint64) {
	e.reset()
	e.term, e.leaderSince = term, e.now
	for id := range e.graph.Agents() {
		e.changedAgents[id] = true
	}
	e.restoreEstimates()
	e.options.Logger.Info("driving begins", "term", term, "agents", len(e.graph.Agents()), "jobs", len(e.graph.Jobs()))
}

// propose has a command about jobs of steps committed.
func (e *Engine) propose(command *wire.WorkCommand, done func(state.Result, error)) {
	term := e.term
	e.options.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(res state.Result, err error) {
		if e.term != term {
			return // the soft state that asked is gone
		}
		e.placementDirty = true
		if done != nil {
			done(res, err)
		}
	})
}

// send hands over an order under this leader's fence.
func (e *Engine) send(at *agent, o Order) {
	o.Agent, o.Incarnation, o.Fence, o.SentAt = at.record, at.incarnation, e.term, e.now
	e.options.Send(o)
}

// Answered takes the answer to an order.
func (e *Engine) HandleAnswer(now time.Duration, a Answer) {
	e.now = now
	if a.Order.Fence != e.term || e.term == 0 {
		return // an order of an earlier term; its agent is asked anew
	}
	if a.Order.Kind == Poll && a.Order.Wait > 0 {
		e.longPolls--
	}
	r := e.agents[a.Order.Agent.Id]
	if r == nil {
		return
	}
	r.scheduleReconcile()
	if !e.sameIncarnation(r, a) {
		a.Verdict = OtherIncarnation
	}
	if a.ClockKnown && a.Verdict != OtherIncarnation {
		r.clock.update(a.Clock, now)
	}
	if a.Verdict == OtherIncarnation {
		e.dropAgent(r, superseded, "another incarnation lives at its address")
		return
	}
	r.recordClosedConnection(a)
	switch a.Order.Kind {
	case Poll:
		e.handlePollAnswer(r, a)
	case Start:
		e.handleStartAnswer(r, a)
	case Stop:
		e.handleStopAnswer(r, a)
	case Throttle:
		e.handleThrottleAnswer(r, a)
	}
}

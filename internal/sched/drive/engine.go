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
		options Options
		graph   *graph.Graph
		term    uint64 // in which it drives; 0 when it doesn't
		since   time.Duration
		now     time.Duration
		agents  map[string]*agent
		runs    map[*graph.Task]*run
		// ended are the ends that this turn commits.
		ended endings
		// touched are the agents that the replicated state changed since it was followed.
		touched map[string]bool
		// pools are the agents by pool, in the order of their ids; nil when they are to
		// be sorted anew. lists are the rooms of the latest pass, kept for their memory.
		pools map[string][]*agent
		// sorted are all agents in the order of their ids; nil when they are to be sorted
		// anew.
		sorted []*agent
		lists  map[string][]*room
		// loads are what runs, kept as runs come and go.
		loads map[loadKey]float64
		// searched is where the next search for an agent begins, where not all are
		// looked at.
		searched int
		// overlooked are the ids that were given up and reported again, with the
		// incarnation that did.
		overlooked map[string]uint64
		// dirty tells that something to place or a place may have come up.
		dirty     bool
		placing   bool
		nextTimed time.Duration
		learned   learning
		pressure  tails.Model
		// ordinaryNeed is in thousandths of a processor, by pool.
		ordinaryNeed map[string]float64
		// ordinarySince is when ordinary work was first seen, by pool.
		ordinarySince map[string]time.Duration
		nextNeed      time.Duration
		nextForget    time.Duration
		nextSave      time.Duration // when what is learned is kept again
		saved         *wire.Learned
		nextLook      time.Duration
		waitingHolds  int           // under way that wait for an end
		nextSilence   time.Duration // when silent agents are looked for
		notingSilence bool          // such a proposal is under way
		// nextTend and nextPass are when agents and runs are looked after, and
		// tasks placed, at the earliest; passTook is what the last pass took.
		nextTend, nextPass time.Duration
		// clearing is the agent on which room grows for a standing task.
		clearing   map[*graph.Task]string
		advice     map[*graph.Stage]*advice
		advising   bool // a call is under way
		nextAdvice time.Duration
		// line is the order in which stages are served, fresh those that came since it
		// was made.
		line  line
		fresh []*graph.Stage
		// readySince is when each stage was first seen with tasks to place.
		readySince map[*graph.Stage]time.Duration
	}
)

const (
	// timedInterval is how often work that is due by the time of day is looked
	// for.
	timedInterval = 50 * time.Millisecond
	// tendInterval is how often the agents and runs that wait for something are looked
	// after, beside those that something was just heard of.
	tendInterval = 20 * time.Millisecond
	// passShare is how many times a pass's own time lies between two passes, so
	// that placing takes at most half of the processor however much waits.
	passShare = 1
	// passInterval is the least time between two passes: what comes together
	// is placed and committed together.
	passInterval = 3 * time.Millisecond
)

// New returns an engine that doesn't drive yet.
func New(options Options) *Engine {
	if options.BootClock == nil {
		options.BootClock = boot.Now
	}
	options.OtherRackFactor = max(options.OtherRackFactor, 1)
	e := &Engine{options: options, graph: options.Graph}
	e.graph.OnChange = func() { e.dirty = true }
	e.graph.OnAgentChange = func(agent string) {
		if e.term != 0 {
			e.touched[agent] = true
		}
	}
	e.graph.OnStageReady = func(s *graph.Stage) {
		if e.term != 0 {
			e.fresh = append(e.fresh, s)
		}
	}
	e.forget()
	return e
}

func (e *Engine) forget() {
	e.agents = map[string]*agent{}
	e.runs = map[*graph.Task]*run{}
	e.touched = map[string]bool{}
	e.ended = endings{}
	e.pools, e.sorted, e.lists = nil, nil, map[string][]*room{}
	e.overlooked = map[string]uint64{}
	e.loads = map[loadKey]float64{}
	e.line, e.fresh = line{}, nil
	e.readySince = map[*graph.Stage]time.Duration{}
	e.clearing = map[*graph.Task]string{}
	clear(e.learned.jobs)
	e.advice, e.advising = map[*graph.Stage]*advice{}, false
	e.placing, e.notingSilence, e.waitingHolds = false, false, 0
	e.dirty = true
}

// Turn does what has become due. Now is the boot clock.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	term, leads := e.options.IsLeader()
	if !leads {
		if e.term != 0 {
			e.options.Logger.Info("driving ends: leadership lost", "term", e.term)
			e.term = 0
			e.forget()
		}
		return
	}
	if term != e.term {
		e.adopt(term)
	}
	e.followGraph()
	e.flushEnds()
	// Without the right to order all would be sent in vain, again each turn.
	if e.options.HoldsLeaderLease != nil && !e.options.HoldsLeaderLease(e.term) {
		return
	}
	if now >= e.nextTend {
		e.nextTend = now + tendInterval
		e.tend()
		e.tendSilence()
		e.remember()
	}
	e.place()
}

// Wake is how long from now the engine wants its next turn at the latest.
func (e *Engine) NextTick() time.Duration {
	if e.term == 0 {
		return timedInterval
	}
	wake := e.nextTend
	if e.dirty && !e.placing {
		wake = min(wake, e.nextPass)
	}
	return max(wake-e.now, 0)
}

// adopt begins to drive. Every run in the state may exist and what became of
// it is unknown until its agent has answered under this leader's fence.
func (e *Engine) adopt(term uint64) {
	e.forget()
	e.term, e.since = term, e.now
	for id := range e.graph.Agents() {
		e.touched[id] = true
	}
	e.recall()
	e.options.Logger.Info("driving begins", "term", term, "agents", len(e.graph.Agents()), "jobs", len(e.graph.Jobs()))
}

// propose has a command about jobs of steps committed.
func (e *Engine) propose(command *wire.WorkCommand, done func(state.Result, error)) {
	term := e.term
	e.options.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(res state.Result, err error) {
		if e.term != term {
			return // the soft state that asked is gone
		}
		e.dirty = true
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
		e.waitingHolds--
	}
	r := e.agents[a.Order.Agent.Id]
	if r == nil {
		return
	}
	r.heard()
	if !e.sameIncarnation(r, a) {
		a.Verdict = OtherIncarnation
	}
	if a.ClockKnown && a.Verdict != OtherIncarnation {
		r.clock.note(a.Clock, now)
	}
	if a.Verdict == OtherIncarnation {
		e.dropAgent(r, replaced, "another incarnation lives at its address")
		return
	}
	r.noteClosed(a)
	switch a.Order.Kind {
	case Poll:
		e.holdAnswered(r, a)
	case Start:
		e.startAnswered(r, a)
	case Stop:
		e.stopAnswered(r, a)
	case Throttle:
		e.paceAnswered(r, a)
	}
}

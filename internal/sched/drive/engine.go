// This file defines Engine, its startup and its event loop.

// Package drive is the scheduling engine of the leader. It keeps leases on agents,
// assigns tasks to them, starts, stops and throttles runs, and resolves orders that were
// never answered.
//
// An Engine does no I/O: it is fed the time, committed commands and answers of agents,
// and emits orders and proposals. It is not safe for concurrent use. Everything it holds
// beyond the replicated state is soft state, which each new leader rebuilds.
package drive

import (
	"log/slog"
	"time"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/sched/frag"
	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

type (
	// Options configure an Engine and do not change afterwards.
	Options struct {
		Graph *graph.Graph
		// Propose submits a command to the replicated log. It calls done on the goroutine
		// that owns the engine.
		Propose func(command *wire.Command, done func(state.Result, error))
		// IsLeader returns the term in which this replica is the leader and has applied
		// all entries of earlier terms.
		IsLeader func() (term uint64, ok bool)
		// HoldsLeaderLease reports whether a quorum has confirmed this leader so recently
		// that orders may be sent. Nil means always.
		HoldsLeaderLease func(term uint64) bool
		// Send sends an order without blocking. The answer is passed to HandleAnswer.
		Send func(Order)
		// Advise queries the external advice service without blocking. The answer is
		// passed to HandleAdvice. Nil if there is no such service.
		Advise func(AdviceRequest)
		// WallClock returns the time of day, against which the due times of stages are
		// checked.
		WallClock func() time.Time
		// BootClock is a monotonic clock that includes suspension. Default: boot.Now.
		BootClock func() time.Duration
		// Lease is how long an agent keeps its runs without contact to the leader;
		// StopGrace is the longest time it takes to stop a run.
		Lease, StopGrace time.Duration
		// OtherRackFactor is the slowdown of a task that runs outside the rack of its
		// data; values below 1 count as 1.
		OtherRackFactor float64
		// JobMemory limits what all jobs take, in bytes by estimate; 0 means no limit.
		JobMemory int64
		// AgentMemory limits what registered agents take, in bytes by estimate; 0 means no
		// limit.
		AgentMemory int64
		// MaxConnections limits the connections to agents; 0 means no limit.
		MaxConnections int
		// Disabled are the features that are switched off.
		Disabled map[Feature]bool
		// Enabled are the optional features that are switched on.
		Enabled map[Feature]bool
		Logger  *slog.Logger
	}

	// Engine schedules jobs and drives the agents while this replica is the leader.
	Engine struct {
		options     Options
		graph       *graph.Graph
		term        uint64 // the term it leads in; 0 if it is not the leader
		leaderSince time.Duration
		electedAt   time.Time // the same by the time of day
		now         time.Duration
		agents      directory
		runs        map[*graph.Task]*run
		// endedJobRuns are the runs of ended jobs.
		endedJobRuns    map[*run]bool
		nextOverdueScan time.Duration
		logs            runLogs
		// pendingEnds are the run ends to commit at the next flush.
		pendingEnds endBatch
		// changedAgents are the agents whose replicated state changed since the last
		// sync.
		changedAgents map[string]bool
		// due are the agents to reconcile.
		due dueAgents
		// freeByPool are the free resources by pool of the latest pass, kept to reuse their
		// memory.
		freeByPool map[string][]*freeResources
		// runningCPU sums the requested CPU of all runs, in millicores.
		runningCPU map[loadKey]float64
		// searchOffset is where the next search over a sample of the agents begins.
		searchOffset int
		// loggedStale maps the own ids of agents to the incarnation whose stale heartbeat
		// was logged last.
		loggedStale map[string]uint64
		// placementDirty indicates that a pass could place something.
		placementDirty   bool
		placementPending bool
		starts           startQueue
		nextTimedCheck   time.Duration
		estimates        estimates
		health           agentHealth
		tailModel        tails.Model
		// ordinaryDemand is the recent peak demand of ordinary tasks by pool, in
		// millicores.
		ordinaryDemand map[string]float64
		// sizeDemand is the recent demand of ordinary tasks by size class, by pool.
		sizeDemand map[string]*frag.Demand
		// waitingCPU is the requested CPU of the ready standing and ordinary tasks by pool, in
		// millicores, as of the last update of sizeDemand.
		waitingCPU map[string]float64
		// ordinarySince is when ordinary work was first seen, by pool.
		ordinarySince       map[string]time.Duration
		nextDemandDecay     time.Duration
		nextCleanup         time.Duration
		nextSave            time.Duration // when to persist the tail model and the agents in quarantine
		savedEstimates      *wire.Learned
		nextDemandUpdate    time.Duration
		longPolls           int // polls in flight that wait for a completion
		firstPolls          firstPolls
		nextUnreachableScan time.Duration // when to scan for unreachable agents
		unreachablePending  bool          // a proposal of commitUnreachable is in flight
		nextCrashScan       time.Duration // when to scan for agents that crashed
		crashesPending      bool          // a proposal of commitCrashReports is in flight
		// nextReconcile and nextPass are the earliest times of the next reconciliation
		// and of the next scheduling pass.
		nextReconcile, nextPass time.Duration
		// reservations maps standing tasks, and tasks on their final attempt, to the
		// agent on which capacity is reserved for them.
		reservations  map[*graph.Task]string
		advice        map[*graph.Stage]*stageAdvice
		advicePending bool // a request is in flight
		nextAdvice    time.Duration
		// queue holds the ready stages in scheduling order, newlyReady those that became
		// ready since it was last updated.
		queue      pendingQueue
		newlyReady []*graph.Stage
		// progress is the progress of each stage that was seen with tasks to place.
		progress  map[*graph.Stage]*stageProgress
		admission admission
		// agentMemory bounds the agents that are registered.
		agentMemory agentMemory
		// failedSearches are the latest searches for agents on which runs can continue.
		failedSearches map[alternativeKind]failedSearch
		// lateStages are stages to report by reportLateStages, in scheduling order.
		lateStages []rankedStage
	}
)

const (
	// timedCheckInterval is the interval at which stages with a due time are checked.
	timedCheckInterval = 50 * time.Millisecond
	// reconcileInterval is the interval at which agents with pending work are reconciled.
	reconcileInterval = 20 * time.Millisecond
	// passGapFactor is the pause between two passes as a multiple of the pass's duration.
	// It limits scheduling to half of one core under any backlog.
	passGapFactor = 1
	// minPassInterval batches what arrives together into one pass and one proposal.
	minPassInterval = 3 * time.Millisecond
)

// New returns an engine that is idle until its replica becomes the leader.
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
	e.agents, e.due, e.firstPolls = directory{}, dueAgents{}, firstPolls{}
	e.runs, e.endedJobRuns, e.logs = map[*graph.Task]*run{}, map[*run]bool{}, runLogs{}
	endedJobRuns.Store(0)
	oldestEndedJobRun.Store(0)
	e.changedAgents = map[string]bool{}
	e.pendingEnds = endBatch{}
	e.freeByPool = map[string][]*freeResources{}
	e.loggedStale = map[string]uint64{}
	e.runningCPU = map[loadKey]float64{}
	e.queue, e.newlyReady = pendingQueue{}, nil
	e.progress = map[*graph.Stage]*stageProgress{}
	e.failedSearches = map[alternativeKind]failedSearch{}
	e.lateStages = nil
	e.reservations = map[*graph.Task]string{}
	clear(e.estimates.jobs)
	e.advice, e.advicePending = map[*graph.Stage]*stageAdvice{}, false
	e.placementPending, e.unreachablePending, e.crashesPending, e.longPolls = false, false, false, 0
	e.starts = startQueue{}
	e.updateStartMetrics()
	e.placementDirty = true
}

// Tick performs all work that is due at now, a time of the boot clock.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	term, isLeader := e.options.IsLeader()
	if !isLeader {
		if e.term != 0 {
			e.options.Logger.Info("leadership lost", "term", e.term)
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
	e.reportOverdueStops()
	defer e.flushLogs()
	// Without the leader lease every order would be dropped before it is sent.
	if !e.holdsLeaderLease() {
		return
	}
	if now >= e.nextReconcile {
		e.nextReconcile = now + reconcileInterval
		e.reconcileAgents()
		e.commitUnreachable()
		e.commitCrashReports()
		e.saveEstimates()
		e.checkHealth()
		e.updateStartMetrics()
	}
	e.place()
	e.sendStarts()
}

func (e *Engine) holdsLeaderLease() bool {
	return e.options.HoldsLeaderLease == nil || e.options.HoldsLeaderLease(e.term)
}

// NextTick returns the longest time after which Tick has to be called again.
func (e *Engine) NextTick() time.Duration {
	if e.term == 0 {
		return timedCheckInterval
	}
	next := e.nextReconcile
	if e.placementDirty && !e.placementPending {
		next = min(next, e.nextPass)
	}
	return max(next-e.now, 0)
}

// startTerm initializes the soft state of a new leader. Every run in the replicated state
// may exist; its actual status is unknown until its agent answers under the new fence.
func (e *Engine) startTerm(term uint64) {
	e.reset()
	e.term, e.leaderSince, e.electedAt = term, e.now, e.options.WallClock()
	for id := range e.graph.Agents() {
		e.changedAgents[id] = true
	}
	e.restoreEstimates()
	e.options.Logger.Info("driving begins", "term", term, "agents", len(e.graph.Agents()), "jobs", len(e.graph.Jobs()))
}

// propose submits a work command and drops the result if the term has ended since.
func (e *Engine) propose(command *wire.WorkCommand, done func(state.Result, error)) {
	term := e.term
	e.options.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(res state.Result, err error) {
		if e.term != term {
			return // the soft state of the caller is gone
		}
		e.placementDirty = true
		if done != nil {
			done(res, err)
		}
	})
}

// send sends an order to an agent with this leader's fence.
func (e *Engine) send(a *agent, o Order) {
	o.Agent, o.Incarnation, o.Fence, o.SentAt = a.record, a.incarnation, e.term, e.now
	e.options.Send(o)
}

// HandleAnswer processes the answer to an order.
func (e *Engine) HandleAnswer(now time.Duration, ans Answer) {
	e.now = now
	if ans.Order.Fence != e.term || e.term == 0 {
		return // sent in an earlier term; each new leader polls every agent itself
	}
	if ans.Order.Kind == Poll && ans.Order.Wait > 0 {
		e.longPolls--
	}
	if ans.Order.first {
		e.firstPolls.inFlight--
		defer e.sendFirstPolls()
	}
	a := e.agents.byID[ans.Order.Agent.Id]
	if ans.Order.Kind == Start {
		e.starts.release()
	}
	if a == nil {
		return
	}
	if ans.Order.Kind == Start {
		a.startsInFlight--
		a.startUnanswered = ans.Verdict == NoAnswer
	}
	e.scheduleReconcile(a)
	if !e.sameIncarnation(a, ans) {
		ans.Verdict = OtherIncarnation
	}
	if ans.ClockKnown && ans.Verdict != OtherIncarnation {
		a.clock.update(ans.Clock, now)
	}
	if ans.Verdict == OtherIncarnation {
		if r := e.findRun(a, ans.Order.Run); r != nil && ans.Order.Kind == Start {
			r.startsAnswered++ // it wasn't executed
		}
		e.dropAgent(a, superseded, "another incarnation lives at its address")
		return
	}
	e.recordClosedConnection(a, ans)
	switch ans.Order.Kind {
	case Poll:
		e.handlePollAnswer(a, ans)
	case Start:
		e.handleStartAnswer(a, ans)
	case Stop:
		e.handleStopAnswer(a, ans)
	case Throttle:
		e.handleThrottleAnswer(a, ans)
	}
	if a.connectionRefused {
		e.reconcileAgent(a) // its tasks wait for its end
	}
}

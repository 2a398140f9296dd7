// This file defines the soft state of an agent and the renewal of its lease.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// pollRetryInterval is the pause after a failed poll.
	pollRetryInterval = 250 * time.Millisecond
	// noConnectionRetryInterval is the pause after a poll that got no connection.
	noConnectionRetryInterval = 50 * time.Millisecond
	// expiredRetryInterval is the poll interval of an unreachable agent whose lease has
	// expired and that has no runs.
	expiredRetryInterval = time.Second
	// unreachableDropAfter is how long an unreachable agent stays registered. An agent
	// that reports no incarnation is never accepted again after that, since a late report
	// of its old process couldn't be told from a new one.
	unreachableDropAfter = 10 * time.Minute
	// suspectAfter is how overdue an answer may be before the agent gets no new tasks.
	suspectAfter = 400 * time.Millisecond
	// refusalBackoff is how long an agent gets no new tasks after it refused a start.
	refusalBackoff = 300 * time.Millisecond
	// reportGracePeriod is how long after an election every agent has reported its
	// current capacity. Agents report every 1.1 s, and immediately if a report isn't
	// acknowledged.
	reportGracePeriod = 1500 * time.Millisecond
)

// agent is the soft state of one registered incarnation of an agent.
type agent struct {
	record *wire.Agent
	runs   map[*graph.Task]*run
	// sortedRuns are the same runs, sorted by compareRuns. Decisions iterate over it
	// instead of the map so that a simulation can be replayed exactly.
	sortedRuns []*run
	clock      agentClock
	// synced is set by the first answer under this leader's fence: from then on the agent
	// refuses orders of earlier leaders.
	synced      bool
	polling     bool
	pollSentAt  time.Duration
	pollWait    time.Duration // how long the agent may hold back its answer
	pollPause   time.Duration // between the answer and the next poll
	nextPoll    time.Duration
	answeredAt  time.Duration // when the last poll was answered
	failedPolls int           // consecutive polls without an answer
	// expiryCommitted is set once the expiry of its leases is proposed or committed.
	expiryCommitted  bool
	connectionClosed bool   // its process has ended; see recordClosedConnection
	lastAcked        uint64 // completions up to this number are committed
	// incarnation identifies the process: the registered incarnation or, if none is
	// registered, that of the first answer; 0 if unknown.
	incarnation  uint64
	endsPending  bool // completions are being committed
	dropping     bool
	backoffUntil time.Duration
	leavesAt     time.Duration // when a leaving agent shuts down; 0 if unknown
	// reportSequence is the sequence number of the latest heartbeat; reported is set once
	// this leader has received one.
	reportSequence      uint64
	reported            bool
	hasLatencyTargets   bool // it has a run with a latency target
	throttleChangedAt   time.Duration
	opportunisticHalted bool // no opportunistic task may start there for now
	// lastShares is the CPU share of each opportunistic run at the latest readings that
	// were fed to the tail model, tailsRecordedAt the time of those.
	lastShares      map[*run]float64
	tailsRecordedAt time.Duration
	// tailsCheckedAt is when its tail latencies were last checked.
	tailsCheckedAt time.Duration
	// colocated is the current CPU share of its opportunistic runs, by image.
	colocated tails.Load
	// reconcileAt is when it is reconciled next; 0 means at the next tick.
	reconcileAt time.Duration
	// free is its free resources as of freeAt; freeStale means that they have to be
	// recomputed.
	free      freeResources
	freeAt    time.Duration
	freeStale bool
}

func (e *Engine) newAgent(registered *graph.Agent) *agent {
	at := &agent{record: registered.Record, runs: map[*graph.Task]*run{}, answeredAt: e.now, freeStale: true, incarnation: registered.Record.Incarnation, expiryCommitted: registered.LeaseExpiry != nil}
	e.agents[registered.Record.Id] = at
	e.agentsByPool, e.sortedAgents = nil, nil
	return at
}

// suspected reports whether the agent may be down or disconnected.
func (e *Engine) suspected(at *agent) bool {
	return at.failedPolls > 0 || (at.polling && e.now > at.pollSentAt+at.pollWait+suspectAfter)
}

// leaseRenewable reports whether an order may carry a deadline, which renews the lease.
func (r *agent) leaseRenewable() bool { return r.failedPolls == 0 && !r.expiryCommitted }

// schedulable reports whether new tasks may be placed on the agent.
func (e *Engine) schedulable(at *agent) bool {
	return at.synced && !at.expiryCommitted && !at.record.Leaving && !at.dropping && !e.suspected(at) && e.now >= at.backoffUntil && e.capacityKnown(at) && !e.drained(at)
}

// drained reports whether the agent's failure domain accepts no new tasks.
func (e *Engine) drained(at *agent) bool { return e.graph.Drained(at.record.FailureDomain) }

// capacityKnown reports whether the registered capacity of an agent is current. It may
// have shrunk while there was no leader. An agent that enforces its capacity refuses what
// doesn't fit; any other would be overcommitted.
func (e *Engine) capacityKnown(at *agent) bool {
	return at.reported || e.now-e.leaderSince >= reportGracePeriod || e.enforcesCapacity(at)
}

// enforcesCapacity reports whether the agent refuses starts that exceed its capacity.
func (e *Engine) enforcesCapacity(at *agent) bool { return e.graph.Pool(at.record.Pool).GetGuarded() }

// reconcileAgent renews the agent's lease, or abandons its runs once the lease has
// expired.
func (e *Engine) reconcileAgent(at *agent) {
	if at.dropping {
		return
	}
	if at.failedPolls > 0 && e.leaseExpired(at) {
		if e.now-at.answeredAt >= unreachableDropAfter {
			e.dropAgent(at, unreachable, "silent for too long")
			return
		}
		e.abandonRuns(at)
	}
	if at.polling || at.endsPending || e.now < at.nextPoll {
		return
	}
	next := e.planPoll(at)
	at.polling, at.pollSentAt, at.pollWait, at.pollPause = true, e.now, next.wait, next.pause
	if next.wait > 0 {
		e.longPolls++
	}
	o := Order{Kind: Poll, LastAcked: at.lastAcked, Wait: next.wait}
	// An unreachable agent's lease is not renewed: any renewal may have arrived, so each
	// retry would postpone its expiry, and the runs would never be abandoned.
	if at.leaseRenewable() {
		o.Deadline = at.clock.grantLease(e.now, e.options.Lease)
	}
	e.send(at, o)
}

func (e *Engine) dropAgent(at *agent, why dropCause, reason string) {
	if at.dropping {
		return
	}
	at.dropping = true
	agentsDropped.Inc()
	e.options.Logger.Info("agent dropped", "agent", at.record.Id, "address", at.record.Address, "reason", reason, "runs", len(at.runs), "silent", e.now-at.answeredAt, "lost", formatLost(at))
	runsLost.Add(len(at.runs))
	e.endLostRuns(at, why)
	e.flushEnds() // before the drop, which would discard their checkpoints
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: at.record.Id, Reason: reason}}},
		func(_ state.Result, err error) {
			if err != nil {
				at.dropping = false
				at.markChanged()
			}
		})
}

func (e *Engine) handlePollAnswer(at *agent, a Answer) {
	at.polling = false
	if a.Verdict == NoConnection {
		at.nextPoll = e.now + noConnectionRetryInterval
		return
	}
	if a.Verdict != Accepted {
		pollsFailed.Inc()
		if a.Verdict != NotSent || at.failedPolls > 0 || e.now-at.answeredAt > suspectAfter {
			at.failedPolls++
		}
		if at.failedPolls == 1 {
			e.options.Logger.Info("agent unreachable", "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
		}
		at.nextPoll = e.now + pollRetryInterval
		if len(at.sortedRuns) == 0 && e.leaseExpired(at) {
			at.nextPoll = e.now + expiredRetryInterval
		}
		return
	}
	if at.failedPolls > 0 {
		e.options.Logger.Info("agent heard again", "agent", at.record.Id, "silent", e.now-at.answeredAt)
		e.placementDirty = true
	}
	at.failedPolls, at.connectionClosed, at.answeredAt, at.nextPoll = 0, false, e.now, e.now+at.pollPause
	first := !at.synced
	if first {
		at.synced = true
		e.placementDirty = true
		e.dropPredecessors(at)
	}
	e.recordRunning(at, a)
	e.recordCompletions(at, a)
	e.resolveMissingRuns(at, a)
	e.checkTails(at)
	e.reconcileAgent(at)
}

// recordClosedConnection checks whether an unanswered order proves that the agent's
// process has ended: the connection of a pending poll was closed, or a new one was
// refused. After failed polls a closed connection proves nothing; it may predate a
// network partition.
func (r *agent) recordClosedConnection(a Answer) {
	waited := a.Order.Kind == Poll && r.failedPolls == 0
	if a.ConnectionClosed && (waited || a.Verdict == NotSent) {
		r.connectionClosed = true
	}
}

// dropPredecessors drops agents that the given one has replaced, by address or by name.
// Its answer proves that their processes, and all of their runs, have ended.
func (e *Engine) dropPredecessors(at *agent) {
	for _, other := range e.agentsByID() {
		if other != at && other.synced && at.precedes(other) {
			// This answer was in flight while its successor answered.
			e.dropAgent(at, superseded, "a later incarnation has answered")
			return
		}
	}
	for _, other := range e.agentsByID() {
		if other != at && (other.record.Address == at.record.Address || other.precedes(at)) {
			e.dropAgent(other, superseded, "another incarnation answered at its address")
		}
	}
}

func (e *Engine) recordRunning(at *agent, a Answer) {
	at.hasLatencyTargets = false
	for i := range a.Running {
		status := &a.Running[i]
		t := e.graph.FindTask(status.Run)
		known := e.runs[t]
		if known != nil && known.agent == at {
			known.listedAt = e.now
		}
		if t == nil || known == nil || known.agent != at || known.number != status.Run.Run {
			e.stopUnknownRun(at, status.Run)
			continue
		}
		known.recordStatus(e.now, status)
		if t.Stage.Step.TailTargetMs > 0 {
			at.hasLatencyTargets = true
		}
	}
}

// stopUnknownRun stops a run that isn't in the replicated state, such as one whose end
// was committed without the agent's report.
func (e *Engine) stopUnknownRun(at *agent, id *wire.RunId) {
	e.options.Logger.Warn("unknown run stopped", "agent", at.record.Id, "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run)
	e.send(at, Order{Kind: Stop, Run: id})
}

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
	// closedRetryInterval is the pause after a poll whose connection was closed. An agent
	// that only lost its connections answers the next poll.
	closedRetryInterval = 20 * time.Millisecond
	// expiredRetryInterval is the poll interval of an unreachable agent whose lease has
	// expired and that has no runs.
	expiredRetryInterval = time.Second
	// unreachableDropAfter is how long an unreachable agent stays registered. An agent
	// that reports no incarnation is never accepted again after that, since a late report
	// of its old process couldn't be distinguished from a new one.
	unreachableDropAfter = 10 * time.Minute
	// suspectAfter is how overdue an answer may be before the agent gets no new tasks.
	suspectAfter = 400 * time.Millisecond
	// refusalBackoff is how long an agent gets no new tasks after it refused a start. It
	// refuses for lack of resources or because it is unhealthy.
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
	synced bool
	// awaitsFirstPoll is set while it is in Engine.firstPolls.
	awaitsFirstPoll bool
	polling         bool
	pollSentAt      time.Duration
	pollWait        time.Duration // how long the agent may hold back its answer
	pollPause       time.Duration // between the answer and the next poll
	nextPoll        time.Duration
	answeredAt      time.Duration // when the last poll was answered
	failedPolls     int           // consecutive polls without an answer
	// expiryCommitted is set once the expiry of its leases is proposed or committed.
	expiryCommitted  bool
	connectionClosed bool // its process has ended; see recordClosedConnection
	// connectionRefused is set while its address refuses connections after its notice of
	// shutdown.
	connectionRefused bool
	// terminatingSince is when this leader learned that it terminates; 0 if it doesn't.
	terminatingSince time.Duration
	// closedAt is when connectionClosed was set.
	closedAt time.Duration
	// crashReported is set once a crash report is proposed or committed.
	crashReported bool
	lastAcked     uint64 // completions up to this number are committed
	// incarnation identifies the process: the registered incarnation or, if none is
	// registered, that of the first answer; 0 if unknown.
	incarnation  uint64
	endsPending  bool // completions are being committed
	dropping     bool
	backoffUntil time.Duration
	// startsInFlight counts its starts in flight, startsWaiting those that wait to be sent;
	// startUnanswered is set if the latest one to end got no answer.
	startsInFlight, startsWaiting int
	startUnanswered               bool
	leavesAt                      time.Duration // earliest shutdown of a leaving agent; 0 if unknown
	// leavingSince is when this leader learned from the state that it is leaving; 0 before.
	leavingSince time.Duration
	// reportSequence is the sequence number of the latest heartbeat, committedSequence that of
	// the latest one whose content is in the state; reported is set once this leader has
	// received one.
	reportSequence      uint64
	committedSequence   uint64
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
	// reconcileAt is when it is due for reconciliation; 0 means at the next one. It is
	// changed by dueAgents only.
	reconcileAt time.Duration
	dueIndex    int
	// free is its free resources as of freeAt; freeStale means that they have to be
	// recomputed.
	free      freeResources
	freeAt    time.Duration
	freeStale bool
	health    cachedHealth
}

func (e *Engine) newAgent(registered *graph.Agent) *agent {
	a := &agent{record: registered.Record, runs: map[*graph.Task]*run{}, answeredAt: e.now, freeStale: true, incarnation: registered.Record.Incarnation, expiryCommitted: registered.LeaseExpiry != nil, crashReported: registered.CrashReport != nil, dueIndex: notQueued}
	e.agents.add(a)
	if a.troubled() {
		e.agents.troubled.add(a)
	}
	e.scheduleReconcile(a)
	return a
}

// suspected reports whether the agent may be down or disconnected.
func (e *Engine) suspected(a *agent) bool {
	return a.failedPolls > 0 || (a.polling && e.now > a.pollSentAt+a.pollWait+suspectAfter)
}

// leaseRenewable reports whether an order may carry a deadline, which renews the lease. The
// runs of a terminating agent are being stopped, and a later expiry would delay their release
// if it falls silent.
func (a *agent) leaseRenewable() bool {
	return a.failedPolls == 0 && !a.expiryCommitted && !a.record.Terminating
}

// schedulable reports whether new tasks may be placed on the agent.
func (e *Engine) schedulable(a *agent) bool { return e.agentLimit(a) == noLimit }

// agentLimit returns the first limit that keeps all new tasks off the agent.
func (e *Engine) agentLimit(a *agent) limit {
	switch {
	case a.record.Leaving:
		return leavingLimit
	case e.drained(a):
		return drainedLimit
	case a.expiryCommitted || a.dropping || e.suspected(a):
		return unreachableLimit
	case e.quarantined(a):
		return quarantineLimit
	case !a.synced || e.now < a.backoffUntil || !e.capacityKnown(a):
		return notReadyLimit
	default:
		return noLimit
	}
}

// drained reports whether the agent's failure domain accepts no new tasks.
func (e *Engine) drained(a *agent) bool { return e.graph.Drained(a.record.FailureDomain) }

// capacityKnown reports whether the registered capacity of an agent is current. It may
// have shrunk while there was no leader. An agent that enforces its capacity refuses what
// doesn't fit; any other would be overcommitted.
func (e *Engine) capacityKnown(a *agent) bool {
	return a.reported || e.now-e.leaderSince >= reportGracePeriod || e.enforcesCapacity(a)
}

// enforcesCapacity reports whether the agent refuses starts that exceed its capacity.
func (e *Engine) enforcesCapacity(a *agent) bool { return e.graph.Pool(a.record.Pool).GetGuarded() }

// reconcileAgent renews the agent's lease, or abandons its runs once the lease has
// expired.
func (e *Engine) reconcileAgent(a *agent) {
	if a.dropping || e.dropTerminated(a) {
		return
	}
	if a.failedPolls > 0 && e.leaseExpired(a) {
		if e.now-a.answeredAt >= unreachableDropAfter {
			e.dropAgent(a, unreachable, "silent for too long")
			return
		}
		e.abandonRuns(a)
	}
	if a.polling || a.endsPending || e.now < a.nextPoll {
		return
	}
	if !e.mayPoll(a) {
		return
	}
	next := e.planPoll(a)
	a.polling, a.pollSentAt, a.pollWait, a.pollPause = true, e.now, next.wait, next.pause
	if next.wait > 0 {
		e.longPolls++
	}
	o := Order{Kind: Poll, LastAcked: a.lastAcked, Wait: next.wait, first: !a.synced && a.failedPolls == 0}
	if o.first {
		e.firstPolls.inFlight++
	}
	// An unreachable agent's lease is not renewed: any renewal may have arrived, so each
	// retry would postpone its expiry, and the runs would never be abandoned.
	if a.leaseRenewable() {
		o.Deadline = a.clock.grantLease(e.now, e.options.Lease)
	}
	e.send(a, o)
}

func (e *Engine) dropAgent(a *agent, cause dropCause, reason string) {
	if a.dropping {
		return
	}
	a.dropping = true
	if cause != terminated {
		agentsDropped.Inc()
	}
	e.options.Logger.Info("agent dropped", "agent", a.record.Id, "address", a.record.Address, "reason", reason, "runs", len(a.runs), "silent", e.now-a.answeredAt,
		"terminating", e.recordTermination(a, cause, reason), "lost", formatLost(a))
	runsLost.Add(len(a.runs))
	e.endLostRuns(a, cause)
	e.flushEnds() // before the drop, which would discard their checkpoints
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: a.record.Id, Reason: reason}}},
		func(_ state.Result, err error) {
			if err != nil {
				// It may be alive, and has to be polled again.
				a.dropping, a.polling = false, false
				e.markChanged(a)
			}
		})
}

func (e *Engine) handlePollAnswer(a *agent, ans Answer) {
	a.polling = false
	if ans.Verdict == NoConnection {
		a.nextPoll = e.now + noConnectionRetryInterval
		return
	}
	if ans.Verdict != Accepted {
		pollsFailed.Inc()
		if ans.Verdict != NotSent || a.failedPolls > 0 || e.now-a.answeredAt > suspectAfter {
			a.failedPolls++
			e.agents.troubled.add(a)
		}
		if a.failedPolls == 1 {
			e.options.Logger.Info("agent unreachable", "agent", a.record.Id, "verdict", ans.Verdict.String(), "detail", ans.Detail)
		}
		a.nextPoll = e.now + pollRetryInterval
		if ans.ConnectionClosed && a.failedPolls == 1 {
			a.nextPoll = e.now + closedRetryInterval
		}
		if len(a.sortedRuns) == 0 && e.leaseExpired(a) {
			a.nextPoll = e.now + expiredRetryInterval
		}
		return
	}
	if a.failedPolls > 0 {
		e.options.Logger.Info("agent heard again", "agent", a.record.Id, "silent", e.now-a.answeredAt)
		e.placementDirty = true
	}
	a.failedPolls, a.answeredAt, a.nextPoll = 0, e.now, e.now+a.pollPause
	a.connectionClosed, a.connectionRefused = false, false
	first := !a.synced
	if first {
		a.synced = true
		e.placementDirty = true
		e.dropPredecessors(a)
	}
	e.recordRunning(a, ans)
	e.recordCompletions(a, ans)
	e.resolveMissingRuns(a, ans)
	e.checkTails(a)
	e.reconcileAgent(a)
}

// recordClosedConnection checks whether an unanswered order proves that the agent's
// process has ended: the connection of a pending poll was closed, or a new one was
// refused. After failed polls a closed connection proves nothing; it may predate a
// network partition.
func (e *Engine) recordClosedConnection(a *agent, ans Answer) {
	waited := ans.Order.Kind == Poll && a.failedPolls == 0
	if ans.ConnectionClosed && (waited || ans.Verdict == NotSent) && !a.connectionClosed {
		a.connectionClosed, a.closedAt = true, e.now
		e.agents.troubled.add(a)
	}
	if ans.ConnectionRefused && a.terminatingSince != 0 && ans.Order.SentAt >= a.terminatingSince {
		a.connectionRefused = true
	}
}

// dropPredecessors drops the processes that the given one has replaced, by address or by
// name. Its answer proves that they, and all of their runs, have ended. It drops the given
// one instead if a later process of the agent has answered before.
func (e *Engine) dropPredecessors(a *agent) {
	rivals := e.agents.rivals(a)
	agentsVisited.Add(len(rivals))
	for _, o := range rivals {
		if o.synced && a.precedes(o) {
			// The answer was in flight while the successor's arrived.
			e.dropAgent(a, superseded, "a later incarnation has answered")
			return
		}
	}
	for _, o := range rivals {
		if o.record.Address == a.record.Address || o.precedes(a) {
			e.dropAgent(o, superseded, "another incarnation answered at its address")
		}
	}
}

func (e *Engine) recordRunning(a *agent, ans Answer) {
	a.hasLatencyTargets = false
	for i := range ans.Running {
		status := &ans.Running[i]
		t := e.graph.FindTask(status.Run)
		r := e.runs[t]
		if r != nil && r.agent == a {
			r.listedAt = e.now
		}
		if t == nil || r == nil || r.agent != a || r.number != status.Run.Run {
			e.stopUnknownRun(a, status.Run)
			continue
		}
		r.recordStatus(e.now, status)
		e.recordSpeed(r)
		if t.Stage.Step.TailTargetMs > 0 {
			a.hasLatencyTargets = true
		}
	}
}

// stopUnknownRun stops a run that isn't in the replicated state. It can only be one whose
// end was committed without a completion from the agent.
func (e *Engine) stopUnknownRun(a *agent, id *wire.RunId) {
	e.options.Logger.Warn("unknown run stopped", "agent", a.record.Id, "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run)
	e.send(a, Order{Kind: Stop, Run: id})
}

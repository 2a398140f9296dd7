// This file defines what the leader knows of an agent and how it keeps its
// lease.

package drive

import (
	"time"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// pollRetryInterval is the pause after a hold that failed.
	pollRetryInterval = 250 * time.Millisecond
	// noConnectionRetryInterval is the same where there was no connection for it.
	noConnectionRetryInterval = 50 * time.Millisecond
	// expiredRetryInterval is the same once nothing runs there any more.
	expiredRetryInterval = time.Second
	// unreachableDropAfter is how long a silent agent stays registered. One that tells no
	// incarnation and was forgotten is never used again, since what it reports may have
	// been sent before its end.
	unreachableDropAfter = 10 * time.Minute
	// suspectAfter is how much later than due an answer may come before the
	// agent gets no new work.
	suspectAfter = 400 * time.Millisecond
	// refusalBackoff keeps new work from an agent that refused a start, for its
	// room or because it is unwell.
	refusalBackoff = 300 * time.Millisecond
	// reportGracePeriod is how long after the begin of a leadership all agents have reported what
	// has changed while there was no leader: they report each 1.1 s, and again at once
	// where a report isn't acknowledged.
	reportGracePeriod = 1500 * time.Millisecond
)

// agent is the soft state of a registered incarnation.
type agent struct {
	record *wire.Agent
	runs   map[*graph.Task]*run
	// ordered are the same runs by job, step and task. A map has no order, and what is
	// decided must not depend on chance: a day could not be played again.
	sortedRuns []*run
	clock      agentClock
	// synced is set by the first answer under this leader's fence: from then
	// on no order of an earlier leader can be carried out.
	synced      bool
	polling     bool
	pollSentAt  time.Duration
	pollWait    time.Duration // how long the answer may take
	pollPause   time.Duration // after the answer
	nextPoll    time.Duration
	answeredAt  time.Duration // when the last hold was answered
	failedPolls int           // holds in a row without an answer
	// bounded tells that it is committed, or is being, by when its leases have run out.
	expiryCommitted  bool
	connectionClosed bool   // they show that its process has ended; see recordClosedConnection
	lastAcked        uint64 // ends up to here are committed
	// incarnation is that of the process that this is: the registered one or, where none
	// is registered, that which answered first; 0 while no process told one.
	incarnation  uint64
	endsPending  bool // ends are being committed
	dropping     bool
	backoffUntil time.Duration
	leavesAt     time.Duration // when a leaving agent ends; 0 when unknown
	// reportSequence is that of the latest heartbeat, reported tells that this leader has
	// heard one.
	reportSequence      uint64
	reported            bool
	hasLatencyTargets   bool // a run with a latency target is there
	throttleChangedAt   time.Duration
	opportunisticHalted bool // no opportunistic work may run there for now
	// latest is what each opportunistic run used at the latest reading that was
	// learned from, tailsRecordedAt when that was.
	lastShares      map[*run]float64
	tailsRecordedAt time.Duration
	// tailsCheckedAt is when its tails were last looked at.
	tailsCheckedAt time.Duration
	// beside is what opportunistic runs there use, by image, as of the latest answer.
	colocated tails.Load
	// reconcileAt is when it is looked after next; 0 is in the next turn.
	reconcileAt time.Duration
	// room is what is left there, as of freeAt; freeStale tells that something has
	// changed since.
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

// suspect tells whether the agent may be gone or cut off.
func (e *Engine) suspected(at *agent) bool {
	return at.failedPolls > 0 || (at.polling && e.now > at.pollSentAt+at.pollWait+suspectAfter)
}

// leaseRenewable tells whether an order may carry a deadline, which prolongs the lease.
func (r *agent) leaseRenewable() bool { return r.failedPolls == 0 && !r.expiryCommitted }

// usable tells whether new work may be placed there.
func (e *Engine) schedulable(at *agent) bool {
	return at.synced && !at.expiryCommitted && !at.record.Leaving && !at.dropping && !e.suspected(at) && e.now >= at.backoffUntil && e.capacityKnown(at) && !e.drained(at)
}

// drained tells whether the agent's failure domain gets no new work.
func (e *Engine) drained(at *agent) bool { return e.graph.Drained(at.record.FailureDomain) }

// capacityKnown tells whether what the state says of an agent's room can be relied on. A
// room may have shrunk while there was no leader to be told; an agent that guards it
// refuses what doesn't fit, another one would be brought over it.
func (e *Engine) capacityKnown(at *agent) bool {
	return at.reported || e.now-e.leaderSince >= reportGracePeriod || e.enforcesCapacity(at)
}

// guarded tells whether an agent refuses starts for which it has no room.
func (e *Engine) enforcesCapacity(at *agent) bool { return e.graph.Pool(at.record.Pool).GetGuarded() }

// reconcileAgent renews the lease, and gives up what ran on an agent whose lease has run out.
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
	// A silent agent gets no longer lease: each one sent may have been taken, so
	// its end would move ahead with every try, and an agent that is gone for good
	// would never be given up, nor its work run elsewhere.
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
	e.options.Logger.Info("agent given up", "agent", at.record.Id, "address", at.record.Address, "reason", reason, "runs", len(at.runs), "silent", e.now-at.answeredAt, "lost", formatLost(at))
	runsLost.Add(len(at.runs))
	e.endLostRuns(at, why)
	e.flushEnds() // before it is dropped, or what they save is lost
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
			e.options.Logger.Info("agent silent", "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
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

// recordClosedConnection notes whether an order without an answer shows that the agent's process has
// ended: the connection on which a hold waited was closed, or a new one was refused. Where
// holds have failed before, a connection that is closed is one that outlived a cut.
func (r *agent) recordClosedConnection(a Answer) {
	waited := a.Order.Kind == Poll && r.failedPolls == 0
	if a.ConnectionClosed && (waited || a.Verdict == NotSent) {
		r.connectionClosed = true
	}
}

// dropPredecessors gives up the processes of which one that has answered is the
// successor, at its address or under its name: it is proof that they have ended, and all
// that ran in them.
func (e *Engine) dropPredecessors(at *agent) {
	for _, other := range e.agentsByID() {
		if other != at && other.synced && at.precedes(other) {
			// Its answer was on its way while its successor answered.
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

// stopUnknownRun stops a run that the state doesn't know to be there. It may only
// be one whose end was noted on another ground.
func (e *Engine) stopUnknownRun(at *agent, id *wire.RunId) {
	e.options.Logger.Warn("unknown run stopped", "agent", at.record.Id, "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run)
	e.send(at, Order{Kind: Stop, Run: id})
}

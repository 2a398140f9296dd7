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
	// holdRetry is the pause after a hold that failed.
	holdRetry = 250 * time.Millisecond
	// connectionRetry is the same where there was no connection for it.
	connectionRetry = 50 * time.Millisecond
	// lapsedRetry is the same once nothing runs there any more.
	lapsedRetry = time.Second
	// forgetSilent is how long a silent agent stays registered. One that tells no
	// incarnation and was forgotten is never used again, since what it reports may have
	// been sent before its end.
	forgetSilent = 10 * time.Minute
	// suspectAfter is how much later than due an answer may come before the
	// agent gets no new work.
	suspectAfter = 400 * time.Millisecond
	// refusalPause keeps new work from an agent that refused a start, for its
	// room or because it is unwell.
	refusalPause = 300 * time.Millisecond
	// reportTime is how long after the begin of a leadership all agents have reported what
	// has changed while there was no leader: they report each 1.1 s, and again at once
	// where a report isn't acknowledged.
	reportTime = 1500 * time.Millisecond
)

// agent is the soft state of a registered incarnation.
type agent struct {
	record *wire.Agent
	runs   map[*graph.Task]*run
	// ordered are the same runs by job, step and task. A map has no order, and what is
	// decided must not depend on chance: a day could not be played again.
	ordered []*run
	clock   agentClock
	// synced is set by the first answer under this leader's fence: from then
	// on no order of an earlier leader can be carried out.
	synced    bool
	holding   bool
	holdSince time.Duration
	holdFor   time.Duration // how long the answer may take
	lookPause time.Duration // after the answer
	nextHold  time.Duration
	answered  time.Duration // when the last hold was answered
	failed    int           // holds in a row without an answer
	// bounded tells that it is committed, or is being, by when its leases have run out.
	bounded  bool
	closed   bool   // they show that its process has ended; see noteClosed
	lastSeen uint64 // ends up to here are committed
	// incarnation is that of the process that this is: the registered one or, where none
	// is registered, that which answered first; 0 while no process told one.
	incarnation uint64
	ending      bool // ends are being committed
	dropping    bool
	restUntil   time.Duration
	leaveBy     time.Duration // when a leaving agent ends; 0 when unknown
	// reportSequence is that of the latest heartbeat, reported tells that this leader has
	// heard one.
	reportSequence uint64
	reported       bool
	standing       bool // a run with a latency target is there
	paceChanged    time.Duration
	halted         bool // no opportunistic work may run there for now
	// latest is what each opportunistic run used at the latest reading that was
	// learned from, besideAt when that was.
	latest   map[*run]float64
	besideAt time.Duration
	// watchedAt is when its tails were last looked at.
	watchedAt time.Duration
	// beside is what opportunistic runs there use, by image, as of the latest answer.
	beside tails.Load
	// tendAt is when it is looked after next; 0 is in the next turn.
	tendAt time.Duration
	// room is what is left there, as of roomAt; roomStale tells that something has
	// changed since.
	room      room
	roomAt    time.Duration
	roomStale bool
}

func (e *Engine) newAgent(registered *graph.Agent) *agent {
	at := &agent{record: registered.Record, runs: map[*graph.Task]*run{}, answered: e.now, roomStale: true, incarnation: registered.Record.Incarnation, bounded: registered.LeaseExpiry != nil}
	e.agents[registered.Record.Id] = at
	e.pools, e.sorted = nil, nil
	return at
}

// suspect tells whether the agent may be gone or cut off.
func (e *Engine) suspect(at *agent) bool {
	return at.failed > 0 || (at.holding && e.now > at.holdSince+at.holdFor+suspectAfter)
}

// mayBeGranted tells whether an order may carry a deadline, which prolongs the lease.
func (r *agent) mayBeGranted() bool { return r.failed == 0 && !r.bounded }

// usable tells whether new work may be placed there.
func (e *Engine) usable(at *agent) bool {
	return at.synced && !at.bounded && !at.record.Leaving && !at.dropping && !e.suspect(at) && e.now >= at.restUntil && e.roomKnown(at) && !e.drained(at)
}

// drained tells whether the agent's failure domain gets no new work.
func (e *Engine) drained(at *agent) bool { return e.graph.Drained(at.record.FailureDomain) }

// roomKnown tells whether what the state says of an agent's room can be relied on. A
// room may have shrunk while there was no leader to be told; an agent that guards it
// refuses what doesn't fit, another one would be brought over it.
func (e *Engine) roomKnown(at *agent) bool {
	return at.reported || e.now-e.since >= reportTime || e.guarded(at)
}

// guarded tells whether an agent refuses starts for which it has no room.
func (e *Engine) guarded(at *agent) bool { return e.graph.Pool(at.record.Pool).GetGuarded() }

// tendAgent renews the lease, and gives up what ran on an agent whose lease has run out.
func (e *Engine) tendAgent(at *agent) {
	if at.dropping {
		return
	}
	if at.failed > 0 && e.lapsed(at) {
		if e.now-at.answered >= forgetSilent {
			e.dropAgent(at, cutOff, "silent for too long")
			return
		}
		e.giveUpRuns(at)
	}
	if at.holding || at.ending || e.now < at.nextHold {
		return
	}
	next := e.lookAt(at)
	at.holding, at.holdSince, at.holdFor, at.lookPause = true, e.now, next.wait, next.pause
	if next.wait > 0 {
		e.waitingHolds++
	}
	o := Order{Kind: Poll, LastAcked: at.lastSeen, Wait: next.wait}
	// A silent agent gets no longer lease: each one sent may have been taken, so
	// its end would move ahead with every try, and an agent that is gone for good
	// would never be given up, nor its work run elsewhere.
	if at.mayBeGranted() {
		o.Deadline = at.clock.grant(e.now, e.options.Lease)
	}
	e.send(at, o)
}

func (e *Engine) dropAgent(at *agent, why departure, reason string) {
	if at.dropping {
		return
	}
	at.dropping = true
	agentsDropped.Inc()
	e.options.Logger.Info("agent given up", "agent", at.record.Id, "address", at.record.Address, "reason", reason, "runs", len(at.runs), "silent", e.now-at.answered, "lost", lostText(at))
	runsLost.Add(len(at.runs))
	e.endLost(at, why)
	e.flushEnds() // before it is dropped, or what they save is lost
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: at.record.Id, Reason: reason}}},
		func(_ state.Result, err error) {
			if err != nil {
				at.dropping = false
				at.touch()
			}
		})
}

func (e *Engine) holdAnswered(at *agent, a Answer) {
	at.holding = false
	if a.Verdict == NoConnection {
		at.nextHold = e.now + connectionRetry
		return
	}
	if a.Verdict != Accepted {
		holdsFailed.Inc()
		if a.Verdict != NotSent || at.failed > 0 || e.now-at.answered > suspectAfter {
			at.failed++
		}
		if at.failed == 1 {
			e.options.Logger.Info("agent silent", "agent", at.record.Id, "verdict", a.Verdict.String(), "detail", a.Detail)
		}
		at.nextHold = e.now + holdRetry
		if len(at.ordered) == 0 && e.lapsed(at) {
			at.nextHold = e.now + lapsedRetry
		}
		return
	}
	if at.failed > 0 {
		e.options.Logger.Info("agent heard again", "agent", at.record.Id, "silent", e.now-at.answered)
		e.dirty = true
	}
	at.failed, at.closed, at.answered, at.nextHold = 0, false, e.now, e.now+at.lookPause
	first := !at.synced
	if first {
		at.synced = true
		e.dirty = true
		e.dropPredecessors(at)
	}
	e.noteRunning(at, a)
	e.noteEnded(at, a)
	e.settleAbsent(at, a)
	e.watchTails(at)
	e.tendAgent(at)
}

// noteClosed notes whether an order without an answer shows that the agent's process has
// ended: the connection on which a hold waited was closed, or a new one was refused. Where
// holds have failed before, a connection that is closed is one that outlived a cut.
func (r *agent) noteClosed(a Answer) {
	waited := a.Order.Kind == Poll && r.failed == 0
	if a.ConnectionClosed && (waited || a.Verdict == NotSent) {
		r.closed = true
	}
}

// dropPredecessors gives up the processes of which one that has answered is the
// successor, at its address or under its name: it is proof that they have ended, and all
// that ran in them.
func (e *Engine) dropPredecessors(at *agent) {
	for _, other := range e.byID() {
		if other != at && other.synced && at.precedes(other) {
			// Its answer was on its way while its successor answered.
			e.dropAgent(at, replaced, "a later incarnation has answered")
			return
		}
	}
	for _, other := range e.byID() {
		if other != at && (other.record.Address == at.record.Address || other.precedes(at)) {
			e.dropAgent(other, replaced, "another incarnation answered at its address")
		}
	}
}

func (e *Engine) noteRunning(at *agent, a Answer) {
	at.standing = false
	for i := range a.Running {
		status := &a.Running[i]
		t := e.graph.FindTask(status.Run)
		known := e.runs[t]
		if known != nil && known.agent == at {
			known.listedAt = e.now
		}
		if t == nil || known == nil || known.agent != at || known.number != status.Run.Run {
			e.stopStray(at, status.Run)
			continue
		}
		known.seenRunning(e.now, status)
		if t.Stage.Step.TailTargetMs > 0 {
			at.standing = true
		}
	}
}

// stopStray stops a run that the state doesn't know to be there. It may only
// be one whose end was noted on another ground.
func (e *Engine) stopStray(at *agent, id *wire.RunId) {
	e.options.Logger.Warn("unknown run stopped", "agent", at.record.Id, "job", id.Job, "step", id.Step, "index", id.Index, "run", id.Run)
	e.send(at, Order{Kind: Stop, Run: id})
}

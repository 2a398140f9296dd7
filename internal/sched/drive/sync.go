// This file defines how the soft state follows the replicated one, and which
// agents are looked after when.

package drive

import (
	"maps"
	"slices"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// idleReconcileInterval is how often an agent is looked after that waits for nothing: what it
// needs is found with the answer to a hold, of which there is one in less than two
// seconds. This only bounds what an oversight here would cost.
const idleReconcileInterval = time.Second

// loadKey names what a sum of running work is kept for.
type loadKey struct {
	queue, pool string // of the job
	ordinary    bool   // neither standing nor opportunistic
}

// syncState makes the soft state match the replicated one where that changed.
func (e *Engine) syncState() {
	for _, id := range slices.Sorted(maps.Keys(e.changedAgents)) {
		delete(e.changedAgents, id)
		e.syncAgent(id)
	}
}

func (e *Engine) syncAgent(id string) {
	registered, at := e.graph.Agent(id), e.agents[id]
	if registered == nil {
		if at != nil {
			delete(e.agents, id)
			e.agentsByPool, e.sortedAgents = nil, nil
			e.removeRuns(at)
		}
		return
	}
	if at == nil {
		at = e.newAgent(registered)
	}
	at.record = registered.Record
	at.markChanged()
	for t := range registered.Tasks {
		e.syncTask(at, t)
	}
	for _, r := range at.sortedRuns {
		if r.task.Agent != id || r.task.Run != r.number {
			e.removeRun(r)
		}
	}
}

func (e *Engine) syncTask(at *agent, t *graph.Task) {
	known := e.runs[t]
	if known != nil && known.number == t.Run && known.agent == at {
		return
	}
	if known != nil {
		e.removeRun(known)
	}
	r := &run{task: t, number: t.Run, agent: at, phase: phaseUnknown, cpuPercent: unknownPercent, targetPercent: fullPercent, trackedAt: e.now}
	e.runs[t] = r
	at.addRun(r)
	e.runningCPU[loadKeyOf(t)] += float64(t.Stage.Step.CpuMillis)
	at.markChanged()
}

func loadKeyOf(t *graph.Task) loadKey {
	s := t.Stage
	return loadKey{s.Job.Queue, s.Job.Pool, !s.Step.Opportunistic && !s.Step.Standing}
}

// removeEndedRuns forgets the soft state of runs whose ends were committed, so that
// their room is free at once.
func (e *Engine) removeEndedRuns(ends []*wire.RunEnd) {
	for _, end := range ends {
		t := e.graph.FindTask(end.Id)
		if r := e.runs[t]; r != nil && (t.Agent != r.agent.record.Id || t.Run != r.number) {
			e.removeRun(r)
		}
	}
}

func (e *Engine) removeRuns(at *agent) {
	for _, r := range at.sortedRuns {
		e.removeRun(r)
	}
}

func (e *Engine) removeRun(r *run) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	r.agent.removeRun(r)
	key := loadKeyOf(r.task)
	e.runningCPU[key] -= float64(r.task.Stage.Step.CpuMillis)
	if e.runningCPU[key] == 0 {
		delete(e.runningCPU, key)
	}
	r.agent.markChanged()
}

// heard has an agent looked after in the next turn.
func (r *agent) scheduleReconcile() { r.reconcileAt = 0 }

// touch notes that what is on an agent changed: it is looked after in the next turn,
// and its room is worked out anew.
func (r *agent) markChanged() {
	r.scheduleReconcile()
	r.freeStale = true
}

// tend looks after the agents of which something was heard or is due.
func (e *Engine) reconcileAgents() {
	for _, at := range e.agentsByID() {
		if e.now < at.reconcileAt {
			continue
		}
		at.reconcileAt = e.now + idleReconcileInterval
		e.reconcileAgent(at)
		for _, r := range at.sortedRuns {
			e.reconcileRun(r)
		}
		at.reconcileAt = min(at.reconcileAt, e.nextReconcileOf(at))
	}
}

// nextReconcileOf is when an agent has to be looked after although nothing is heard of it.
func (e *Engine) nextReconcileOf(at *agent) time.Duration {
	due := e.now + idleReconcileInterval
	if !at.polling {
		due = min(due, max(at.nextPoll, e.now+reconcileInterval))
	}
	if at.failedPolls > 0 || at.record.Leaving || at.hasPendingOrders() {
		due = min(due, e.now+reconcileInterval)
	}
	return due
}

// waits tells whether an order about a run on the agent is to be sent, or sent again.
func (r *agent) hasPendingOrders() bool {
	for _, known := range r.sortedRuns {
		if known.hasPendingOrder() {
			return true
		}
	}
	return false
}

func (r *run) hasPendingOrder() bool {
	switch {
	case r.endPending:
		return false
	case r.phase == phaseUnresolved || r.stopReason != "" || r.task.Done || r.task.Stage.Job.Ended():
		return true
	default:
		return r.phase == phaseRunning && r.cpuPercent != r.targetPercent
	}
}

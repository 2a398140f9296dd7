// This file defines how the soft state is kept in sync with the replicated state, and
// when each agent is reconciled.

package drive

import (
	"maps"
	"slices"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// idleReconcileInterval is the interval at which agents without pending work are
// reconciled. Agents are also reconciled with every answer; this bounds the effect of a
// missed event.
const idleReconcileInterval = time.Second

// loadKey identifies a sum of running work.
type loadKey struct {
	queue, pool string // of the job
	ordinary    bool   // neither standing nor opportunistic
}

// syncState applies the changes of the replicated state to the soft state.
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

// removeEndedRuns removes runs whose ends were committed, which frees their resources at
// once.
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

// scheduleReconcile reconciles the agent at the next tick.
func (r *agent) scheduleReconcile() { r.reconcileAt = 0 }

// markChanged records that the agent's runs or capacity changed. It is reconciled at the
// next tick, and its free resources are recomputed.
func (r *agent) markChanged() {
	r.scheduleReconcile()
	r.freeStale = true
}

// reconcileAgents reconciles the agents that are due.
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

// nextReconcileOf returns when the agent is due if no event occurs before.
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

// hasPendingOrders reports whether an order for a run on the agent has to be sent or
// repeated.
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

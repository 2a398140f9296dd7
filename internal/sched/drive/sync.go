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

// loadKey identifies a sum in Engine.runningCPU.
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
	registered, a := e.graph.Agent(id), e.agents.byID[id]
	if registered == nil {
		if a != nil {
			e.agents.remove(a)
			e.due.remove(a)
			e.removeRuns(a)
		}
		return
	}
	if a == nil {
		a = e.newAgent(registered)
	}
	e.agents.update(a, registered.Record)
	e.noteLeaving(a)
	e.noteTermination(a)
	e.markChanged(a)
	for t := range registered.Tasks {
		e.syncTask(a, t)
	}
	for _, r := range a.sortedRuns {
		if r.task.Agent != id || r.task.Run != r.number {
			e.removeRun(r)
			continue
		}
		e.noteEndedJob(r)
	}
}

// noteLeaving records when this leader learned from the state that an agent is leaving.
func (e *Engine) noteLeaving(a *agent) {
	if !a.record.Leaving || a.leavingSince != 0 {
		return
	}
	a.leavingSince = e.now
	unsent := 0
	for _, r := range a.sortedRuns {
		if r.phase == phaseStarting || r.phase == phaseUnresolved {
			unsent++
		}
	}
	e.options.Logger.Info("agent leaves", "agent", a.record.Id, "failure_domain", a.record.FailureDomain, "runs", len(a.runs), "unconfirmed", unsent)
}

func (e *Engine) syncTask(a *agent, t *graph.Task) {
	known := e.runs[t]
	if known != nil && known.number == t.Run && known.agent == a {
		return
	}
	if known != nil {
		e.removeRun(known)
	}
	r := &run{task: t, number: t.Run, agent: a, phase: phaseUnknown, cpuPercent: unknownPercent, targetPercent: fullPercent, trackedAt: e.now}
	e.runs[t] = r
	a.addRun(r)
	e.runningCPU[loadKeyOf(t)] += float64(t.Stage.Step.CpuMillis)
	e.markChanged(a)
}

func loadKeyOf(t *graph.Task) loadKey {
	s := t.Stage
	return loadKey{s.Job.Queue, s.Job.Pool, !s.Step.Opportunistic && !s.Step.Standing}
}

// removeEndedRuns removes runs whose ends were committed, which frees their resources at
// once.
func (e *Engine) removeEndedRuns(ends []*wire.RunEnd) {
	for _, re := range ends {
		t := e.graph.FindTask(re.Id)
		if r := e.runs[t]; r != nil && (t.Agent != r.agent.record.Id || t.Run != r.number) {
			e.removeRun(r)
		}
	}
}

func (e *Engine) removeRuns(a *agent) {
	for _, r := range a.sortedRuns {
		e.removeRun(r)
	}
}

func (e *Engine) removeRun(r *run) {
	if e.runs[r.task] != r {
		return
	}
	e.starts.remove(r)
	delete(e.runs, r.task)
	delete(e.endedJobRuns, r)
	r.agent.removeRun(r)
	key := loadKeyOf(r.task)
	e.runningCPU[key] -= float64(r.task.Stage.Step.CpuMillis)
	if e.runningCPU[key] == 0 {
		delete(e.runningCPU, key)
	}
	e.markChanged(r.agent)
}

// scheduleReconcile makes an agent due at the next reconciliation.
func (e *Engine) scheduleReconcile(a *agent) { e.due.schedule(a, 0) }

// markChanged records that an agent's runs or capacity changed: it is due at the next
// reconciliation, and its free resources are recomputed.
func (e *Engine) markChanged(a *agent) {
	e.scheduleReconcile(a)
	a.freeStale = true
}

// reconcileAgents reconciles the agents that are due.
func (e *Engine) reconcileAgents() {
	due := e.due.take(e.now)
	agentsVisited.Add(len(due))
	for _, a := range due {
		e.due.schedule(a, e.now+idleReconcileInterval)
		e.reconcileAgent(a)
		for _, r := range a.sortedRuns {
			e.reconcileRun(r)
		}
		e.due.schedule(a, min(a.reconcileAt, e.nextReconcileOf(a)))
	}
}

// nextReconcileOf returns when the agent is due if no event occurs before.
func (e *Engine) nextReconcileOf(a *agent) time.Duration {
	due := e.now + idleReconcileInterval
	if !a.polling && !a.awaitsFirstPoll {
		due = min(due, max(a.nextPoll, e.now+reconcileInterval))
	}
	if a.failedPolls > 0 || a.record.Leaving || a.hasPendingOrders() {
		due = min(due, e.now+reconcileInterval)
	}
	return due
}

// hasPendingOrders reports whether an order for a run on the agent has to be sent or
// repeated.
func (a *agent) hasPendingOrders() bool {
	for _, r := range a.sortedRuns {
		if r.hasPendingOrder() {
			return true
		}
	}
	return false
}

func (r *run) hasPendingOrder() bool {
	switch {
	case r.endPending || r.waitsToStart():
		return false
	case r.phase == phaseUnresolved || r.stopReason != "" || r.task.Done || r.task.Stage.Job.Ended():
		return true
	default:
		return r.phase == phaseRunning && r.cpuPercent != r.targetPercent
	}
}

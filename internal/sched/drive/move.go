// This file defines how runs are moved off slow agents.

package drive

import (
	"sycamoredeck.example/internal/sched/health"
)

// slowAgentReason is the reason to stop a run that is moved.
const slowAgentReason = "agent is slow"

// moveTargets are the agents with capacity for runs that are moved.
type moveTargets struct {
	candidates []*freeResources
	claimed    map[*agent]moveClaim
}

// moveClaim is the capacity of an agent that runs which are being moved need.
type moveClaim struct{ cpuMillis, memoryMB, accelerators float64 }

// moveSlowRuns stops runs on slow agents that end sooner by a start elsewhere, while there is
// free capacity for them.
func (e *Engine) moveSlowRuns() {
	var targets *moveTargets
	for _, id := range e.health.tracker.SlowAgents() {
		a := e.agents.byID[id]
		if a == nil || !a.synced || a.failedPolls > 0 {
			continue
		}
		for _, r := range a.sortedRuns {
			if !e.mayMove(r) || !e.moveOf(r).Worthwhile() {
				continue
			}
			if targets == nil {
				targets = e.newMoveTargets()
			}
			if to := targets.find(r); to != nil {
				e.move(r, to)
			}
		}
	}
}

// mayMove reports whether a run on a slow agent is slow itself and may be moved. A task is
// moved once at most: its next agent may be slow as well, and it would never end.
func (e *Engine) mayMove(r *run) bool {
	return e.indicatesSpeed(r) && r.phase == phaseRunning && r.slowness >= minMoveSlowness && e.reasonToStop(r) == "" &&
		!r.endPending && r.progressPercent < fullPercent && r.task.AvoidAgent == ""
}

func (e *Engine) moveOf(r *run) health.Move {
	progress := float64(r.progressPercent) / fullPercent
	m := health.Move{
		Slowness: r.slowness, Progress: progress,
		Expected: r.expectedDuration, Restart: e.options.StopGrace + moveOverhead,
	}
	if r.checkpoint != "" && r.task.Stage.Step.Checkpointable {
		m.Saved = progress
	}
	return m
}

func (e *Engine) move(r *run, to *agent) {
	r.stopReason, r.moveTo = slowAgentReason, to
	r.task.AvoidAgent = r.agent.record.Id
	e.markChanged(r.agent)
	runsMoved.Inc()
	e.options.Logger.Info("run on slow agent stopped", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "agent_slowdown", e.health.tracker.Slowdown(r.agent.record.Id), "run_slowness", r.slowness,
		"percent", r.progressPercent, "running", e.now-r.startedAt, "expected", r.expectedDuration, "capacity_on", to.record.Id)
}

// newMoveTargets returns the sound agents that aren't reserved, less what the runs need that
// are being moved already.
func (e *Engine) newMoveTargets() *moveTargets {
	t := &moveTargets{claimed: map[*agent]moveClaim{}}
	reserved := e.reservedStages()
	for _, list := range e.agents.byPool {
		for _, a := range list {
			if !e.schedulable(a) || reserved[a.record.Id] != nil || e.health.tracker.Slowdown(a.record.Id) > 1 {
				continue
			}
			if free := e.freeResourcesOf(a); free.health == health.Sound {
				t.candidates = append(t.candidates, free)
			}
		}
	}
	for _, r := range e.runs { // also of agents that no longer count as slow
		if r.moveTo != nil {
			t.claim(r.moveTo, r)
		}
	}
	return t
}

// find returns an agent with capacity for a run, and claims it; nil if there is none.
func (t *moveTargets) find(r *run) *agent {
	step := r.task.Stage.Step
	for _, f := range t.candidates {
		c := t.claimed[f.agent]
		if f.agent.record.Pool == r.agent.record.Pool && f.fits(r.task.Stage) && f.cpuMillis-c.cpuMillis >= float64(step.CpuMillis) &&
			f.memoryMB-c.memoryMB >= float64(step.MemoryMb) && f.accelerators-c.accelerators >= float64(step.Accelerators) {
			t.claim(f.agent, r)
			return f.agent
		}
	}
	return nil
}

func (t *moveTargets) claim(a *agent, r *run) {
	step, c := r.task.Stage.Step, t.claimed[a]
	t.claimed[a] = moveClaim{c.cpuMillis + float64(step.CpuMillis), c.memoryMB + float64(step.MemoryMb), c.accelerators + float64(step.Accelerators)}
}

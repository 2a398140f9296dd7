// This file defines how the tail model and the agents in quarantine are handed on to later
// leaders.

package drive

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/sched/health"
	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
)

// saveInterval is the interval at which changed estimates are committed. No more than the
// changes of one interval are lost with a leader.
const saveInterval = 2 * time.Second

// restoreEstimates loads the estimates of earlier leaders. Without the tail model every pair
// of images would be tried again after a change of leader, including those that interfere.
func (e *Engine) restoreEstimates() {
	e.resetHealth()
	e.savedEstimates = e.graph.Estimates()
	e.nextSave = e.now + saveInterval
	if e.enabled(PersistEstimates) && e.savedEstimates != nil {
		e.tailModel = tails.Restore(e.savedEstimates, e.now)
		e.restoreQuarantine()
	}
}

// restoreQuarantine restores the quarantine of agents. The wall clocks of two leaders may
// differ; a quarantine never lasts longer than the tracker allows.
func (e *Engine) restoreQuarantine() {
	if !e.enabled(AgentHealth) {
		return
	}
	wall := e.options.WallClock()
	for _, q := range e.savedEstimates.GetQuarantinedAgents() {
		a := e.graph.Agent(q.Agent)
		remaining := time.UnixMilli(q.UntilMs).Sub(wall)
		if a == nil || remaining < -health.MaxTrial {
			continue
		}
		e.health.tracker.Restore(e.now, health.Agent{ID: q.Agent, Pool: a.Record.Pool}, e.now+remaining)
		e.options.Logger.Info("quarantine taken over", "agent", q.Agent, "duration", max(remaining, 0))
	}
}

// quarantinedAgents returns the agents in quarantine or on trial, to be saved.
func (e *Engine) quarantinedAgents() []*wire.QuarantinedAgent {
	if !e.enabled(AgentHealth) {
		return nil
	}
	wall := e.options.WallClock()
	var list []*wire.QuarantinedAgent
	for _, id := range e.health.tracker.IsolatedAgents() {
		until, _ := e.health.tracker.IsolatedUntil(id)
		list = append(list, &wire.QuarantinedAgent{Agent: id, UntilMs: wall.Add(until - e.now).UnixMilli()})
	}
	return list
}

// saveEstimates commits the estimates if they have changed.
func (e *Engine) saveEstimates() {
	if e.now < e.nextSave || !e.enabled(PersistEstimates) {
		return
	}
	e.nextSave = e.now + saveInterval
	saved := e.tailModel.Save()
	saved.QuarantinedAgents = e.quarantinedAgents()
	nothing := len(saved.Pairs) == 0 && len(saved.QuarantinedAgents) == 0 && len(e.savedEstimates.GetQuarantinedAgents()) == 0
	if nothing || proto.Equal(saved, e.savedEstimates) {
		return
	}
	e.savedEstimates = saved
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Learned{Learned: saved}}, nil)
}

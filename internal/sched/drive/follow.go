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

// calmTend is how often an agent is looked after that waits for nothing: what it
// needs is found with the answer to a hold, of which there is one in less than two
// seconds. This only bounds what an oversight here would cost.
const calmTend = time.Second

// loadKey names what a sum of running work is kept for.
type loadKey struct {
	queue, pool string // of the job
	ordinary    bool   // neither standing nor opportunistic
}

// followGraph makes the soft state match the replicated one where that changed.
func (e *Engine) followGraph() {
	for _, id := range slices.Sorted(maps.Keys(e.touched)) {
		delete(e.touched, id)
		e.followAgent(id)
	}
}

func (e *Engine) followAgent(id string) {
	registered, at := e.graph.Agent(id), e.agents[id]
	if registered == nil {
		if at != nil {
			delete(e.agents, id)
			e.pools, e.sorted = nil, nil
			e.dropRuns(at)
		}
		return
	}
	if at == nil {
		at = e.newAgent(registered)
	}
	at.record = registered.Record
	at.touch()
	for t := range registered.Tasks {
		e.followTask(at, t)
	}
	for _, r := range at.ordered {
		if r.task.Agent != id || r.task.Run != r.number {
			e.endRun(r)
		}
	}
}

func (e *Engine) followTask(at *agent, t *graph.Task) {
	known := e.runs[t]
	if known != nil && known.number == t.Run && known.agent == at {
		return
	}
	if known != nil {
		e.endRun(known)
	}
	r := &run{task: t, number: t.Run, agent: at, phase: phaseUnknown, pace: unknownPace, wantedPace: fullPace, firstAt: e.now}
	e.runs[t] = r
	at.addRun(r)
	e.loads[loadOf(t)] += float64(t.Stage.Step.CpuMillis)
	at.touch()
}

func loadOf(t *graph.Task) loadKey {
	s := t.Stage
	return loadKey{s.Job.Queue, s.Job.Pool, !s.Step.Opportunistic && !s.Step.Standing}
}

// forgetEnded forgets the soft state of runs whose ends were committed, so that
// their room is free at once.
func (e *Engine) forgetEnded(ends []*wire.RunEnd) {
	for _, end := range ends {
		t := e.graph.FindTask(end.Id)
		if r := e.runs[t]; r != nil && (t.Agent != r.agent.record.Id || t.Run != r.number) {
			e.endRun(r)
		}
	}
}

func (e *Engine) dropRuns(at *agent) {
	for _, r := range at.ordered {
		e.endRun(r)
	}
}

func (e *Engine) endRun(r *run) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	r.agent.removeRun(r)
	key := loadOf(r.task)
	e.loads[key] -= float64(r.task.Stage.Step.CpuMillis)
	if e.loads[key] == 0 {
		delete(e.loads, key)
	}
	r.agent.touch()
}

// heard has an agent looked after in the next turn.
func (r *agent) heard() { r.tendAt = 0 }

// touch notes that what is on an agent changed: it is looked after in the next turn,
// and its room is worked out anew.
func (r *agent) touch() {
	r.heard()
	r.roomStale = true
}

// tend looks after the agents of which something was heard or is due.
func (e *Engine) tend() {
	for _, at := range e.byID() {
		if e.now < at.tendAt {
			continue
		}
		at.tendAt = e.now + calmTend
		e.tendAgent(at)
		for _, r := range at.ordered {
			e.tendRun(r)
		}
		at.tendAt = min(at.tendAt, e.dueAt(at))
	}
}

// dueAt is when an agent has to be looked after although nothing is heard of it.
func (e *Engine) dueAt(at *agent) time.Duration {
	due := e.now + calmTend
	if !at.holding {
		due = min(due, max(at.nextHold, e.now+tendInterval))
	}
	if at.failed > 0 || at.record.Leaving || at.waits() {
		due = min(due, e.now+tendInterval)
	}
	return due
}

// waits tells whether an order about a run on the agent is to be sent, or sent again.
func (r *agent) waits() bool {
	for _, known := range r.ordered {
		if known.waits() {
			return true
		}
	}
	return false
}

func (r *run) waits() bool {
	switch {
	case r.ending:
		return false
	case r.phase == phaseUnresolved || r.stopReason != "" || r.task.Done || r.task.Stage.Job.Ended():
		return true
	default:
		return r.phase == phaseRunning && r.pace != r.wantedPace
	}
}

// This file defines the quarantine of agents that fail runs, and the moves of runs off slow
// agents.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/sched/health"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// minSpeedTime and minSpeedShare of the expected run time have to pass before the
	// progress of a run indicates its speed: the start takes a part of them, and progress
	// is reported in whole percent.
	minSpeedTime  = 300 * time.Millisecond
	minSpeedShare = 0.1
	// probeCost is the cost, in run times, of using a task as a probe if it has two
	// attempts left. With more it is less.
	probeCost = 1.0
	// probeTime is how long a run on an agent on trial keeps further ones away. A run that
	// hasn't failed by then was throttled, or is longer than most.
	probeTime = 5 * time.Second
	// movedCost is the cost, in run times, of the agent that a task was moved away from. It
	// outweighs the slowest agents.
	movedCost = 10.0
	// minMoveSlowness is the least slowness of a run that is moved.
	minMoveSlowness = 2.0
	// moveOverhead is the time to place and start a moved run, in addition to StopGrace.
	moveOverhead = 300 * time.Millisecond
	// moveInterval is the interval at which runs on slow agents are checked. Agents are
	// polled at longer ones.
	moveInterval = 100 * time.Millisecond
	// healthMaxAge is how long the cached health of an agent is valid. Without the end of a
	// run it only improves.
	healthMaxAge = 20 * time.Millisecond
	// pruneInterval is the interval at which old records of agents' health are removed.
	pruneInterval = time.Second
)

// agentHealth is what the engine knows of the health of its agents. The zero value is empty.
type agentHealth struct {
	tracker             health.Tracker
	nextMove, nextPrune time.Duration
}

// resetHealth forgets the health of all agents.
func (e *Engine) resetHealth() {
	e.health = agentHealth{tracker: health.Tracker{PoolSize: e.poolSize}}
}

// poolSize returns the number of agents in a pool.
func (e *Engine) poolSize(pool string) int {
	if len(e.agents.byID) > 0 {
		return len(e.agents.byPool[pool])
	}
	n := 0 // a new leader hasn't listed the agents yet
	for _, a := range e.graph.Agents() {
		if a.Record.Pool == pool {
			n++
		}
	}
	return n
}

func healthAgent(a *agent) health.Agent { return health.Agent{ID: a.record.Id, Pool: a.record.Pool} }

func healthJob(t *graph.Task) health.Job {
	return health.Job{ID: t.Stage.Job.ID, Queue: t.Stage.Job.Queue}
}

// recordHealth records the end of a run as evidence about its agent. Standing tasks may fail
// at any time through no fault of the agent, and the members of a gang fail together.
func (e *Engine) recordHealth(r *run, outcome wire.RunOutcome) {
	step := r.task.Stage.Step
	failed := outcome == wire.RunOutcome_RUN_OUTCOME_FAILED
	if !e.enabled(AgentHealth) || step.Standing || step.Gang || !failed && outcome != wire.RunOutcome_RUN_OUTCOME_DONE {
		return
	}
	a, t := r.agent, &e.health.tracker
	if !failed && r.startsSent == 0 && t.State(e.now, a.record.Id) >= health.Trial {
		return // an earlier leader may have started it before the quarantine
	}
	startedAt := r.startedAt
	if startedAt == 0 {
		startedAt = r.trackedAt // it ended before its start was answered
	}
	a.health.valid = false
	change := t.Record(e.now, healthAgent(a), healthJob(r.task), health.Outcome{Failed: failed, StartedAt: startedAt})
	if !failed && e.now-startedAt >= minSpeedTime && e.indicatesSpeed(r) {
		t.RecordDuration(e.now, healthAgent(a), healthJob(r.task), float64(e.now-startedAt)/float64(e.expectedRunTime(r)))
	}
	e.applyHealthChange(r, change)
}

func (e *Engine) applyHealthChange(r *run, change health.Change) {
	a, t := r.agent, &e.health.tracker
	text := ""
	switch change {
	case health.Unchanged:
		return
	case health.Isolated:
		text = "agent quarantined"
		agentsQuarantined.Inc()
	case health.TrialFailed:
		text = "agent quarantined again after its trial"
		trialsFailed.Inc()
	case health.Released:
		text = "agent released from quarantine"
		trialsPassed.Inc()
	case health.Withheld:
		text = "agent not quarantined, too many are"
		quarantinesWithheld.Inc()
	}
	if change != health.Withheld {
		// The tracker decides on the agent from here on.
		e.estimates.agent(a.record.Id).failureRate = 0
		e.placementDirty = true
	}
	evidence, failedTrials := t.Evidence(e.now, a.record.Id)
	until, _ := t.IsolatedUntil(a.record.Id)
	e.options.Logger.Info(text, "agent", a.record.Id, "pool", a.record.Pool, "job", r.task.Stage.Job.ID, "queue", r.task.Stage.Job.Queue,
		"evidence", math.Round(evidence*100)/100, "failed_trials", failedTrials, "duration", max(until-e.now, 0),
		"isolated", t.Isolated(a.record.Pool), "agents", e.poolSize(a.record.Pool))
}

func (e *Engine) quarantined(a *agent) bool {
	return e.enabled(AgentHealth) && e.healthOf(a).state == health.Quarantined
}

// cachedHealth is the health of an agent as of a time; the zero value isn't valid.
type cachedHealth struct {
	state    health.State
	slowdown float64
	at       time.Duration
	valid    bool
}

// healthOf returns the health of an agent. It is cached for healthMaxAge unless a run ends
// there, as each scheduling pass needs that of all agents.
func (e *Engine) healthOf(a *agent) *cachedHealth {
	if h := &a.health; !h.valid || e.now-h.at >= healthMaxAge {
		t, id := &e.health.tracker, a.record.Id
		*h = cachedHealth{state: t.State(e.now, id), slowdown: t.Slowdown(id), at: e.now, valid: true}
	}
	return &a.health
}

// updateHealth updates the health of an agent in its free resources.
func (e *Engine) updateHealth(free *freeResources) {
	if !e.enabled(AgentHealth) {
		return
	}
	free.health = e.healthOf(free.agent).state
	free.probes = 0
	if free.health != health.Trial {
		return
	}
	since, _ := e.health.tracker.IsolatedUntil(free.agent.record.Id)
	for _, r := range free.agent.sortedRuns {
		if r.isProbe() && r.trackedAt >= since && e.now-r.trackedAt < probeTime {
			free.probes++
		}
	}
}

// isProbe reports whether the result of a run may decide a trial. Standing runs may never end, and
// a run that an earlier leader started may be from before the quarantine.
func (r *run) isProbe() bool {
	return !r.task.Stage.Standing() && (r.startsSent > 0 || r.phase == phaseUnresolved)
}

// healthAllows reports whether a task of the stage may be placed on the agent as far as its
// health is concerned. Standing tasks and gangs can't serve as probes.
func (f *freeResources) healthAllows(s *graph.Stage) bool {
	switch f.health {
	case health.Quarantined:
		return false
	case health.Trial:
		return f.probes == 0 && !s.Standing() && !s.Step.Gang
	default:
		return true
	}
}

// healthCost returns the cost of placing a task on an agent with regard to its health. A
// task whose next failure fails its job is placed on sound agents only.
func (p *pass) healthCost(t *graph.Task, free *freeResources) float64 {
	if free.health == health.Sound {
		return 0
	}
	left, limited := p.engine.graph.AttemptsLeft(t)
	switch {
	case !limited:
		return 0
	case left <= 1:
		return math.Inf(1)
	case free.health == health.Trial:
		return probeCost / float64(left-1)
	default:
		return 0
	}
}

// healthAllowsStart reports whether a task may still be started on the agent it was placed
// on. The agent may have failed runs while the placement was committed, or while a start was
// unanswered.
func (e *Engine) healthAllowsStart(a *agent, t *graph.Task) bool {
	if !e.enabled(AgentHealth) {
		return true
	}
	state := e.health.tracker.State(e.now, a.record.Id)
	left, limited := e.graph.AttemptsLeft(t)
	return state != health.Quarantined && (state == health.Sound || !limited || left > 1)
}

// expectedSlowdown returns the expected cost of a run on an agent, in normal run times.
func (e *Engine) expectedSlowdown(a *agent) float64 {
	slowdown := 0.5
	if e.enabled(AgentHealth) {
		if s := e.healthOf(a).slowdown; s > 1 {
			slowdown = s
		}
	}
	return e.estimates.expectedSlowdown(a.record.Id, slowdown)
}

// indicatesSpeed reports whether the speed of a run is that of its agent. Opportunistic runs
// only get the CPU that others leave unused, the members of a gang wait for each other, and
// of a resumed run or one of an earlier leader it isn't known when its progress began.
func (e *Engine) indicatesSpeed(r *run) bool {
	step := r.task.Stage.Step
	return !step.Opportunistic && !step.Standing && !step.Gang && step.EstimateMs > 0 &&
		r.throttledAt == 0 && r.startsSent > 0 && r.startedAt != 0 && r.task.Checkpoint == ""
}

// recordSpeed records the speed of a running run by its progress. A run that is being stopped may
// make none.
func (e *Engine) recordSpeed(r *run) {
	if !e.enabled(AgentHealth) || !e.indicatesSpeed(r) || r.progressPercent >= fullPercent || e.reasonToStop(r) != "" {
		return
	}
	elapsed := e.now - max(r.speedSince, r.startedAt)
	if elapsed < minSpeedTime {
		return
	}
	r.expectedDuration = e.expectedRunTime(r)
	expected := float64(elapsed) / float64(r.expectedDuration)
	if expected < minSpeedShare {
		return
	}
	// The agent may have become slow while the run was under way.
	r.slowness = expected * fullPercent / max(float64(r.progressPercent-r.speedFrom), 0.5)
	r.speedFrom, r.speedSince = r.progressPercent, e.now
	e.health.tracker.RecordProgress(e.now, healthAgent(r.agent), healthJob(r.task), r.slowness)
}

// expectedRunTime returns the expected run time of a run on a sound agent in its rack.
func (e *Engine) expectedRunTime(r *run) time.Duration {
	s := r.task.Stage
	duration, _ := e.expectedDuration(s)
	d := float64(duration)
	if s.Step.DataRack != "" && s.Step.DataRack != r.agent.record.Rack {
		d *= e.options.OtherRackFactor
	}
	return max(time.Duration(d), time.Millisecond)
}

// checkHealth removes old records and moves runs off slow agents.
func (e *Engine) checkHealth() {
	if !e.enabled(AgentHealth) {
		return
	}
	if e.now >= e.health.nextPrune {
		e.health.nextPrune = e.now + pruneInterval
		for _, id := range e.health.tracker.Prune(e.now) {
			trialsUndecided.Inc()
			e.options.Logger.Info("agent released from quarantine without a result of its trial", "agent", id)
		}
		for _, id := range e.health.tracker.IsolatedAgents() {
			if e.agents.byID[id] == nil {
				e.health.tracker.Forget(id)
			}
		}
	}
	// The capacity for placements that are being committed isn't free any more.
	if e.now >= e.health.nextMove && !e.placementPending {
		e.health.nextMove = e.now + moveInterval
		e.moveSlowRuns()
	}
}

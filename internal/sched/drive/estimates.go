// This file defines the estimates of agents' speed and reliability, and stall detection.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// newSampleWeight is the weight of a new sample in the moving averages of an agent. About
	// the last eight runs decide.
	newSampleWeight = 0.25
	// failureCost is the cost, in run times, of an agent on which every run fails.
	failureCost = 6.0
	// minStallTime is the least time without progress after which a run is stalled.
	// Progress is reported in whole percent with each poll.
	minStallTime = 2 * time.Second
	// stallShare is the share of a task's declared time without progress after which it
	// is stalled. A task that is four times slower than declared gains a percent in less.
	stallShare = 0.3
	// startupStallTime is the same for standing tasks that don't become ready.
	startupStallTime = 4 * time.Second
)

type (
	// agentEstimate is the estimate of one agent.
	agentEstimate struct {
		slowdown    float64 // run time relative to the declared one and to the queue's durationRatio
		failureRate float64 // share of runs that failed or stalled
	}

	// estimates are what the engine estimates from past runs. The zero value is empty.
	estimates struct {
		agents map[string]*agentEstimate
		// durationRatio is the mean run time relative to the declared one, by queue.
		// Declared times are off by queue more than by agent.
		durationRatio map[string]float64
		// queues and jobs estimate run times from declared ones.
		queues map[string]*durationFit
		jobs   map[*graph.Job]*jobDurations
	}
)

func (es *estimates) agent(id string) *agentEstimate {
	if es.agents == nil {
		es.agents, es.durationRatio = map[string]*agentEstimate{}, map[string]float64{}
		es.queues, es.jobs = map[string]*durationFit{}, map[*graph.Job]*jobDurations{}
	}
	if es.agents[id] == nil {
		es.agents[id] = &agentEstimate{slowdown: 1}
	}
	return es.agents[id]
}

// expectedSlowdown returns the expected cost of a run on an agent, in normal run times. The
// slowdown is at least minSlowdown.
func (es *estimates) expectedSlowdown(id string, minSlowdown float64) float64 {
	ae := es.agents[id]
	if ae == nil {
		return max(minSlowdown, 1)
	}
	return max(ae.slowdown, minSlowdown) + failureCost*ae.failureRate
}

func (ae *agentEstimate) recordResult(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	ae.failureRate += (value - ae.failureRate) * newSampleWeight
}

// recordOutcome updates the estimates with the end of a run. Opportunistic runs don't
// indicate the speed of their agent, as they only get the CPU that others leave unused.
// recordHealth may reset the failure rate, and compares the run time with that of earlier runs.
func (e *Engine) recordOutcome(a *agent, t *graph.Task, outcome wire.RunOutcome) {
	r := e.runs[t]
	if r == nil {
		return
	}
	ae := e.estimates.agent(a.record.Id)
	switch outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		ae.recordResult(false)
		e.recordHealth(r, outcome)
		e.recordSlowdown(ae, r)
		e.recordDuration(r)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		// Standing tasks may fail at any time through no fault of the agent.
		if !t.Stage.Standing() {
			ae.recordResult(true)
		}
		e.recordHealth(r, outcome)
		e.options.Logger.Info("run failed", "job", t.Stage.Job.ID, "step", t.Stage.Index, "index", t.Index, "run", t.Run,
			"agent", a.record.Id, "failures", t.Failures+1, "agent_failing", ae.failureRate)
	}
}

func (e *Engine) recordSlowdown(ae *agentEstimate, r *run) {
	step := r.task.Stage.Step
	if step.Opportunistic || step.EstimateMs == 0 || r.startedAt == 0 || r.task.Checkpoint != "" {
		return
	}
	ratio := float64((e.now - r.startedAt).Milliseconds()) / float64(step.EstimateMs)
	queue := r.task.Stage.Job.Queue
	usual := e.estimates.durationRatio[queue]
	if usual == 0 {
		usual = ratio
	}
	e.estimates.durationRatio[queue] = usual + (ratio-usual)*newSampleWeight/4
	ae.slowdown += (ratio/max(usual, 0.01) - ae.slowdown) * newSampleWeight
}

// checkProgress stops a stalled run so that it is restarted elsewhere from its
// checkpoint.
func (e *Engine) checkProgress(r *run) {
	step := r.task.Stage.Step
	if r.stopReason != "" || r.progressPercent >= 100 || (step.Opportunistic && r.cpuPercent < fullPercent) || step.Gang {
		return
	}
	limit := max(minStallTime, time.Duration(float64(step.EstimateMs)*stallShare)*time.Millisecond)
	if step.Standing {
		limit = startupStallTime
	}
	// Measured up to the latest confirmation: without answers of the agent no progress can
	// be seen.
	if r.confirmedAt-r.progressAt < limit {
		return
	}
	r.stopReason = "no progress"
	runsStalled.Inc()
	e.estimates.agent(r.agent.record.Id).recordResult(true)
	e.options.Logger.Info("run stalled", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "percent", r.progressPercent, "unchanged", e.now-r.progressAt)
}

// This file defines what is learned of agents from how runs go there.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// newSampleWeight is the weight of the newest run in an agent's averages; with
	// it about eight runs decide.
	newSampleWeight = 0.25
	// failureCost is what an agent on which every run fails costs, in run times.
	failureCost = 6.0
	// minStallTime is the shortest time without progress after which a run counts
	// as stalled; progress is told in whole percent with each hold.
	minStallTime = 2 * time.Second
	// stallShare of a task's declared time without progress is a stall: even a
	// task that is four times slower than declared moves by a percent in less.
	stallShare = 0.3
	// startupStallTime is the same for standing tasks that don't get to work.
	startupStallTime = 4 * time.Second
)

type (
	// record is what is learned of one agent.
	agentEstimate struct {
		slowdown    float64 // run time against the declared one, beside all agents'
		failureRate float64 // share of runs that failed, stalled or were refused
	}

	// learning is what is learned of agents. The zero value knows nothing.
	estimates struct {
		agents map[string]*agentEstimate
		// ratio is the run time against the declared one, by queue: declared
		// times are off by queue more than by agent.
		durationRatio map[string]float64
		// queues and jobs tell how long tasks take against what is declared.
		queues map[string]*durationFit
		jobs   map[*graph.Job]*jobDurations
	}
)

func (l *estimates) agent(id string) *agentEstimate {
	if l.agents == nil {
		l.agents, l.durationRatio = map[string]*agentEstimate{}, map[string]float64{}
		l.queues, l.jobs = map[string]*durationFit{}, map[*graph.Job]*jobDurations{}
	}
	if l.agents[id] == nil {
		l.agents[id] = &agentEstimate{slowdown: 1}
	}
	return l.agents[id]
}

// slowness is how many sound run times a run is expected to cost there.
func (l *estimates) expectedSlowdown(id string) float64 {
	r := l.agents[id]
	if r == nil {
		return 1
	}
	return max(r.slowdown, 0.5) + failureCost*r.failureRate
}

func (r *agentEstimate) recordResult(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.failureRate += (value - r.failureRate) * newSampleWeight
}

// recordOutcome learns from an end. Opportunistic runs tell nothing of their
// agent's speed, since they only get what others leave.
func (e *Engine) recordOutcome(at *agent, t *graph.Task, outcome wire.RunOutcome) {
	r := e.runs[t]
	if r == nil {
		return
	}
	learned := e.estimates.agent(at.record.Id)
	switch outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		learned.recordResult(false)
		e.recordSlowdown(learned, r)
		e.recordDuration(r)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		// Standing tasks fail by themselves at any time.
		if !t.Stage.Standing() {
			learned.recordResult(true)
		}
		e.options.Logger.Info("run failed", "job", t.Stage.Job.ID, "step", t.Stage.Index, "index", t.Index, "run", t.Run,
			"agent", at.record.Id, "failures", t.Failures+1, "agent_failing", learned.failureRate)
	}
}

func (e *Engine) recordSlowdown(learned *agentEstimate, r *run) {
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
	learned.slowdown += (ratio/max(usual, 0.01) - learned.slowdown) * newSampleWeight
}

// checkProgress stops a run that stands still, so that it is started again
// elsewhere. Its checkpoint is kept.
func (e *Engine) checkProgress(r *run) {
	step := r.task.Stage.Step
	if r.stopReason != "" || r.progressPercent >= 100 || (step.Opportunistic && r.cpuPercent < fullPercent) || step.Gang {
		return
	}
	limit := max(minStallTime, time.Duration(float64(step.EstimateMs)*stallShare)*time.Millisecond)
	if step.Standing {
		limit = startupStallTime
	}
	// Only what the agent has told since counts: without a fresh answer there
	// is no progress to see.
	if r.confirmedAt-r.progressAt < limit {
		return
	}
	r.stopReason = "it stands still"
	runsStalled.Inc()
	e.estimates.agent(r.agent.record.Id).recordResult(true)
	e.options.Logger.Info("run stands still", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "percent", r.progressPercent, "unchanged", e.now-r.progressAt)
}

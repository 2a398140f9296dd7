// This file defines what is learned of agents from how runs go there.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// learnWeight is the weight of the newest run in an agent's averages; with
	// it about eight runs decide.
	learnWeight = 0.25
	// failCost is what an agent on which every run fails costs, in run times.
	failCost = 6.0
	// minStall is the shortest time without progress after which a run counts
	// as stalled; progress is told in whole percent with each hold.
	minStall = 2 * time.Second
	// stallShare of a task's declared time without progress is a stall: even a
	// task that is four times slower than declared moves by a percent in less.
	stallShare = 0.3
	// startupStall is the same for standing tasks that don't get to work.
	startupStall = 4 * time.Second
)

type (
	// record is what is learned of one agent.
	record struct {
		slow   float64 // run time against the declared one, beside all agents'
		failed float64 // share of runs that failed, stalled or were refused
	}

	// learning is what is learned of agents. The zero value knows nothing.
	learning struct {
		agents map[string]*record
		// ratio is the run time against the declared one, by queue: declared
		// times are off by queue more than by agent.
		ratio map[string]float64
		// queues and jobs tell how long tasks take against what is declared.
		queues map[string]*timeFit
		jobs   map[*graph.Job]*ownTimes
	}
)

func (l *learning) of(id string) *record {
	if l.agents == nil {
		l.agents, l.ratio = map[string]*record{}, map[string]float64{}
		l.queues, l.jobs = map[string]*timeFit{}, map[*graph.Job]*ownTimes{}
	}
	if l.agents[id] == nil {
		l.agents[id] = &record{slow: 1}
	}
	return l.agents[id]
}

// slowness is how many sound run times a run is expected to cost there.
func (l *learning) slowness(id string) float64 {
	r := l.agents[id]
	if r == nil {
		return 1
	}
	return max(r.slow, 0.5) + failCost*r.failed
}

func (r *record) note(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.failed += (value - r.failed) * learnWeight
}

// noteOutcome learns from an end. Opportunistic runs tell nothing of their
// agent's speed, since they only get what others leave.
func (e *Engine) noteOutcome(at *agent, t *graph.Task, outcome wire.RunOutcome) {
	r := e.runs[t]
	if r == nil {
		return
	}
	learned := e.learned.of(at.record.Id)
	switch outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		learned.note(false)
		e.noteDuration(learned, r)
		e.noteTime(r)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		// Standing tasks fail by themselves at any time.
		if !t.Stage.Standing() {
			learned.note(true)
		}
		e.options.Logger.Info("run failed", "job", t.Stage.Job.ID, "step", t.Stage.Index, "index", t.Index, "run", t.Run,
			"agent", at.record.Id, "failures", t.Failures+1, "agent_failing", learned.failed)
	}
}

func (e *Engine) noteDuration(learned *record, r *run) {
	step := r.task.Stage.Step
	if step.Opportunistic || step.EstimateMs == 0 || r.startedAt == 0 || r.task.Checkpoint != "" {
		return
	}
	ratio := float64((e.now - r.startedAt).Milliseconds()) / float64(step.EstimateMs)
	queue := r.task.Stage.Job.Queue
	usual := e.learned.ratio[queue]
	if usual == 0 {
		usual = ratio
	}
	e.learned.ratio[queue] = usual + (ratio-usual)*learnWeight/4
	learned.slow += (ratio/max(usual, 0.01) - learned.slow) * learnWeight
}

// tendProgress stops a run that stands still, so that it is started again
// elsewhere. Its checkpoint is kept.
func (e *Engine) tendProgress(r *run) {
	step := r.task.Stage.Step
	if r.stopReason != "" || r.percent >= 100 || (step.Opportunistic && r.pace < fullPace) || step.Gang {
		return
	}
	limit := max(minStall, time.Duration(float64(step.EstimateMs)*stallShare)*time.Millisecond)
	if step.Standing {
		limit = startupStall
	}
	// Only what the agent has told since counts: without a fresh answer there
	// is no progress to see.
	if r.confirmedAt-r.progressAt < limit {
		return
	}
	r.stopReason = "it stands still"
	runsStalled.Inc()
	e.learned.of(r.agent.record.Id).note(true)
	e.options.Logger.Info("run stands still", "job", r.task.Stage.Job.ID, "step", r.task.Stage.Index, "index", r.task.Index, "run", r.number,
		"agent", r.agent.record.Id, "percent", r.percent, "unchanged", e.now-r.progressAt)
}

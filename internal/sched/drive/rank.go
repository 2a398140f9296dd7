// This file defines the scheduling order of stages.

package drive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// lateFactor is how many times its objective a job may take before it counts as too late.
	// Until then its end is still of some worth to the caller.
	lateFactor = 3
)

// markOverloaded marks the stages of queues with more pending work than can be done in
// time. Under overload, ordering by the least slack fails: each job is reached when it
// has too little time left and ends late, while others age, and many jobs are started but
// few end in time.
func (e *Engine) markOverloaded(list []rankedStage) {
	queues := map[string]*backlog{}
	for i := range list {
		if r := &list[i]; r.prospect == inTime {
			backlogOf(queues, r.stage.Job.Queue).add(r)
		}
	}
	for k, l := range e.runningCPU {
		backlogOf(queues, k.queue).running += l
	}
	for _, b := range queues {
		b.detectOverload()
	}
	e.queue.overloaded = map[string]bool{}
	for q, b := range queues {
		e.queue.overloaded[q] = b.overloaded
	}
	for i := range list {
		list[i].overloaded = e.queue.overloaded[list[i].stage.Job.Queue]
	}
}

type (
	// backlog is the pending work of a queue that can still be done in time, and its
	// running CPU. Work is in millicores times milliseconds.
	backlog struct {
		running    float64
		waiting    []demand
		overloaded bool
	}

	// demand is work that has to start within a time.
	demand struct {
		work   float64
		within time.Duration
	}
)

func backlogOf(queues map[string]*backlog, queue string) *backlog {
	b := queues[queue]
	if b == nil {
		b = &backlog{}
		queues[queue] = b
	}
	return b
}

func (b *backlog) add(r *rankedStage) {
	step := r.stage.Step
	work := float64(step.CpuMillis) * float64(r.stage.Unplaced) * float64(step.EstimateMs)
	b.waiting = append(b.waiting, demand{work, r.slack})
}

// detectOverload checks whether some of the pending work will start too late if it is
// taken by least slack, at the rate at which the queue is served now.
func (b *backlog) detectOverload() {
	slices.SortFunc(b.waiting, func(x, y demand) int { return cmp.Compare(x.within, y.within) })
	work := 0.0
	for _, d := range b.waiting {
		work += d.work
		if work > b.running*float64(d.within.Milliseconds()) {
			b.overloaded = true
			return
		}
	}
}

// logPlaced logs the placements of a stage with the criteria that ordered it.
func (e *Engine) logPlaced(r *rankedStage, placed []*wire.RunPlacement) {
	runsPlaced.Add(len(placed))
	var text strings.Builder
	for i, p := range placed {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%d#%d@%s", p.Id.Index, p.Id.Run, p.Agent)
	}
	e.options.Logger.Info("runs placed", "job", r.stage.Job.ID, "occurrence", r.stage.Occurrence, "step", r.stage.Index,
		"priority", r.priority, "slack_ms", r.slack.Milliseconds(), "prospect", prospectNames[r.prospect], "crowded", r.overloaded,
		"cpu", r.stage.Step.CpuMillis, "memory_mb", r.stage.Step.MemoryMb, "waited_ms", (e.now - e.progress[r.stage].readyAt).Milliseconds(), "unplaced", r.stage.Unplaced, "runs", text.String())
}

// Prospects of a job.
const (
	inTime  = iota // it can meet its objective
	late           // it can end within lateFactor times its objective
	tooLate        // it can do neither
)

var prospectNames = [...]string{inTime: "in time", late: "late", tooLate: "too late"}

// rankedStage is a stage with the criteria that order it.
type rankedStage struct {
	stage *graph.Stage
	// first puts a stage before all others: standing tasks that ran before, and final
	// attempts, which need an agent without unconfirmed runs.
	first    bool
	priority uint32
	prospect int
	started  bool
	// overloaded indicates that its queue has more pending work than can be done in time.
	overloaded bool
	slack      time.Duration
	// class is the number of its task class.
	class int
	// advised indicates that an advice service decides which agents may run it.
	advised bool
}

// compareStages compares two stages by before, for sorting.
func compareStages(a, b rankedStage) int {
	switch {
	case a.stage == b.stage:
		return 0
	case a.before(&b):
		return -1
	default:
		return 1
	}
}

func (r *rankedStage) before(other *rankedStage) bool {
	switch {
	case r.first != other.first:
		return r.first
	case r.priority != other.priority:
		return r.priority < other.priority
	case r.prospect != other.prospect:
		return r.prospect < other.prospect
	case r.started != other.started:
		return r.started
	case r.mostSlackFirst() != other.mostSlackFirst():
		return other.mostSlackFirst()
	case r.slack != other.slack:
		return (r.slack < other.slack) != r.mostSlackFirst()
	default:
		return r.stage.Before(other.stage)
	}
}

// mostSlackFirst reports whether stages like this one are ordered by the most slack
// first. Started jobs aren't, as they already hold resources.
func (r *rankedStage) mostSlackFirst() bool {
	return r.overloaded && r.prospect == inTime && !r.started
}

// rank computes the criteria that order a stage.
func (e *Engine) rank(s *graph.Stage, wall time.Time) rankedStage {
	q := e.graph.Queue(s.Job.Queue)
	begin := s.Job.AcceptedAt
	if !s.Due.IsZero() {
		begin = s.Due
	}
	factor := e.durationFactor(s)
	objective := e.objective(s, q, factor)
	age := wall.Sub(begin)
	r := rankedStage{stage: s, priority: q.GetPriority(), started: s.Job.Started()}
	r.first = s.Standing() && s.HasRun() || s.OnFinalAttempt()
	remaining := time.Duration(float64(s.CriticalPath) * factor)
	r.slack = objective - remaining - age
	if r.slack < 0 {
		r.prospect = late
		r.slack = lateFactor*objective - age - remaining
	}
	if r.slack < 0 {
		r.prospect = tooLate
	}
	r.class = e.queue.classNumber(e.taskClassOf(s))
	r.advised = e.advicePolicyOf(s) != nil
	return r
}

// objective returns the time in which a job should be done, given the factor by which its
// tasks take longer than declared.
func (e *Engine) objective(s *graph.Stage, q *wire.Queue, factor float64) time.Duration {
	var chain time.Duration
	for _, st := range s.Job.Occurrences[s.Occurrence] {
		chain = max(chain, st.CriticalPath)
	}
	return time.Duration(float64(chain)*factor*max(q.GetStretch(), 1)) + q.GetTarget().AsDuration()
}

// This file defines in which order stages are served.

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
	// lateFactor objectives are how long a job's end still has a worth.
	lateFactor = 3
)

// markOverloaded marks the stages of queues in which more waits than can be done in
// time. There the nearest objective is a bad guide: by the time a job is next it
// has so little time left that it ends just too late, and the one after it too,
// while those that could have made it grow old; and many jobs are begun of which
// few end. One sees it by nearly all jobs ending late though many end.
func (e *Engine) markOverloaded(list []rankedStage) {
	queues := map[string]*backlog{}
	for i := range list {
		if r := &list[i]; r.prospect == inTime {
			backlogOf(queues, r.stage.Job.Queue).add(r)
		}
	}
	for key, load := range e.runningCPU {
		backlogOf(queues, key.queue).running += load
	}
	for _, b := range queues {
		b.detectOverload()
	}
	e.queue.overloaded = map[string]bool{}
	for queue, b := range queues {
		e.queue.overloaded[queue] = b.overloaded
	}
	for i := range list {
		list[i].overloaded = e.queue.overloaded[list[i].stage.Job.Queue]
	}
}

type (
	// backlog is what waits of a queue and can be done in time, against what runs of
	// it. Work is in thousandths of a processor times milliseconds.
	backlog struct {
		running    float64
		waiting    []demand
		overloaded bool
	}

	// demand is work that has to be begun within a time.
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

// judge finds out whether some of what waits will be begun too late, taken by the
// nearest objective, at the pace at which the queue is served now.
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

// logPlaced says where a stage's tasks go, and on what grounds it came now.
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
		"waited_ms", (e.now - e.readySince[r.stage]).Milliseconds(), "unplaced", r.stage.Unplaced, "runs", text.String())
}

// The prospects of a job.
const (
	inTime  = iota // it can still keep its objective
	late           // it can still end within lateFactor objectives
	tooLate        // neither
)

var prospectNames = [...]string{inTime: "in time", late: "late", tooLate: "too late"}

// ranked is a stage with what decides when it is served.
type rankedStage struct {
	stage *graph.Stage
	// first tells that it goes before all else: standing work that ran before, and last
	// tries, which have to find an agent where nothing has just been started.
	first    bool
	priority uint32
	prospect int
	started  bool
	// crowded tells that more waits in its queue than can be done in time.
	overloaded bool
	slack      time.Duration
	// kind numbers the kinds of tasks that are alike but for their size.
	class int
	// advised tells that an outside service decides which agents may run it.
	advised bool
}

// compareStages is before as packages of the standard library want it.
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

// mostSlackFirst tells whether the one with the most time left goes first among its
// like. What has begun goes on by the nearest objective: it holds room already.
func (r *rankedStage) mostSlackFirst() bool {
	return r.overloaded && r.prospect == inTime && !r.started
}

// rank works out what decides when a stage is served.
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
	left := time.Duration(float64(s.CriticalPath) * factor)
	r.slack = objective - left - age
	if r.slack < 0 {
		r.prospect = late
		r.slack = lateFactor*objective - age - left
	}
	if r.slack < 0 {
		r.prospect = tooLate
	}
	r.class = e.queue.classNumber(e.taskClassOf(s))
	r.advised = e.advicePolicyOf(s) != nil
	return r
}

// objective is the time in which a job should be done whose tasks take so many times as
// long as declared.
func (e *Engine) objective(s *graph.Stage, q *wire.Queue, factor float64) time.Duration {
	var chain time.Duration
	for _, first := range s.Job.Occurrences[s.Occurrence] {
		chain = max(chain, first.CriticalPath)
	}
	return time.Duration(float64(chain)*factor*max(q.GetStretch(), 1)) + q.GetTarget().AsDuration()
}

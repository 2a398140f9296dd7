// This file defines in which order stages are served.

package drive

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// lateFactor objectives are how long a job's end still has a worth.
	lateFactor = 3
	// crowdedShare of the time that a job can spare is how long the jobs of its
	// queue that wait, in time and not begun, may take until the newest goes first.
	// Shares of 0.3, 0.5 and 0.7 gave a worth of 0.588, 0.585 and 0.573 (66 agents,
	// mean of six days, one run each), and kept 0.67, 0.67 and 0.58 of the
	// objectives at 1.5 times the load that there is room for, where 0.67 is all.
	crowdedShare = 0.3
)

// ordered puts the stages in the order in which they are served: standing work
// that ran before, then by their queue's priority and what their jobs can still
// earn.
func (e *Engine) ordered(stages []*graph.Stage, wall time.Time) []ranked {
	list := make([]ranked, 0, len(stages))
	for _, s := range stages {
		if !s.Due.After(wall) {
			list = append(list, e.rank(s, wall))
		}
	}
	e.noteCrowded(list)
	sort.Slice(list, func(i, k int) bool { return list[i].before(list[k]) })
	return list
}

// noteCrowded marks the stages of queues in which more waits than can be done in
// time. There the nearest objective is a bad guide: by the time a job is next it
// has so little time left that it ends just too late, and the one after it too,
// while those that could have made it grow old. One sees it by nearly all jobs
// ending late though many end. The newest first keeps as many objectives as
// there is room for; what it leaves is too late either way. Worth went from 0.564
// to 0.588 at 66 agents and from 0.760 to 0.762 at 48, where little is crowded
// (mean of six days, without processor time, one run each).
func (e *Engine) noteCrowded(list []ranked) {
	queues := map[string]*backlog{}
	for _, r := range list {
		if r.prospect == inTime && !r.begun {
			backlogOf(queues, r.stage).add(r)
		}
	}
	for t := range e.runs {
		backlogOf(queues, t.Stage).running += float64(t.Stage.Step.CpuMillis)
	}
	for i := range list {
		list[i].crowded = queues[list[i].stage.Job.Queue].crowded()
	}
}

// backlog is what waits of a queue, in time and not begun, against what runs of
// it. Work is in thousandths of a processor times milliseconds.
type backlog struct {
	work, running float64
	cpu, spare    float64 // spare is the sum of cpu times milliseconds
}

func backlogOf(queues map[string]*backlog, s *graph.Stage) *backlog {
	b := queues[s.Job.Queue]
	if b == nil {
		b = &backlog{}
		queues[s.Job.Queue] = b
	}
	return b
}

func (b *backlog) add(r ranked) {
	cpu := float64(r.stage.Step.CpuMillis) * float64(r.stage.Unplaced)
	b.cpu += cpu
	b.work += cpu * float64(r.stage.Step.EstimateMs)
	b.spare += cpu * float64(r.spare.Milliseconds())
}

// crowded tells whether what waits takes longer than its jobs can spare on
// average, at the pace at which the queue is served now.
func (b *backlog) crowded() bool {
	if b == nil || b.cpu == 0 {
		return false
	}
	return b.work > crowdedShare*b.spare/b.cpu*b.running
}

// logPlaced says where a stage's tasks go, and on what grounds it came now.
func (e *Engine) logPlaced(r ranked, placed []*wire.RunPlacement) {
	runsPlaced.Add(len(placed))
	var text strings.Builder
	for i, p := range placed {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%d#%d@%s", p.Id.Index, p.Id.Run, p.Agent)
	}
	e.options.Logger.Info("runs placed", "job", r.stage.Job.ID, "occurrence", r.stage.Occurrence, "step", r.stage.Index,
		"priority", r.priority, "slack_ms", r.slack.Milliseconds(), "prospect", prospectNames[r.prospect], "crowded", r.crowded,
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
type ranked struct {
	stage    *graph.Stage
	again    bool // standing work that ran before
	priority uint32
	prospect int
	begun    bool
	// crowded tells that more waits in its queue than can be done in time.
	crowded bool
	slack   time.Duration
	// spare is the slack that the job had when it was accepted.
	spare time.Duration
}

func (r ranked) before(other ranked) bool {
	switch {
	case r.again != other.again:
		return r.again
	case r.priority != other.priority:
		return r.priority < other.priority
	case r.prospect != other.prospect:
		return r.prospect < other.prospect
	case r.begun != other.begun:
		return r.begun
	case r.newestFirst() != other.newestFirst():
		return other.newestFirst()
	case r.slack != other.slack:
		return (r.slack < other.slack) != r.newestFirst()
	default:
		return r.stage.Before(other.stage)
	}
}

// newestFirst tells whether the one with the most time left goes first among its
// like. What has begun goes on by the nearest objective: it holds room already.
func (r ranked) newestFirst() bool {
	return r.crowded && r.prospect == inTime && !r.begun
}

// rank works out what decides when a stage is served.
func (e *Engine) rank(s *graph.Stage, wall time.Time) ranked {
	q := e.graph.Queue(s.Job.Queue)
	begin := s.Job.AcceptedAt
	if !s.Due.IsZero() {
		begin = s.Due
	}
	objective := e.objective(s, q)
	age := wall.Sub(begin)
	r := ranked{stage: s, priority: q.GetPriority(), begun: s.Job.Begun()}
	r.again = s.Standing() && s.Ran()
	r.spare = objective - s.Longest
	r.slack = r.spare - age
	if r.slack < 0 {
		r.prospect = late
		r.slack = lateFactor*objective - age - s.Longest
	}
	if r.slack < 0 {
		r.prospect = tooLate
	}
	return r
}

// objective is the time in which a job should be done.
func (e *Engine) objective(s *graph.Stage, q *wire.Queue) time.Duration {
	var chain time.Duration
	for _, first := range s.Job.Occurrences[s.Occurrence] {
		chain = max(chain, first.Longest)
	}
	return time.Duration(float64(chain)*max(q.GetStretch(), 1)) + q.GetTarget().AsDuration()
}

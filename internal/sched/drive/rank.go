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

// lateFactor objectives are how long a job's end still has a worth.
const lateFactor = 3

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
	sort.Slice(list, func(i, k int) bool { return list[i].before(list[k]) })
	return list
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
		"priority", r.priority, "slack_ms", r.slack.Milliseconds(), "prospect", prospectNames[r.prospect],
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
	slack    time.Duration
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
	case r.slack != other.slack:
		return r.slack < other.slack
	default:
		return r.stage.Before(other.stage)
	}
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
	r.slack = objective - age - s.Longest
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

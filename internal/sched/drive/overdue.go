// This file defines how runs of ended jobs that go on are reported.

package drive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// stopOverdueAfter is how long a job may have ended before a run of it is reported. A stop
	// is answered, executed and listed in less, unless something holds it back.
	stopOverdueAfter = 2 * time.Second
	// overdueScanInterval is the interval at which the runs of ended jobs are examined.
	overdueScanInterval = 500 * time.Millisecond
	// maxOverdueLogged limits the log lines of one examination. The others are counted.
	maxOverdueLogged = 20
)

// stopObstacle is what keeps a run of an ended job from being stopped.
type stopObstacle string

const (
	obstacleNoLease     stopObstacle = "no-leader-lease"
	obstacleDropping    stopObstacle = "agent-being-dropped"
	obstacleNotHeard    stopObstacle = "agent-not-heard"
	obstacleEndPending  stopObstacle = "end-being-committed"
	obstacleUnlisted    stopObstacle = "stop-accepted"
	obstacleUnreachable stopObstacle = "agent-unreachable"
	obstacleUnanswered  stopObstacle = "stop-unanswered"
	obstacleNone        stopObstacle = "none"
)

var stopObstacles = []stopObstacle{
	obstacleNoLease, obstacleDropping, obstacleNotHeard, obstacleEndPending, obstacleUnlisted, obstacleUnreachable, obstacleUnanswered, obstacleNone,
}

var (
	// endedJobRuns and oldestEndedJobRun describe the runs of ended jobs as of the latest
	// examination: their number, and for how many milliseconds the first of their jobs has
	// ended.
	endedJobRuns, oldestEndedJobRun atomic.Int64
	overdueCounters                 = map[stopObstacle]*metrics.Counter{}
)

func init() {
	metrics.NewGauge("sycamoredeck_runs_of_ended_jobs", func() float64 { return float64(endedJobRuns.Load()) })
	metrics.NewGauge("sycamoredeck_runs_of_ended_jobs_oldest_seconds", func() float64 {
		return (time.Duration(oldestEndedJobRun.Load()) * time.Millisecond).Seconds()
	})
	for _, o := range stopObstacles {
		overdueCounters[o] = metrics.NewCounter(`sycamoredeck_runs_of_ended_jobs_overdue_total{held_by="` + string(o) + `"}`)
	}
}

// noteEndedJob records when this leader learned that the job of a run has ended.
func (e *Engine) noteEndedJob(r *run) {
	if r.jobEndedAt == 0 && r.task.Stage.Job.Ended() {
		r.jobEndedAt = e.now
		e.endedJobRuns[r] = true
	}
}

// stopObstacleOf returns what keeps a run of an ended job from being stopped, or why its end
// isn't known yet.
func (e *Engine) stopObstacleOf(r *run) stopObstacle {
	a := r.agent
	switch {
	case !e.holdsLeaderLease():
		return obstacleNoLease
	case a.dropping:
		return obstacleDropping
	case !a.synced:
		return obstacleNotHeard
	case r.endPending:
		return obstacleEndPending
	case a.failedPolls > 0:
		return obstacleUnreachable
	case r.phase == phaseClosed:
		return obstacleUnlisted
	case r.stopPending:
		return obstacleUnanswered
	default:
		return obstacleNone
	}
}

// reportOverdueStops logs and counts the runs of ended jobs that go on for too long, once for
// each obstacle. It runs without the leader lease as well.
func (e *Engine) reportOverdueStops() {
	if e.now < e.nextOverdueScan {
		return
	}
	e.nextOverdueScan = e.now + overdueScanInterval
	oldest := e.now
	var overdue []*run
	for r := range e.endedJobRuns {
		oldest = min(oldest, r.jobEndedAt)
		if e.now-r.jobEndedAt >= stopOverdueAfter && r.reportedObstacle != e.stopObstacleOf(r) {
			overdue = append(overdue, r)
		}
	}
	endedJobRuns.Store(int64(len(e.endedJobRuns)))
	oldestEndedJobRun.Store((e.now - oldest).Milliseconds())
	slices.SortFunc(overdue, func(x, y *run) int {
		return cmp.Or(cmp.Compare(x.jobEndedAt, y.jobEndedAt), strings.Compare(formatRun(x), formatRun(y)))
	})
	for i, r := range overdue {
		obstacle := e.stopObstacleOf(r)
		r.reportedObstacle = obstacle
		overdueCounters[obstacle].Inc()
		if i >= maxOverdueLogged {
			continue
		}
		e.options.Logger.Warn("run of an ended job goes on", "run", formatRun(r), "held_by", string(obstacle), "job_state", r.task.Stage.Job.State.String(),
			"since", e.now-r.jobEndedAt, "stops", r.stopsSent, "last_stop", r.lastStop, "silent", e.now-r.agent.answeredAt)
	}
}

// formatRun returns TASK#RUN@AGENT, as in the log lines of ends.
func formatRun(r *run) string { return formatRunOn(r.id(), r.agent) }

func formatRunOn(id *wire.RunId, a *agent) string {
	return fmt.Sprintf("%s.%d.%d.%d#%d@%s", id.Job, id.Occurrence, id.Step, id.Index, id.Run, a.record.Id)
}

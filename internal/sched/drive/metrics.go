// This file defines the metrics of the scheduling engine.

package drive

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
)

var (
	runsPlaced          = metrics.NewCounter("sycamoredeck_runs_placed_total")
	runsEnded           = metrics.NewCounter(`sycamoredeck_runs_ended_total{outcome="all"}`)
	agentsDropped       = metrics.NewCounter("sycamoredeck_agents_given_up_total")
	runsLost            = metrics.NewCounter("sycamoredeck_runs_lost_with_agents_total")
	pollsFailed         = metrics.NewCounter("sycamoredeck_agent_holds_failed_total")
	runsEvicted         = metrics.NewCounter("sycamoredeck_runs_moved_away_total")
	contentionEvictions = metrics.NewCounter("sycamoredeck_contention_evictions_total")
	opportunisticHalts  = metrics.NewCounter("sycamoredeck_opportunistic_halts_total")
	reportsIgnored      = metrics.NewCounter("sycamoredeck_agent_reports_ignored_total")
	// standingHeldBack counts how often the reserve by size class held back new standing
	// tasks of a stage, once per stage and pass.
	standingHeldBack = metrics.NewCounter("sycamoredeck_standing_held_back_total")
	// staleReports counts heartbeats of incarnations that were dropped or have a successor,
	// completionsSkipped completions that were skipped by their number although their run is
	// considered present.
	staleReports       = metrics.NewCounter("sycamoredeck_agent_reports_overlooked_total")
	completionsSkipped = metrics.NewCounter("sycamoredeck_run_ends_skipped_total")
	// quarantinesWithheld counts failures after which an agent wasn't quarantined because too
	// many already were.
	agentsQuarantined   = metrics.NewCounter("sycamoredeck_agents_quarantined_total")
	quarantinesWithheld = metrics.NewCounter("sycamoredeck_agent_quarantines_withheld_total")
	trialsPassed        = metrics.NewCounter(`sycamoredeck_agent_trials_total{outcome="passed"}`)
	trialsFailed        = metrics.NewCounter(`sycamoredeck_agent_trials_total{outcome="failed"}`)
	trialsUndecided     = metrics.NewCounter(`sycamoredeck_agent_trials_total{outcome="undecided"}`)
	runsMoved           = metrics.NewCounter("sycamoredeck_runs_moved_off_slow_agents_total")
	runsStalled         = metrics.NewCounter("sycamoredeck_runs_stalled_total")
	// agentsVisited counts the agents that were examined outside of scheduling passes.
	agentsVisited = metrics.NewCounter("sycamoredeck_agents_examined_total")
	readyToStart  = metrics.NewHistogram("sycamoredeck_task_wait_seconds")
	// The parts of the way from a ready stage to a started run.
	queueSeconds    = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="queue"}`)
	commitSeconds   = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="commit"}`)
	slotSeconds     = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="slot"}`)
	dispatchSeconds = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="dispatch"}`)
	callSeconds     = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="call"}`)
	answerSeconds   = metrics.NewHistogram(`sycamoredeck_start_part_seconds{part="answer"}`)
	// startsLate counts starts that were sent long after their decision, startsAfterLeaving
	// those that were sent to an agent that was known to leave.
	startsLate         = metrics.NewCounter(`sycamoredeck_starts_sent_late_total{reason="dispatch"}`)
	startsAfterLeaving = metrics.NewCounter(`sycamoredeck_starts_sent_late_total{reason="leaving"}`)
)

// outcomeNames and outcomeCounters are precomputed, as thousands of runs may end in a
// second.
var (
	outcomeNames    = map[wire.RunOutcome]string{}
	outcomeCounters = map[wire.RunOutcome]*metrics.Counter{}
)

func init() {
	for i, n := range wire.RunOutcome_name {
		n = strings.ToLower(strings.TrimPrefix(n, "RUN_OUTCOME_"))
		outcomeNames[wire.RunOutcome(i)] = n
		outcomeCounters[wire.RunOutcome(i)] = metrics.GetOrCreateCounter(`sycamoredeck_runs_ended_total{outcome="` + n + `"}`)
	}
}

// countEnd counts the end of a run, in total and by its outcome.
func countEnd(outcome wire.RunOutcome) {
	runsEnded.Inc()
	outcomeCounters[outcome].Inc()
}

// This file defines how crashes of agents are reported to later leaders.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	// crashReportDelay is how long an agent whose connections were closed may take to answer
	// again before its crash is reported.
	crashReportDelay = 50 * time.Millisecond
	// crashScanInterval is the interval at which the agents are scanned for those that
	// crashed or answer again.
	crashScanInterval = 20 * time.Millisecond
	// maxCrashReports limits the agents in one proposal, so that a network outage doesn't
	// cause a large one.
	maxCrashReports = 50
)

// commitCrashReports commits which runs are to be blamed for the crashes of agents. An
// agent's process has to be replaced or its lease to expire before its runs may be ended,
// and without a report a leader elected meanwhile wouldn't know which runs were there.
func (e *Engine) commitCrashReports() {
	if e.now < e.nextCrashScan || e.crashesPending {
		return
	}
	e.nextCrashScan = e.now + crashScanInterval
	var reports []*wire.CrashReport
	var alive []*agent
	for _, a := range e.agents.troubledAgents() {
		if len(reports) == maxCrashReports {
			break
		}
		switch {
		case a.dropping:
		case a.connectionClosed && !a.crashReported && e.now-a.closedAt >= crashReportDelay:
			a.crashReported = true
			if ends := e.blamedRuns(a); len(ends) > 0 {
				reports = append(reports, &wire.CrashReport{Id: a.record.Id, Ends: ends})
			}
		case a.answering() && a.crashReported:
			alive = append(alive, a)
			reports = append(reports, &wire.CrashReport{Id: a.record.Id})
		}
	}
	if len(reports) == 0 {
		return
	}
	e.crashesPending = true
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_CrashReports{CrashReports: &wire.CrashReports{Agents: reports}}},
		func(_ state.Result, err error) {
			e.crashesPending = false
			if err != nil {
				return // an agent that answers is proposed again
			}
			for _, a := range alive {
				a.crashReported = false
			}
		})
}

// blamedRuns returns the ends of the runs that are blamed if an agent has crashed.
func (e *Engine) blamedRuns(a *agent) []*wire.RunEnd {
	var ends []*wire.RunEnd
	for _, r := range a.sortedRuns {
		if !a.synced && e.placedLongBefore(r) {
			continue
		}
		if end := r.crashEnd(); !r.endPending && end.Outcome != wire.RunOutcome_RUN_OUTCOME_LOST {
			ends = append(ends, end)
		}
	}
	return ends
}

// answering reports whether the agent has answered this leader and nothing since indicates
// that it has ended.
func (a *agent) answering() bool { return a.synced && a.failedPolls == 0 && !a.connectionClosed }

// reportedEnd returns the end of a run according to its agent's crash report; nil if there
// is none or the agent has answered since.
func (e *Engine) reportedEnd(r *run) *wire.RunEnd {
	registered := e.graph.Agent(r.agent.record.Id)
	if registered == nil || r.agent.answering() {
		return nil
	}
	return registered.ReportedCrash(r.id())
}

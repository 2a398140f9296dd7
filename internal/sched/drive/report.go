// This file defines how heartbeats of agents are taken.

package drive

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

// ErrNotLeader says that another replica has to be told.
var ErrNotLeader = errors.New("drive: this replica doesn't lead")

// Reported takes a heartbeat. Done is called once what it says is kept for
// good: at once when it says nothing new. In particular that an agent leaves is
// acknowledged only after every later leader is bound to know it.
func (e *Engine) HandleReport(now time.Duration, report *wire.ReportAgentRequest, done func(error)) {
	e.now = now
	if e.term == 0 {
		done(ErrNotLeader)
		return
	}
	if report.Gone {
		e.handleGone(report.Agent, done)
		return
	}
	record, err := e.registration(report.Agent)
	if err != nil {
		done(err)
		return
	}
	if record == nil || e.graph.AgentRemoved(record.Id) {
		e.logStaleReport(report.Agent)
		done(nil) // sent before it was given up; there is nothing to learn
		return
	}
	known := e.graph.Agent(record.Id)
	if !e.registrable(known, record) {
		reportsIgnored.Inc()
		done(nil)
		return
	}
	r := e.agents[record.Id]
	if r != nil {
		if report.Sequence != 0 && report.Sequence < r.reportSequence {
			done(nil)
			return
		}
		r.reportSequence = max(r.reportSequence, report.Sequence)
		if record.Leaving && report.Remaining != nil {
			r.leavesAt = now + report.Remaining.AsDuration()
		}
	}
	if known != nil && sameAgent(known.Record, record) {
		e.markReported(record.Id)
		done(nil)
		return
	}
	e.options.Logger.Info("agent reported", "agent", record.Id, "address", record.Address, "pool", record.Pool,
		"failure_domain", record.FailureDomain, "leaving", record.Leaving, "incarnation", record.Incarnation, "new", known == nil)
	e.commitReport(&wire.WorkCommand{Body: &wire.WorkCommand_PutAgent{PutAgent: record}}, func(err error) {
		if err == nil {
			e.markReported(record.Id)
		}
		done(err)
	})
}

// logStaleReport logs the first heartbeat of an incarnation that isn't to be used: it
// was given up, or a later one is known. One is sent late; more of them are an agent that
// lives and isn't used.
func (e *Engine) logStaleReport(record *wire.Agent) {
	staleReports.Inc()
	if known, logged := e.ignoredReports[record.Id]; logged && known == record.Incarnation {
		return
	}
	e.ignoredReports[record.Id] = record.Incarnation
	e.options.Logger.Info("report of an incarnation that was given up", "agent", record.Id, "address", record.Address, "incarnation", record.Incarnation)
}

// markReported notes that the state holds what an agent said to this leader.
func (e *Engine) markReported(id string) {
	if at := e.agents[id]; at != nil {
		at.reported = true
	}
}

// Knows tells whether a heartbeat says no more than the replicated state of this
// replica, so that it needn't be taken to the leader. How long a leaving agent stays
// isn't part of that state.
func (e *Engine) IsRedundant(report *wire.ReportAgentRequest) bool {
	if report.Gone || report.Agent.Leaving {
		return false
	}
	record, err := e.registration(report.Agent)
	if err != nil || record == nil {
		return false
	}
	known := e.graph.Agent(record.Id)
	return known != nil && sameAgent(known.Record, record)
}

// names tells whether a heartbeat names an agent that may be used. One of a pool
// that no catalog has is taken once a catalog has it, by a later heartbeat:
// whoever writes heartbeats could else fill the state and the log with agents
// that nothing runs on. An incarnation keeps its address and pool.
func (e *Engine) registrable(known *graph.Agent, told *wire.Agent) bool {
	if known == nil {
		return e.graph.Pool(told.Pool) != nil
	}
	return known.Record.Address == told.Address && known.Record.Pool == told.Pool
}

func sameAgent(known, told *wire.Agent) bool {
	if known.Leaving && !told.Leaving {
		told = proto.Clone(told).(*wire.Agent)
		told.Leaving = true
	}
	return proto.Equal(known, told)
}

func (e *Engine) commitReport(command *wire.WorkCommand, done func(error)) {
	e.options.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(res state.Result, err error) {
		e.placementDirty = true
		if err == nil && errors.Is(res.Err, graph.ErrIncarnationMismatch) {
			err = res.Err // it is to be told again, when the first one is known
		}
		done(err)
	})
}

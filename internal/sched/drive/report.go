// This file defines the processing of heartbeats.

package drive

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

var (
	// ErrNotLeader rejects a heartbeat that has to be sent to the leader.
	ErrNotLeader = errors.New("drive: this replica doesn't lead")
	// ErrNotRecorded rejects a heartbeat that can't be acknowledged, as neither its content nor
	// that of a later one is committed. The agent has to send another one.
	ErrNotRecorded = errors.New("drive: the heartbeat isn't recorded")
)

// HandleReport processes a heartbeat. It calls done once the content is committed, or at
// once if it is already. An agent's announcement that it leaves is thus acknowledged only
// after every later leader will know it.
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
		done(nil) // sent before the process was dropped or replaced
		return
	}
	registered := e.graph.Agent(record.Id)
	if !e.registrable(registered, record) {
		reportsIgnored.Inc()
		done(ignored(registered, record))
		return
	}
	a := e.agents.byID[record.Id]
	if a != nil {
		if report.Sequence != 0 && report.Sequence < a.reportSequence {
			done(e.overtaken(a, report.Sequence))
			return
		}
		a.reportSequence = max(a.reportSequence, report.Sequence)
		if record.Leaving && report.Remaining != nil {
			a.leavesAt = now + report.Remaining.AsDuration()
		}
	}
	if registered != nil && sameAgent(registered.Record, record) {
		e.markReported(record.Id, report.Sequence)
		done(nil)
		return
	}
	if registered == nil {
		if err := e.admitAgent(record); err != nil {
			done(err)
			return
		}
	}
	e.options.Logger.Info("agent reported", "agent", record.Id, "address", record.Address, "pool", record.Pool,
		"failure_domain", record.FailureDomain, "leaving", record.Leaving, "incarnation", record.Incarnation, "new", registered == nil)
	e.commitReport(&wire.WorkCommand{Body: &wire.WorkCommand_PutAgent{PutAgent: record}}, func(err error) {
		if err == nil {
			e.markReported(record.Id, report.Sequence)
		}
		if record.Leaving {
			e.options.Logger.Info("leaving of an agent answered", "agent", record.Id, "sequence", report.Sequence, "took_ms", (e.now - now).Milliseconds(), "error", err)
		}
		done(err)
	})
}

// logStaleReport logs the first heartbeat of an incarnation that was dropped or has a
// successor. A single one is just late; more of them indicate a live agent that is not
// used.
func (e *Engine) logStaleReport(record *wire.Agent) {
	staleReports.Inc()
	if lastLogged, logged := e.loggedStale[record.Id]; logged && lastLogged == record.Incarnation {
		return
	}
	e.loggedStale[record.Id] = record.Incarnation
	e.options.Logger.Info("heartbeat from a removed incarnation", "agent", record.Id, "address", record.Address, "incarnation", record.Incarnation)
}

// markReported records that the state includes a heartbeat received by this leader.
func (e *Engine) markReported(id string, sequence uint64) {
	if a := e.agents.byID[id]; a != nil {
		a.reported = true
		a.committedSequence = max(a.committedSequence, sequence)
	}
}

// overtaken returns the answer to a heartbeat that arrives after a later one.
func (e *Engine) overtaken(a *agent, sequence uint64) error {
	if a.committedSequence > sequence {
		return nil
	}
	e.options.Logger.Info("overtaken heartbeat refused", "agent", a.record.Id, "sequence", sequence, "latest", a.reportSequence, "committed", a.committedSequence)
	return ErrNotRecorded
}

// ignored returns the answer to a heartbeat that changes nothing. An agent must not take its
// leaving as known while tasks may still be placed on it.
func ignored(registered *graph.Agent, reported *wire.Agent) error {
	if registered != nil && reported.Leaving && !registered.Record.Leaving {
		return ErrNotRecorded
	}
	return nil
}

// IsRedundant reports whether a heartbeat adds nothing to the replicated state of this
// replica and needn't be forwarded to the leader. The remaining time of a leaving agent
// isn't replicated, so its heartbeats always are.
func (e *Engine) IsRedundant(report *wire.ReportAgentRequest) bool {
	if report.Gone || report.Agent.Leaving {
		return false
	}
	record, err := e.registration(report.Agent)
	if err != nil || record == nil {
		return false
	}
	registered := e.graph.Agent(record.Id)
	return registered != nil && sameAgent(registered.Record, record)
}

// registrable reports whether an agent may be registered or updated. Its pool has to be
// in the catalog, so that heartbeats can't fill the state and the log with agents that
// nothing runs on; the agent is accepted with a later heartbeat once the pool exists. The
// address and pool of an incarnation are fixed.
func (e *Engine) registrable(registered *graph.Agent, reported *wire.Agent) bool {
	if registered == nil {
		return e.graph.Pool(reported.Pool) != nil
	}
	return registered.Record.Address == reported.Address && registered.Record.Pool == reported.Pool
}

func sameAgent(registered, reported *wire.Agent) bool {
	return proto.Equal(registered, graph.WithShutdown(reported, registered))
}

func (e *Engine) commitReport(command *wire.WorkCommand, done func(error)) {
	e.options.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(res state.Result, err error) {
		e.placementDirty = true
		if err == nil && errors.Is(res.Err, graph.ErrIncarnationMismatch) {
			err = res.Err // to be sent again once the first incarnation is known
		}
		done(err)
	})
}

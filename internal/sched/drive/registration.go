// This file defines the ids under which incarnations of agents are registered.

package drive

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

var (
	// errIncarnationMissing rejects a report without the incarnation of an agent that has
	// one, as forwarded by replicas of an earlier version. The agent has to use another
	// replica.
	errIncarnationMissing = errors.New("drive: the report doesn't tell the agent's incarnation")
	// errIncarnationUnknown rejects a report while the agent is registered without its
	// incarnation, by an earlier version, and hasn't answered this leader yet.
	errIncarnationUnknown = errors.New("drive: which incarnation is registered isn't known yet")
)

// registration returns the record to register for a report, with the id of the process
// that sent it; nil if that process has ended.
//
// An agent may restart under the same id without any memory of its previous process.
// Therefore each process is registered separately: the first under the agent's id, later
// ones under an id made from that and their incarnation. This keeps the runs, the
// sequence of completions, the clock and the lease of one process apart from those of
// another. With one id for all, completions would be acknowledged that no leader has
// read, and an agent that came back after its lease had expired would be refused forever.
func (e *Engine) registration(reported *wire.Agent) (*wire.Agent, error) {
	first := e.graph.Agent(reported.Id)
	switch {
	case reported.Incarnation == 0 && first != nil && first.Record.Incarnation != 0:
		return nil, errIncarnationMissing
	case reported.Incarnation == 0 && first != nil:
		return reported, nil
	case first != nil && first.Record.Incarnation == reported.Incarnation:
		return reported, nil
	case first != nil && first.Record.Incarnation == 0:
		same, err := e.isRegisteredProcess(reported)
		if err != nil || same {
			return reported, err
		}
	}
	if id := successorID(reported, 1); e.graph.Agent(id) != nil {
		return withID(reported, id), nil
	}
	return e.newRegistration(reported)
}

// isRegisteredProcess reports whether the process that is registered without its
// incarnation has answered this leader with the incarnation of a report.
func (e *Engine) isRegisteredProcess(reported *wire.Agent) (bool, error) {
	a := e.agents.byID[reported.Id]
	if a == nil || !a.synced {
		return false, errIncarnationUnknown
	}
	return a.incarnation == reported.Incarnation, nil
}

// newRegistration returns the record of a process that isn't registered under its regular
// ids: under the first unused id, unless the process or a successor is registered. A
// process that was dropped while unreachable comes back this way. All leases that were
// sent to it have expired, or all its runs had ended, so it can't execute an old start any
// more.
func (e *Engine) newRegistration(reported *wire.Agent) (*wire.Agent, error) {
	for _, o := range e.graph.AgentsByName(reported.Id) {
		switch r := o.Record; {
		case r.Incarnation < reported.Incarnation:
		case reported.Incarnation == 0:
			return nil, errIncarnationMissing
		case r.Incarnation == reported.Incarnation:
			return withID(reported, r.Id), nil
		default:
			return nil, nil
		}
	}
	if reported.Incarnation == 0 || e.idUnused(reported.Id) {
		return reported, nil
	}
	for n := 1; ; n++ {
		if id := successorID(reported, n); e.idUnused(id) {
			return withID(reported, id), nil
		}
	}
}

func (e *Engine) idUnused(id string) bool {
	return e.graph.Agent(id) == nil && !e.graph.AgentRemoved(id)
}

// successorID returns the id of a process whose agent's own id is taken. Numbers above 1
// are for a process that was dropped and came back.
func successorID(reported *wire.Agent, n int) string {
	if n > 1 {
		return fmt.Sprintf("%s@%d.%d", reported.Id, reported.Incarnation, n)
	}
	return fmt.Sprintf("%s@%d", reported.Id, reported.Incarnation)
}

func withID(reported *wire.Agent, id string) *wire.Agent {
	if id == reported.Id {
		return reported
	}
	record := proto.Clone(reported).(*wire.Agent)
	record.Id, record.Name = id, reported.Id
	return record
}

// precedes reports whether other is a later process of the same agent.
func (a *agent) precedes(other *agent) bool {
	return graph.AgentName(a.record) == graph.AgentName(other.record) && a.incarnation < other.incarnation
}

// sameIncarnation reports whether an answer may come from the given process. If it was
// registered without its incarnation, the first answer determines it.
func (e *Engine) sameIncarnation(a *agent, ans Answer) bool {
	if ans.Verdict != Accepted || ans.Incarnation == 0 || ans.Incarnation == a.incarnation {
		return true
	}
	if a.incarnation != 0 || a.synced {
		return false
	}
	later := successorID(&wire.Agent{Id: a.record.Id, Incarnation: ans.Incarnation}, 1)
	if e.graph.Agent(later) != nil {
		return false // the answering process has its own registration
	}
	a.incarnation = ans.Incarnation
	return true
}

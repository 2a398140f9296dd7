// This file defines under which id an incarnation of an agent is registered.

package drive

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

var (
	// errIncarnationMissing says that a report of an agent that tells its incarnation
	// doesn't: a replica of an earlier version passed it on without. The agent tells
	// another one.
	errIncarnationMissing = errors.New("drive: the report doesn't tell the agent's incarnation")
	// errIncarnationUnknown says that an agent was registered by an earlier version, which
	// kept no incarnation, and hasn't answered this leader yet.
	errIncarnationUnknown = errors.New("drive: which incarnation is registered isn't known yet")
)

// agentName is the id that an agent goes by itself.
func agentName(r *wire.Agent) string {
	if r.Name != "" {
		return r.Name
	}
	return r.Id
}

// registration returns what a report says as the record of the process that sent it,
// with the id under which that process is registered or is to be; nil where it is one
// that has ended.
//
// An agent may start again under the id that it had, and then knows nothing of before.
// So each process is registered by itself, the first one by the agent's id, later ones by
// an id made of that and their incarnation. What is known of one process, its runs, the
// numbers of its ends, its clock and its lease, is then never taken for another's; with
// one id for both, ends were acknowledged that nobody had read, and an agent that came
// back after its lease had run out was refused for good.
func (e *Engine) registration(told *wire.Agent) (*wire.Agent, error) {
	first := e.graph.Agent(told.Id)
	switch {
	case told.Incarnation == 0 && first != nil && first.Record.Incarnation != 0:
		return nil, errIncarnationMissing
	case told.Incarnation == 0 && first != nil:
		return told, nil
	case first != nil && first.Record.Incarnation == told.Incarnation:
		return told, nil
	case first != nil && first.Record.Incarnation == 0:
		same, err := e.isRegisteredProcess(told)
		if err != nil || same {
			return told, err
		}
	}
	if id := successorID(told, 1); e.graph.Agent(id) != nil {
		return withID(told, id), nil
	}
	return e.newRegistration(told)
}

// isRegisteredProcess tells whether the process that is registered without its incarnation has
// told this leader the one of a report.
func (e *Engine) isRegisteredProcess(told *wire.Agent) (bool, error) {
	at := e.agents[told.Id]
	if at == nil || !at.synced {
		return false, errIncarnationUnknown
	}
	return at.incarnation == told.Incarnation, nil
}

// newRegistration returns the record of a process that isn't registered by the ids that
// it would have first: under the first free one, unless it or a later process of the
// agent is registered. One that was given up while it was cut off comes back so as well.
// All leases that were ever sent to it have run out, so that no start of before can be
// carried out any more.
func (e *Engine) newRegistration(told *wire.Agent) (*wire.Agent, error) {
	for _, other := range e.graph.Agents() {
		switch r := other.Record; {
		case agentName(r) != told.Id || r.Incarnation < told.Incarnation:
		case told.Incarnation == 0:
			return nil, errIncarnationMissing
		case r.Incarnation == told.Incarnation:
			return withID(told, r.Id), nil
		default:
			return nil, nil
		}
	}
	if told.Incarnation == 0 || e.idUnused(told.Id) {
		return told, nil
	}
	for n := 1; ; n++ {
		if id := successorID(told, n); e.idUnused(id) {
			return withID(told, id), nil
		}
	}
}

func (e *Engine) idUnused(id string) bool {
	return e.graph.Agent(id) == nil && !e.graph.AgentRemoved(id)
}

// successorID is the id of a process whose agent's own id is taken: the first one, or a
// further one for a process that was given up and came back.
func successorID(told *wire.Agent, n int) string {
	if n > 1 {
		return fmt.Sprintf("%s@%d.%d", told.Id, told.Incarnation, n)
	}
	return fmt.Sprintf("%s@%d", told.Id, told.Incarnation)
}

func withID(told *wire.Agent, id string) *wire.Agent {
	if id == told.Id {
		return told
	}
	record := proto.Clone(told).(*wire.Agent)
	record.Id, record.Name = id, told.Id
	return record
}

// precedes tells whether another process is a later one of the same agent.
func (r *agent) precedes(other *agent) bool {
	return agentName(r.record) == agentName(other.record) && r.incarnation < other.incarnation
}

// sameIncarnation tells whether an answer may be of the process that it was asked of. The
// first answer of one that was registered without its incarnation tells it.
func (e *Engine) sameIncarnation(at *agent, a Answer) bool {
	if a.Verdict != Accepted || a.Incarnation == 0 || a.Incarnation == at.incarnation {
		return true
	}
	if at.incarnation != 0 || at.synced {
		return false
	}
	later := successorID(&wire.Agent{Id: at.record.Id, Incarnation: a.Incarnation}, 1)
	if e.graph.Agent(later) != nil {
		return false // the process that answered is registered by itself
	}
	at.incarnation = a.Incarnation
	return true
}

// handleGone takes the word that an agent has ended, which doesn't tell which of its
// processes. It is the one that had said it leaves; where there is none, it is the late
// word of an earlier process, and what the present one runs must not be given to others.
func (e *Engine) handleGone(told *wire.Agent, done func(error)) {
	gone := e.goneProcess(told.Id)
	if gone == nil {
		done(nil)
		return
	}
	e.commitReport(&wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: gone.Record.Id, Reason: "it left"}}}, done)
	e.options.Logger.Info("agent left", "agent", gone.Record.Id, "incarnation", gone.Record.Incarnation)
}

// goneProcess is the process that the word is taken to be of: the earliest that leaves,
// or the one that tells no incarnation, which never shares its id.
func (e *Engine) goneProcess(name string) *graph.Agent {
	var gone *graph.Agent
	for _, other := range e.graph.Agents() {
		switch r := other.Record; {
		case agentName(r) != name:
		case r.Incarnation == 0:
			return other
		case r.Leaving && (gone == nil || r.Incarnation < gone.Record.Incarnation):
			gone = other
		}
	}
	return gone
}

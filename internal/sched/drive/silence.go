// This file defines how the next leader learns for how long leases may still run on
// agents that don't answer.

package drive

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// silentAfter is how long an agent has to be silent until that is committed; most
	// that miss an answer give the next one.
	silentAfter = time.Second
	// silenceLook is how often silent agents, and those that answer again, are looked for.
	silenceLook = 50 * time.Millisecond
)

// tendSilence commits by when the leases on silent agents have run out. A leader that
// came without this would have to wait for a whole lease from its own beginning, and
// standing work of agents that are gone would be away for as long. From the proposal on
// the agent is granted nothing, until it is committed that it answers again.
func (e *Engine) tendSilence() {
	if e.now < e.nextSilence || e.notingSilence {
		return
	}
	e.nextSilence = e.now + silenceLook
	var told []*wire.SilentAgent
	var heard []*agent
	for _, at := range e.byID() {
		switch {
		case at.dropping:
		case at.failed > 0 && !at.bounded && e.now-at.answered >= silentAfter:
			at.bounded = true
			lapsesIn := max(at.clock.lapsesAt(e.since, e.options.Lease)-e.now, 0)
			told = append(told, &wire.SilentAgent{Id: at.record.Id, LapsesIn: durationpb.New(lapsesIn)})
		case at.failed == 0 && at.synced && at.bounded:
			heard = append(heard, at)
			told = append(told, &wire.SilentAgent{Id: at.record.Id})
		}
	}
	if len(told) == 0 {
		return
	}
	e.notingSilence = true
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_SilentAgents{SilentAgents: &wire.SilentAgents{Agents: told}}},
		func(_ state.Result, err error) {
			e.notingSilence = false
			if err != nil {
				return // those that answer are told of again; the others stay bounded
			}
			for _, at := range heard {
				at.bounded = false
				at.touch()
			}
		})
}

// silence is what is committed of an agent's silence, or nil.
func (e *Engine) silence(at *agent) *graph.LeaseExpiry {
	if registered := e.graph.Agent(at.record.Id); registered != nil {
		return registered.LeaseExpiry
	}
	return nil
}

// lapsed tells whether every lease on a silent agent has surely run out.
func (e *Engine) lapsed(at *agent) bool {
	if e.silence(at).Expired(e.now - lapseSlack) {
		return true
	}
	return e.now-at.answered > e.options.Lease && at.clock.lapsed(e.now, e.since, e.options.Lease)
}

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
	// unreachableAfter is how long an agent has to be silent until that is committed; most
	// that miss an answer give the next one.
	unreachableAfter = time.Second
	// unreachableScanInterval is how often silent agents, and those that answer again, are looked for.
	unreachableScanInterval = 50 * time.Millisecond
)

// commitUnreachable commits by when the leases on silent agents have run out. A leader that
// came without this would have to wait for a whole lease from its own beginning, and
// standing work of agents that are gone would be away for as long. From the proposal on
// the agent is granted nothing, until it is committed that it answers again.
func (e *Engine) commitUnreachable() {
	if e.now < e.nextUnreachableScan || e.unreachablePending {
		return
	}
	e.nextUnreachableScan = e.now + unreachableScanInterval
	var told []*wire.SilentAgent
	var heard []*agent
	for _, at := range e.agentsByID() {
		switch {
		case at.dropping:
		case at.failedPolls > 0 && !at.expiryCommitted && e.now-at.answeredAt >= unreachableAfter:
			at.expiryCommitted = true
			lapsesIn := max(at.clock.leasesExpireAt(e.leaderSince, e.options.Lease)-e.now, 0)
			told = append(told, &wire.SilentAgent{Id: at.record.Id, LapsesIn: durationpb.New(lapsesIn)})
		case at.failedPolls == 0 && at.synced && at.expiryCommitted:
			heard = append(heard, at)
			told = append(told, &wire.SilentAgent{Id: at.record.Id})
		}
	}
	if len(told) == 0 {
		return
	}
	e.unreachablePending = true
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_SilentAgents{SilentAgents: &wire.SilentAgents{Agents: told}}},
		func(_ state.Result, err error) {
			e.unreachablePending = false
			if err != nil {
				return // those that answer are told of again; the others stay bounded
			}
			for _, at := range heard {
				at.expiryCommitted = false
				at.markChanged()
			}
		})
}

// silence is what is committed of an agent's silence, or nil.
func (e *Engine) committedExpiry(at *agent) *graph.LeaseExpiry {
	if registered := e.graph.Agent(at.record.Id); registered != nil {
		return registered.LeaseExpiry
	}
	return nil
}

// lapsed tells whether every lease on a silent agent has surely run out.
func (e *Engine) leaseExpired(at *agent) bool {
	if e.committedExpiry(at).Expired(e.now - expirySlack) {
		return true
	}
	return e.now-at.answeredAt > e.options.Lease && at.clock.leasesExpired(e.now, e.leaderSince, e.options.Lease)
}

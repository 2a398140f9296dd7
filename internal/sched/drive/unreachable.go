// This file defines how the lease expiry of unreachable agents is handed on to later
// leaders.

package drive

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// unreachableAfter is how long an agent has to be unreachable before its lease expiry
	// is committed. Most agents that miss one poll answer the next.
	unreachableAfter = time.Second
	// unreachableScanInterval is the interval at which agents are checked for it.
	unreachableScanInterval = 50 * time.Millisecond
)

// commitUnreachable commits when the leases of unreachable agents expire. Otherwise a new
// leader would have to wait for a whole lease after its election before it restarts their
// runs. From the proposal on an agent's lease is not renewed until it has been committed
// that the agent is reachable again.
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
				return // answering agents are proposed again; the others keep expiryCommitted
			}
			for _, at := range heard {
				at.expiryCommitted = false
				at.markChanged()
			}
		})
}

// committedExpiry returns the committed lease expiry of an agent, or nil.
func (e *Engine) committedExpiry(at *agent) *graph.LeaseExpiry {
	if registered := e.graph.Agent(at.record.Id); registered != nil {
		return registered.LeaseExpiry
	}
	return nil
}

// leaseExpired reports whether every lease of an unreachable agent is certain to have
// expired.
func (e *Engine) leaseExpired(at *agent) bool {
	if e.committedExpiry(at).Expired(e.now - expirySlack) {
		return true
	}
	return e.now-at.answeredAt > e.options.Lease && at.clock.leasesExpired(e.now, e.leaderSince, e.options.Lease)
}

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
	// unreachableScanInterval is the interval at which the agents are scanned for those that
	// became unreachable or reachable.
	unreachableScanInterval = 50 * time.Millisecond
)

// commitUnreachable commits when the leases of unreachable agents expire. Otherwise a new
// leader would have to wait for a whole lease after its election before it restarts their
// runs. Once this is proposed for an agent, its lease is not renewed until it has been
// committed that the agent is reachable again.
func (e *Engine) commitUnreachable() {
	if e.now < e.nextUnreachableScan || e.unreachablePending {
		return
	}
	e.nextUnreachableScan = e.now + unreachableScanInterval
	var updates []*wire.SilentAgent
	var reachable []*agent
	for _, a := range e.agents.troubledAgents() {
		switch {
		case a.dropping:
		case a.failedPolls > 0 && !a.expiryCommitted && e.now-a.answeredAt >= unreachableAfter:
			a.expiryCommitted = true
			expiresIn := max(a.clock.leasesExpireAt(e.leaderSince, e.options.Lease)-e.now, 0)
			updates = append(updates, &wire.SilentAgent{Id: a.record.Id, LapsesIn: durationpb.New(expiresIn)})
		case a.failedPolls == 0 && a.synced && a.expiryCommitted:
			reachable = append(reachable, a)
			updates = append(updates, &wire.SilentAgent{Id: a.record.Id})
		}
	}
	if len(updates) == 0 {
		return
	}
	e.unreachablePending = true
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_SilentAgents{SilentAgents: &wire.SilentAgents{Agents: updates}}},
		func(_ state.Result, err error) {
			e.unreachablePending = false
			if err != nil {
				return // answering agents are proposed again; the others keep expiryCommitted
			}
			for _, a := range reachable {
				a.expiryCommitted = false
				e.markChanged(a)
			}
		})
}

// committedExpiry returns the committed lease expiry of an agent, or nil.
func (e *Engine) committedExpiry(a *agent) *graph.LeaseExpiry {
	if registered := e.graph.Agent(a.record.Id); registered != nil {
		return registered.LeaseExpiry
	}
	return nil
}

// leaseExpired reports whether every lease of an unreachable agent is certain to have
// expired.
func (e *Engine) leaseExpired(a *agent) bool {
	if e.committedExpiry(a).Expired(e.now - expirySlack) {
		return true
	}
	return e.now-a.answeredAt > e.options.Lease && a.clock.leasesExpired(e.now, e.leaderSince, e.options.Lease)
}

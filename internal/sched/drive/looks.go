// This file defines how often agents are asked what runs there, and for how long a hold
// may wait for an end.

package drive

import "time"

const (
	// holdWait is how long a hold waits for an end: long, since each call has
	// its price, yet short enough that a lease is renewed several times over.
	holdWait = 1500 * time.Millisecond
	// watchWait is the same where a latency target has to be watched: tails
	// are figures of half a second.
	watchWait = 300 * time.Millisecond
	// maxLooks bounds the holds a second where tails are watched: each takes some of the
	// leader's processor.
	maxLooks = 800
	// waitingShare is the part of the connections to agents that holds may wait on. The
	// rest is for orders, and for the agents that are only looked at.
	waitingShare = 0.5
)

// look is how an agent is asked next.
type look struct {
	wait  time.Duration // for an end
	pause time.Duration // after the answer
}

// lookAt is how an agent is asked next. The first look, and those at a silent agent,
// are answered at once: they ask whether it is there.
//
// A hold that waits takes up a connection for as long. Where there are too few for all
// agents, those wait on which work is to end; the others are looked at as often, and
// leave their connection to others meanwhile. Else agents find none, are taken for
// silent, and lose their leases.
func (e *Engine) lookAt(at *agent) look {
	interval := holdWait
	switch {
	case !at.synced || at.failed > 0:
		return look{}
	case at.standing:
		interval = min(max(watchWait, time.Duration(len(e.agents))*time.Second/maxLooks), holdWait)
	}
	if !e.connectionsShort() || at.expectsEnd() && e.waitingHolds < e.mayWait() {
		return look{wait: interval}
	}
	return look{pause: interval}
}

// connectionsShort tells whether not all agents may have a hold wait on them.
func (e *Engine) connectionsShort() bool {
	return e.options.MaxConnections > 0 && len(e.agents) > e.mayWait()
}

func (e *Engine) mayWait() int { return int(float64(e.options.MaxConnections) * waitingShare) }

// expectsEnd tells whether a run on the agent is to end by itself.
func (r *agent) expectsEnd() bool {
	for _, known := range r.ordered {
		if !known.task.Stage.Standing() {
			return true
		}
	}
	return false
}

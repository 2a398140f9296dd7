// This file defines how often agents are asked what runs there, and for how long a hold
// may wait for an end.

package drive

import "time"

const (
	// maxPollWait is how long a hold waits for an end: long, since each call has
	// its price, yet short enough that a lease is renewed several times over.
	maxPollWait = 1500 * time.Millisecond
	// tailPollWait is the same where a latency target has to be watched: tails
	// are figures of half a second.
	tailPollWait = 300 * time.Millisecond
	// maxTailPollsPerSecond bounds the holds a second where tails are watched: each takes some of the
	// leader's processor.
	maxTailPollsPerSecond = 800
	// longPollShare is the part of the connections to agents that holds may wait on. The
	// rest is for orders, and for the agents that are only looked at.
	longPollShare = 0.5
)

// look is how an agent is asked next.
type pollPlan struct {
	wait  time.Duration // for an end
	pause time.Duration // after the answer
}

// planPoll is how an agent is asked next. The first look, and those at a silent agent,
// are answered at once: they ask whether it is there.
//
// A hold that waits takes up a connection for as long. Where there are too few for all
// agents, those wait on which work is to end; the others are looked at as often, and
// leave their connection to others meanwhile. Else agents find none, are taken for
// silent, and lose their leases.
func (e *Engine) planPoll(at *agent) pollPlan {
	interval := maxPollWait
	switch {
	case !at.synced || at.failedPolls > 0:
		return pollPlan{}
	case at.hasLatencyTargets:
		interval = min(max(tailPollWait, time.Duration(len(e.agents))*time.Second/maxTailPollsPerSecond), maxPollWait)
	}
	if !e.connectionsLimited() || at.expectsCompletion() && e.longPolls < e.maxLongPolls() {
		return pollPlan{wait: interval}
	}
	return pollPlan{pause: interval}
}

// connectionsLimited tells whether not all agents may have a hold wait on them.
func (e *Engine) connectionsLimited() bool {
	return e.options.MaxConnections > 0 && len(e.agents) > e.maxLongPolls()
}

func (e *Engine) maxLongPolls() int { return int(float64(e.options.MaxConnections) * longPollShare) }

// expectsCompletion tells whether a run on the agent is to end by itself.
func (r *agent) expectsCompletion() bool {
	for _, known := range r.sortedRuns {
		if !known.task.Stage.Standing() {
			return true
		}
	}
	return false
}

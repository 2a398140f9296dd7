// This file defines how often agents are polled, and how long a poll may wait.

package drive

import "time"

const (
	// maxPollWait is how long a poll waits for a completion at most. Longer waits mean
	// fewer calls, but a lease has to be renewed several times before it expires.
	maxPollWait = 1500 * time.Millisecond
	// tailPollWait is the wait on agents with latency targets. Tail latencies are
	// measured over half a second.
	tailPollWait = 300 * time.Millisecond
	// maxTailPollsPerSecond limits the polls of agents with latency targets, each of which
	// costs the leader CPU time.
	maxTailPollsPerSecond = 800
	// idlePollsPerLease is how often an agent without runs is polled during a lease where
	// polls don't wait. It has nothing to lose and nothing to report.
	idlePollsPerLease = 3
	// longPollShare is the share of the connections to agents that waiting polls may
	// occupy. The rest is for orders and for polls that don't wait.
	longPollShare = 0.5
	// minLongPollShare is the same where there are fewer connections than agents.
	minLongPollShare = 0.1
	// maxFirstPolls limits the polls in flight to agents that this leader hasn't polled
	// before. An answer takes a few milliseconds, so more of them don't make a new leader
	// faster. But with thousands at once it reads the answers only after their time limit,
	// takes the agents for unreachable, and leaves its followers without heartbeats.
	maxFirstPolls = 400
)

// firstPolls are the polls of agents that this leader hasn't polled before. The zero value
// is empty.
type firstPolls struct {
	inFlight int
	// waiting are the agents to poll as answers arrive. Some may be gone by then.
	waiting []*agent
}

// mayPoll reports whether an agent may be polled now. If not, it is polled as soon as other
// first polls are answered. Polls of an agent that didn't answer aren't limited: there may be
// as many such agents, and each takes until its time limit.
func (e *Engine) mayPoll(a *agent) bool {
	if a.synced || a.failedPolls > 0 || e.firstPolls.inFlight < maxFirstPolls {
		return true
	}
	if !a.awaitsFirstPoll {
		a.awaitsFirstPoll = true
		e.firstPolls.waiting = append(e.firstPolls.waiting, a)
	}
	return false
}

// sendFirstPolls polls the agents that have waited for other first polls.
func (e *Engine) sendFirstPolls() {
	for len(e.firstPolls.waiting) > 0 && e.firstPolls.inFlight < maxFirstPolls {
		a := e.firstPolls.waiting[0]
		e.firstPolls.waiting = e.firstPolls.waiting[1:]
		a.awaitsFirstPoll = false
		if e.agents.byID[a.record.Id] == a {
			e.reconcileAgent(a)
		}
	}
}

// pollPlan determines the next poll of an agent.
type pollPlan struct {
	wait  time.Duration // for a completion
	pause time.Duration // between the answer and the next poll
}

// planPoll returns how to poll an agent next. The first poll, and polls of an unreachable
// agent, don't wait: they check whether the agent is there.
//
// A waiting poll occupies a connection. If there are too few connections for all agents,
// only polls of agents with runs that end by themselves wait, and those of terminating agents.
// The others are polled with a pause in between, during which other agents use the connection.
// Otherwise agents that get no connection would seem unreachable and lose their leases.
func (e *Engine) planPoll(a *agent) pollPlan {
	interval := maxPollWait
	switch {
	case !a.synced || a.failedPolls > 0:
		return pollPlan{}
	case a.hasLatencyTargets:
		interval = min(max(tailPollWait, time.Duration(len(e.agents.byID))*time.Second/maxTailPollsPerSecond), maxPollWait)
	}
	if !e.connectionsLimited() || a.record.Terminating || a.expectsCompletion() && e.longPolls < e.maxLongPolls() {
		return pollPlan{wait: interval}
	}
	if len(a.sortedRuns) == 0 {
		interval = max(interval, e.options.Lease/idlePollsPerLease)
	}
	return pollPlan{pause: interval}
}

// connectionsLimited reports whether there are too few connections to let all polls wait.
func (e *Engine) connectionsLimited() bool {
	return e.options.MaxConnections > 0 && len(e.agents.byID) > e.maxLongPolls()
}

// maxLongPolls returns how many polls may wait at a time. Each agent keeps a connection, and
// one whose poll waits needs another for orders. Beyond the limit connections would be
// closed and opened all the time.
func (e *Engine) maxLongPolls() int {
	limit := float64(e.options.MaxConnections)
	spare := max(limit-float64(len(e.agents.byID)), limit*minLongPollShare)
	return int(min(spare, limit*longPollShare))
}

// expectsCompletion reports whether a run on the agent is going to end by itself.
func (a *agent) expectsCompletion() bool {
	for _, r := range a.sortedRuns {
		if !r.task.Stage.Standing() {
			return true
		}
	}
	return false
}

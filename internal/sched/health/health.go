// This file defines Tracker and the states of agents.

// Package health detects agents that fail the runs they are given and agents that are slow.
//
// It answers a load in which some of the agents fail every run within milliseconds. Such an
// agent is always free again, so it attracts ever more work, and jobs fail with their
// attempts used up.
//
// The package does no I/O and reads no clock.
package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Agent identifies an agent and its pool.
	Agent struct{ ID, Pool string }

	// Job identifies a job and its queue.
	Job struct{ ID, Queue string }

	// Outcome is how a run ended by itself.
	Outcome struct {
		Failed    bool
		StartedAt time.Duration
	}

	// State is what an agent may be used for.
	State int

	// Change is what a recorded outcome led to.
	Change int

	// Tracker holds the evidence about the agents. The zero value is ready to use.
	Tracker struct {
		// PoolSize returns the number of agents in a pool. Nil means that any number of
		// agents may be in quarantine.
		PoolSize func(pool string) int

		agents map[string]*agentRecord
		jobs   map[string]*jobRecord
		queues map[string]*queueRecord
	}

	// agentRecord is what is known about an agent.
	agentRecord struct {
		agent Agent
		// evidence is the decayed sum of log-likelihood ratios, at evidenceAt, that the
		// agent fails its runs.
		evidence   float64
		evidenceAt time.Duration
		streak     streak
		// isolated is set from the first quarantine to the first successful trial, until
		// is the end of the latest quarantine, and failedTrials the number of failed ones.
		isolated     bool
		until        time.Duration
		failedTrials int
		// observations are the latest speeds by job.
		observations map[string]observation
		slowdown     float64 // 0 if the agent isn't slow
		seenAt       time.Duration
	}

	// streak is the failed runs that the evidence consists of.
	streak struct {
		// startedAt is the earliest start of the runs.
		startedAt time.Duration
		jobs      map[string]int // failed runs by job
		// queues are the failures that were added to the tallies of queues.
		queues map[string]float64
	}
)

// States, by increasing restriction.
const (
	Sound State = iota
	// Suspect: the agent has failed a run, which may have been by chance. It gets no task
	// that has only one attempt left.
	Suspect
	// Trial: a quarantine has ended. The agent gets one run at a time.
	Trial
	// Quarantined: the agent gets no work.
	Quarantined
)

// Changes.
const (
	// Unchanged: the agent is neither newly isolated nor released.
	Unchanged Change = iota
	// Isolated: the agent is in quarantine.
	Isolated
	// TrialFailed: the agent is in quarantine again.
	TrialFailed
	// Released: the trial succeeded.
	Released
	// Withheld: the agent would be in quarantine if there weren't too many already.
	Withheld
)

const (
	// quarantineThreshold is the evidence for a quarantine: two failures of different jobs
	// in a queue where one run in twenty fails, three where one in ten does. With even
	// prior odds, the agent is sound in fewer than one of a hundred such cases.
	quarantineThreshold = 5.0
	// suspectThreshold is the evidence of one failure in a queue where a fifth of the runs
	// fail.
	suspectThreshold = 1.5
	// trialEvidence is the evidence at the start of a trial, and after a quarantine was
	// withheld. It makes one more failure enough unless the failure was likely.
	trialEvidence = 3.0
	// evidenceHalfLife limits how long an agent without further runs stays suspect. It is
	// shorter than objectives of a few seconds, since tasks with one attempt left may have
	// to wait that long if every agent is suspect.
	evidenceHalfLife = 3 * time.Second
	// forgetBelow is the evidence below which a streak has ended.
	forgetBelow = 0.3
	// firstQuarantine is doubled for each failed trial up to maxQuarantine. Faults of
	// agents last some seconds.
	firstQuarantine = time.Second
	maxQuarantine   = 8 * time.Second
	// MaxTrial is how long a trial takes at most. Without suitable tasks, or if all probes
	// fail through no fault of the agent, it has no result.
	MaxTrial = 10 * time.Second
	// maxIsolatedShare is the share of a pool's agents that may be in quarantine or on
	// trial. If more seem to fail, the agents aren't the cause.
	maxIsolatedShare = 0.25
	// retention is how long jobs and agents without news are remembered.
	retention = time.Minute
)

// Record records the end of a run. Runs that end for other reasons than their own success
// or failure must not be recorded.
func (t *Tracker) Record(now time.Duration, agent Agent, job Job, outcome Outcome) Change {
	a, j, q := t.agent(now, agent), t.job(now, job.ID), t.queue(job.Queue)
	rate := t.failureRate(a, j, job.Queue)
	state := a.state(now)
	// A run that was started earlier says nothing about the agent since the quarantine.
	counts := state != Quarantined && (state != Trial || outcome.StartedAt >= a.until)
	if !outcome.Failed {
		j.successes++
		q.add(0)
		if !counts {
			return Unchanged
		}
		return a.recordSuccess(now, outcome, rate)
	}
	j.addFailure(agent.ID)
	if !counts {
		return Unchanged
	}
	a.recordFailure(now, job, outcome, rate)
	if a.streak.queues[job.Queue] < maxStreakTally {
		a.streak.queues[job.Queue]++
		q.add(1)
	}
	if a.evidence < quarantineThreshold {
		return Unchanged
	}
	return t.isolate(now, a)
}

func (a *agentRecord) recordSuccess(now time.Duration, outcome Outcome, rate float64) Change {
	if a.isolated {
		a.release()
		return Released
	}
	a.decay(now)
	// An agent may begin to fail what it starts while earlier runs end well.
	if len(a.streak.jobs) > 0 && outcome.StartedAt >= a.streak.startedAt {
		a.evidence += successEvidence(rate)
		a.decay(now)
	}
	return Unchanged
}

func (a *agentRecord) release() {
	a.isolated, a.failedTrials, a.evidence, a.streak = false, 0, 0, streak{}
}

func (a *agentRecord) recordFailure(now time.Duration, job Job, outcome Outcome, rate float64) {
	a.decay(now)
	st := &a.streak
	if st.jobs == nil {
		*st = streak{startedAt: outcome.StartedAt, jobs: map[string]int{}, queues: map[string]float64{}}
	}
	st.startedAt = min(st.startedAt, outcome.StartedAt)
	a.evidence += failureEvidence(rate) * math.Pow(repeatWeight, float64(st.jobs[job.ID]))
	st.jobs[job.ID]++
}

// decay updates the evidence to a time. Evidence of a trial doesn't decay, as the agent may
// get no run for long.
func (a *agentRecord) decay(now time.Duration) {
	a.evidence = a.evidenceOf(now)
	a.evidenceAt = now
	if a.evidence < forgetBelow {
		a.evidence, a.streak = 0, streak{}
	}
}

func (a *agentRecord) evidenceOf(now time.Duration) float64 {
	if a.isolated {
		return a.evidence
	}
	return a.evidence * math.Exp2(-float64(now-a.evidenceAt)/float64(evidenceHalfLife))
}

// isolate puts an agent in quarantine, unless too many are already.
func (t *Tracker) isolate(now time.Duration, a *agentRecord) Change {
	change := Isolated
	switch {
	case a.isolated:
		a.failedTrials++
		change = TrialFailed
	case !t.mayIsolate(a.agent.Pool):
		a.evidence = trialEvidence
		return Withheld
	}
	// The failures were the agent's, so they no longer count against the queues.
	for q, n := range a.streak.queues {
		t.queue(q).removeFailures(n)
	}
	a.isolated, a.evidence, a.streak = true, trialEvidence, streak{}
	a.until = now + min(firstQuarantine<<min(a.failedTrials, 10), maxQuarantine)
	return change
}

// mayIsolate reports whether another agent of a pool may be in quarantine.
func (t *Tracker) mayIsolate(pool string) bool {
	return t.PoolSize == nil || float64(t.Isolated(pool)+1) <= maxIsolatedShare*float64(t.PoolSize(pool))
}

// Isolated returns the number of agents of a pool in quarantine or on trial.
func (t *Tracker) Isolated(pool string) int {
	n := 0
	for _, a := range t.agents {
		if a.isolated && a.agent.Pool == pool {
			n++
		}
	}
	return n
}

// State returns the state of an agent.
func (t *Tracker) State(now time.Duration, agent string) State {
	if a := t.agents[agent]; a != nil {
		return a.state(now)
	}
	return Sound
}

func (a *agentRecord) state(now time.Duration) State {
	switch {
	case a.isolated && now < a.until:
		return Quarantined
	case a.isolated:
		return Trial
	case a.evidence >= suspectThreshold && a.evidenceOf(now) >= suspectThreshold:
		return Suspect
	default:
		return Sound
	}
}

// Evidence returns the evidence that an agent fails its runs, and the number of failed
// trials, for logs.
func (t *Tracker) Evidence(now time.Duration, agent string) (evidence float64, failedTrials int) {
	if a := t.agents[agent]; a != nil {
		return a.evidenceOf(now), a.failedTrials
	}
	return 0, 0
}

// IsolatedUntil returns when the latest quarantine of an agent ends or ended; false if the
// agent is neither in quarantine nor on trial.
func (t *Tracker) IsolatedUntil(agent string) (time.Duration, bool) {
	if a := t.agents[agent]; a != nil && a.isolated {
		return a.until, true
	}
	return 0, false
}

// IsolatedAgents returns the ids of the agents in quarantine or on trial, sorted.
func (t *Tracker) IsolatedAgents() []string {
	var ids []string
	for id, a := range t.agents {
		if a.isolated {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Restore puts an agent in quarantine until a time, as an earlier leader did. A time in the
// past puts it on trial.
func (t *Tracker) Restore(now time.Duration, agent Agent, until time.Duration) {
	a := t.agent(now, agent)
	if a.isolated || !t.mayIsolate(agent.Pool) {
		return
	}
	a.isolated, a.evidence = true, trialEvidence
	a.until = min(until, now+maxQuarantine)
}

// Prune removes what is too old to matter, and returns the agents whose trial has ended
// without a result, sorted. It is to be called about once a second.
func (t *Tracker) Prune(now time.Duration) (released []string) {
	maps.DeleteFunc(t.jobs, func(_ string, j *jobRecord) bool { return now-j.seenAt > retention })
	for id, a := range t.agents {
		if a.isolated && now-a.until > MaxTrial {
			a.release()
			released = append(released, id)
		}
		a.updateSlowdown(now)
		if now-a.seenAt > retention {
			delete(t.agents, id)
		}
	}
	slices.Sort(released)
	return released
}

// Forget removes an agent.
func (t *Tracker) Forget(agent string) { delete(t.agents, agent) }

func (t *Tracker) agent(now time.Duration, agent Agent) *agentRecord {
	if t.agents == nil {
		t.agents, t.jobs, t.queues = map[string]*agentRecord{}, map[string]*jobRecord{}, map[string]*queueRecord{}
	}
	a := t.agents[agent.ID]
	if a == nil {
		a = &agentRecord{}
		t.agents[agent.ID] = a
	}
	a.agent, a.seenAt = agent, now
	return a
}

// This file defines how unlikely a failure is for a job and its queue.

package health

import (
	"math"
	"time"
)

const (
	// failingRate is the assumed share of runs that fail on an agent that is at fault. It
	// is below 1, so that one success doesn't rule out a fault.
	failingRate = 0.95
	// repeatWeight is the weight of each further failure of the same job on the same agent
	// relative to the one before. Failures of one job have a common cause: by themselves
	// they don't reach quarantineThreshold, however many there are.
	repeatWeight = 0.25
	// minRate bounds the failure rate of a queue from below, so that two failures are the
	// least that lead to a quarantine.
	minRate = 0.03
	// maxRate bounds it from above, so that a success always counts for an agent.
	maxRate = 0.9
	// priorRate and priorRuns are the failure rate that is assumed for a queue, and its
	// weight in runs.
	priorRate = 0.05
	priorRuns = 20
	// jobPriorRuns is the weight of the queue's failure rate for a job, in runs. After one
	// failure elsewhere, a second one is about as likely as not.
	jobPriorRuns = 1
	// maxStreakTally limits how many failures of one streak count for a queue. Otherwise an
	// agent that fails all its runs but isn't isolated would raise the queue's rate.
	maxStreakTally = 10
	// maxTalliedRuns is the number of runs after which earlier ones are halved in weight.
	maxTalliedRuns = 400
)

type (
	// queueRecord counts the recent runs of a queue, without failures on isolated agents.
	queueRecord struct {
		failures, runs float64
		// variance is that of the logarithm of the ratio of actual to expected run times;
		// 0 if unknown.
		variance float64
	}

	// jobRecord counts the runs of a job.
	jobRecord struct {
		successes int
		// failures are in the order of the first on each agent, so that sums are
		// reproducible.
		failures []agentFailures
		seenAt   time.Duration
	}

	// agentFailures is the number of a job's failed runs on an agent.
	agentFailures struct {
		agent string
		count int
	}
)

// failureEvidence returns the log-likelihood ratio of a failure that has the given
// probability on a sound agent. A failure that was as likely as not counts nothing: many of
// them would add up on agents that are given only jobs which can't succeed.
func failureEvidence(rate float64) float64 {
	if rate >= 0.5 {
		return 0
	}
	return math.Log(failingRate / rate)
}

// successEvidence returns the log-likelihood ratio of a success. It is negative.
func successEvidence(rate float64) float64 { return math.Log((1 - failingRate) / (1 - rate)) }

// failureRate returns the probability that a run of a job fails on a sound agent: the
// job's rate elsewhere, smoothed by that of its queue elsewhere.
func (t *Tracker) failureRate(a *agentRecord, j *jobRecord, queue string) float64 {
	q := t.queue(queue)
	own := a.streak.queues[queue]
	queueRate := (max(q.failures-own, 0) + priorRate*priorRuns) / (max(q.runs-own, 0) + priorRuns)
	failures := 0.0
	for _, f := range j.failures {
		// Failures on agents that are isolated are attributed to those agents.
		if other := t.agents[f.agent]; f.agent != a.agent.ID && (other == nil || !other.isolated) {
			failures += float64(f.count)
		}
	}
	rate := (failures + queueRate*jobPriorRuns) / (failures + float64(j.successes) + jobPriorRuns)
	return min(max(rate, minRate), maxRate)
}

func (q *queueRecord) add(failures float64) {
	if q.runs >= maxTalliedRuns {
		q.failures /= 2
		q.runs /= 2
	}
	q.failures += failures
	q.runs++
}

func (q *queueRecord) removeFailures(n float64) {
	q.failures = max(q.failures-n, 0)
	q.runs = max(q.runs-n, q.failures)
}

func (j *jobRecord) addFailure(agent string) {
	for i := range j.failures {
		if j.failures[i].agent == agent {
			j.failures[i].count++
			return
		}
	}
	j.failures = append(j.failures, agentFailures{agent, 1})
}

func (t *Tracker) job(now time.Duration, id string) *jobRecord {
	j := t.jobs[id]
	if j == nil {
		j = &jobRecord{}
		t.jobs[id] = j
	}
	j.seenAt = now
	return j
}

func (t *Tracker) queue(name string) *queueRecord {
	q := t.queues[name]
	if q == nil {
		q = &queueRecord{}
		t.queues[name] = q
	}
	return q
}

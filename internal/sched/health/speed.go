// This file defines how slow agents are detected, and when a run is worth moving.

package health

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is the slowdown that is tested for. Below it, moving a run gains little
	// over the time that stopping it takes.
	slowFactor = 4.0
	// slowThreshold is the evidence from which an agent counts as slow.
	slowThreshold = 4.6
	// maxJobEvidence and minJobEvidence bound the evidence of one job. Some tasks take many
	// times as long as others of their queue on any agent, so that the slow runs of one
	// job aren't enough.
	maxJobEvidence = 3.0
	minJobEvidence = -4.0
	// observationAge is how long an observation counts. An agent that gets no work because
	// it was slow is tried again after that.
	observationAge = 3 * time.Second
	// maxRatio bounds a ratio of run times, which is inexact while there is little
	// progress.
	maxRatio = 10.0
	// initialVariance is the assumed variance of the logarithm of actual over expected run
	// time, minVariance the least.
	initialVariance = 0.25
	minVariance     = 0.04
	// varianceWeight is the weight of a new sample in the variance of a queue.
	varianceWeight = 0.02
	// moveMargin is by how much the remaining time on a slow agent has to exceed that of a
	// start elsewhere, as both are estimates.
	moveMargin = 1.25
)

type (
	// observation is the latest speed of a job's runs on an agent.
	observation struct {
		logRatio float64
		variance float64
		at       time.Duration
	}

	// Move is the choice between leaving a run on a slow agent and starting it again on
	// another one.
	Move struct {
		// Slowness is the actual run time relative to the expected one, Progress that of the
		// run, from 0 to 1.
		Slowness, Progress float64
		// Saved is the progress that a start elsewhere resumes from.
		Saved float64
		// Expected is the run time on a sound agent, and Restart the time until the run
		// starts there.
		Expected, Restart time.Duration
	}
)

// RecordProgress records the speed of a run on an agent as the ratio of its actual to its
// expected run time.
func (t *Tracker) RecordProgress(now time.Duration, agent Agent, job Job, ratio float64) {
	a := t.agent(now, agent)
	if a.observations == nil {
		a.observations = map[string]observation{}
	}
	variance := t.queue(job.Queue).variance
	if variance == 0 {
		variance = initialVariance
	}
	o := observation{logRatio: logRatio(ratio), variance: max(variance, minVariance), at: now}
	// Of the runs of one job the fastest counts: a single task may just be long.
	if last, known := a.observations[job.ID]; known && last.at == now {
		o.logRatio = min(o.logRatio, last.logRatio)
	}
	a.observations[job.ID] = o
	a.updateSlowdown(now)
}

// RecordDuration records the run time of a run that succeeded, as RecordProgress does.
func (t *Tracker) RecordDuration(now time.Duration, agent Agent, job Job, ratio float64) {
	t.RecordProgress(now, agent, job, ratio)
	if t.agents[agent.ID].slowdown != 0 {
		return
	}
	q := t.queue(job.Queue)
	if q.variance == 0 {
		q.variance = initialVariance
	}
	x := logRatio(ratio)
	q.variance += (x*x - q.variance) * varianceWeight
}

func logRatio(ratio float64) float64 { return math.Log(min(max(ratio, 1/maxRatio), maxRatio)) }

// updateSlowdown tests whether the agent is slow, by the likelihood ratio of the observed
// speeds on an agent that is slower by slowFactor and on a sound one.
func (a *agentRecord) updateSlowdown(now time.Duration) {
	mean, evidence := math.Log(slowFactor), 0.0
	jobs := make([]string, 0, len(a.observations))
	for id, o := range a.observations {
		if now-o.at > observationAge {
			delete(a.observations, id)
			continue
		}
		jobs = append(jobs, id)
	}
	slices.Sort(jobs) // for a reproducible sum
	sum := 0.0
	for _, id := range jobs {
		o := a.observations[id]
		sum += o.logRatio
		evidence += min(max(mean*(2*o.logRatio-mean)/(2*o.variance), minJobEvidence), maxJobEvidence)
	}
	a.slowdown = 0
	if evidence >= slowThreshold {
		a.slowdown = max(math.Exp(sum/float64(len(jobs))), 1)
	}
}

// Slowdown returns how many times as long runs take on an agent; 1 unless runs of at least
// two jobs show that it is slow.
func (t *Tracker) Slowdown(agent string) float64 {
	if a := t.agents[agent]; a != nil && a.slowdown != 0 {
		return a.slowdown
	}
	return 1
}

// SlowAgents returns the ids of the slow agents, sorted.
func (t *Tracker) SlowAgents() []string {
	var ids []string
	for id, a := range t.agents {
		if a.slowdown != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Worthwhile reports whether the run ends clearly sooner by a start elsewhere.
func (m Move) Worthwhile() bool {
	here := float64(m.Expected) * (1 - m.Progress) * min(m.Slowness, maxRatio)
	elsewhere := float64(m.Restart) + float64(m.Expected)*(1-m.Saved)
	return here > elsewhere*moveMargin
}
